package configstate

import (
	"fmt"
	"time"
)

// Bounds of the documents that are kept for rollback and diff. The document in force
// is always kept. At 5,700 changes a day MaxDocuments covers more than a day.
const (
	MaxDocuments     = 8192
	MaxDocumentStore = 8 << 20 // bytes
	// versionBytes is the size counted for the fixed fields of a version.
	versionBytes = 256
	// fullInterval is the distance in versions between two documents that are stored
	// in full. It limits the steps needed to rebuild a document.
	fullInterval = 256
)

// Version is one accepted version of the class document.
type Version struct {
	Version  uint64    `cbor:"1,keyasint" json:"version"`
	Time     time.Time `cbor:"2,keyasint" json:"time"`
	Operator string    `cbor:"3,keyasint" json:"operator"`
	ChangeID string    `cbor:"4,keyasint" json:"change_id"`
	Hash     Hash      `cbor:"5,keyasint" json:"hash"`
	Document []byte    `cbor:"-" json:"-"`
}

// storedVersion contains a document either in full or as its difference from the next
// version. In the latter case the document consists of the first Prefix bytes of the
// next document, Middle, and the last Suffix bytes of the next document. Most changes
// modify one place of the document, so that Middle is short.
type storedVersion struct {
	Version Version `cbor:"1,keyasint"` // without Document
	Full    []byte  `cbor:"2,keyasint,omitempty"`
	Prefix  int     `cbor:"3,keyasint,omitempty"`
	Suffix  int     `cbor:"4,keyasint,omitempty"`
	Middle  []byte  `cbor:"5,keyasint,omitempty"`
}

func (s *storedVersion) cost() int64 {
	v := &s.Version
	return versionBytes + int64(len(v.Operator)+len(v.ChangeID)+len(s.Full)+len(s.Middle))
}

// shrink replaces the full document by its difference from next.
func (s *storedVersion) shrink(next []byte) {
	limit := min(len(s.Full), len(next))
	for s.Prefix < limit && s.Full[s.Prefix] == next[s.Prefix] {
		s.Prefix++
	}
	for s.Suffix < limit-s.Prefix && s.Full[len(s.Full)-1-s.Suffix] == next[len(next)-1-s.Suffix] {
		s.Suffix++
	}
	// Copied, because a slice of Full would keep the whole document in memory.
	s.Middle = append([]byte(nil), s.Full[s.Prefix:len(s.Full)-s.Suffix]...)
	s.Full = nil
}

// rebuild returns the full document. next is the document of the next version.
func (s *storedVersion) rebuild(next []byte) ([]byte, error) {
	if s.Full != nil {
		return s.Full, nil
	}
	if s.Prefix < 0 || s.Suffix < 0 || s.Prefix > len(next) || s.Suffix > len(next)-s.Prefix {
		return nil, fmt.Errorf("the stored difference of version %d does not fit the next version", s.Version.Version)
	}
	out := make([]byte, 0, s.Prefix+len(s.Middle)+s.Suffix)
	out = append(out, next[:s.Prefix]...)
	out = append(out, s.Middle...)
	return append(out, next[len(next)-s.Suffix:]...), nil
}

// documents contains the kept versions, oldest first and without gaps. The last
// version is stored in full.
type documents struct {
	list  []storedVersion
	bytes int64
}

func (d *documents) add(v Version) {
	if n := len(d.list); n > 0 && d.list[n-1].Version.Version%fullInterval != 0 {
		last := &d.list[n-1]
		d.bytes -= last.cost()
		last.shrink(v.Document)
		d.bytes += last.cost()
	}
	s := storedVersion{Version: v, Full: v.Document}
	s.Version.Document = nil
	d.list = append(d.list, s)
	d.bytes += s.cost()
	for len(d.list) > 1 && (len(d.list) > MaxDocuments || d.bytes > MaxDocumentStore) {
		d.bytes -= d.list[0].cost()
		d.list[0] = storedVersion{}
		d.list = d.list[1:]
	}
}

// current returns the version in force, which is zero before the first change.
func (d *documents) current() Version {
	if len(d.list) == 0 {
		return Version{}
	}
	last := &d.list[len(d.list)-1]
	v := last.Version
	v.Document = last.Full
	return v
}

func (d *documents) get(version uint64) (Version, bool) {
	if len(d.list) == 0 || version < d.list[0].Version.Version || version > d.current().Version {
		return Version{}, false
	}
	wanted := int(version - d.list[0].Version.Version)
	i := wanted
	for d.list[i].Full == nil {
		i++
	}
	document := d.list[i].Full
	for i--; i >= wanted; i-- {
		// rebuild cannot fail, because add created the list or check verified it.
		document, _ = d.list[i].rebuild(document)
	}
	v := d.list[wanted].Version
	v.Document = document
	return v, true
}

// check verifies that the versions of a restored list have no gaps and that every
// document matches its hash, and sums up the bytes. It does not check that the last
// document is stored in full: Restore does so by parsing that document.
func (d *documents) check() error {
	var next []byte
	for i := len(d.list) - 1; i >= 0; i-- {
		s := &d.list[i]
		if s.Version.Version != d.list[0].Version.Version+uint64(i) || s.Version.Version == 0 {
			return fmt.Errorf("version %d is out of order", s.Version.Version)
		}
		document, err := s.rebuild(next)
		if err != nil {
			return err
		}
		if s.Version.Hash != HashOf(document) {
			return fmt.Errorf("the document of version %d does not match its hash", s.Version.Version)
		}
		next = document
		d.bytes += s.cost()
	}
	return nil
}
