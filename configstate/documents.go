package configstate

import "time"

// Bounds of the documents kept for rollback and diff. The document in force is
// always kept.
const (
	MaxDocuments     = 1024
	MaxDocumentStore = 8 << 20 // bytes
)

// Version is one accepted document.
type Version struct {
	Version  uint64    `cbor:"1,keyasint" json:"version"`
	Time     time.Time `cbor:"2,keyasint" json:"time"`
	Operator string    `cbor:"3,keyasint" json:"operator"`
	ChangeID string    `cbor:"4,keyasint" json:"change_id"`
	Document []byte    `cbor:"5,keyasint" json:"-"`
	Hash     Hash      `cbor:"6,keyasint" json:"hash"`
}

// documents holds the kept versions, oldest first and without gaps.
type documents struct {
	list  []Version
	bytes int64
}

func (d *documents) add(v Version) {
	d.list = append(d.list, v)
	d.bytes += int64(len(v.Document))
	for len(d.list) > 1 && (len(d.list) > MaxDocuments || d.bytes > MaxDocumentStore) {
		d.bytes -= int64(len(d.list[0].Document))
		d.list[0] = Version{}
		d.list = d.list[1:]
	}
}

// current returns the version in force, which is zero before the first change.
func (d *documents) current() Version {
	if len(d.list) == 0 {
		return Version{}
	}
	return d.list[len(d.list)-1]
}

func (d *documents) get(version uint64) (Version, bool) {
	if len(d.list) == 0 || version < d.list[0].Version || version > d.current().Version {
		return Version{}, false
	}
	return d.list[version-d.list[0].Version], true
}
