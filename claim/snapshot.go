package claim

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"slices"
)

// snapshotFormat must be incremented when the encoding of a snapshot changes.
const snapshotFormat = 1

// snapshotHeader is the first CBOR item of a snapshot. It is followed by Records
// items of type snapshotRecord.
type snapshotHeader struct {
	Format  int    `cbor:"1,keyasint"`
	Now     int64  `cbor:"2,keyasint"`
	Limits  Limits `cbor:"3,keyasint"`
	Records int    `cbor:"4,keyasint"`
}

type snapshotRecord struct {
	_           struct{} `cbor:",toarray"`
	Key         []byte
	Owner       []byte
	Fingerprint []byte
	ID          uint64
	PhaseEnd    int64
	Target      uint32
	Attempt     uint16
	Phase       phase
	Answer      []byte
}

// image is a copy of the state at one moment. It shares the encoded answers with the
// Machine, which never modifies them.
type image struct {
	header  snapshotHeader
	records []record // sorted by id
}

func (m *Machine) image() *image {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := slices.Clone(m.expiry.items)
	slices.SortFunc(list, func(a, b *record) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	i := &image{
		header:  snapshotHeader{Format: snapshotFormat, Now: m.now, Limits: m.limits, Records: len(list)},
		records: make([]record, len(list)),
	}
	for n, r := range list {
		i.records[n] = *r
	}
	return i
}

// writeTo writes the image as a CBOR sequence: a snapshotHeader and the records.
func (i *image) writeTo(w io.Writer) error {
	b, err := encMode.Marshal(i.header)
	if err != nil {
		return fmt.Errorf("encode claim snapshot: %w", err)
	}
	for n := range i.records {
		if len(b) >= streamBytes {
			if _, err := w.Write(b); err != nil {
				return err
			}
			b = b[:0]
		}
		b = i.records[n].appendSnapshot(b)
	}
	_, err = w.Write(b)
	return err
}

// streamBytes is the number of buffered bytes at which writeTo writes to its writer.
const streamBytes = 32 << 10

// SnapshotStream returns a function that writes a snapshot of the state that was
// current when SnapshotStream was called. Unlike Snapshot it does not hold the whole
// encoded snapshot in memory, which would take as much memory as a full store.
func (m *Machine) SnapshotStream() func(w io.Writer) error { return m.image().writeTo }

// Snapshot returns the state as a CBOR sequence. Equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	var out bytes.Buffer
	err := m.image().writeTo(&out)
	return out.Bytes(), err
}

// Restore replaces the state by that of a snapshot. On error the state is unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	dec := decMode.NewDecoder(bytes.NewReader(snapshot))
	var h snapshotHeader
	if err := dec.Decode(&h); err != nil {
		return fmt.Errorf("decode claim snapshot: %w", err)
	}
	if h.Format != snapshotFormat {
		return fmt.Errorf("decode claim snapshot: format %d, want %d", h.Format, snapshotFormat)
	}
	restored := New()
	restored.now = h.Now
	if got := restored.setLimits(h.Limits); got.State != Recorded {
		return fmt.Errorf("decode claim snapshot: invalid limits %+v", h.Limits)
	}
	for i := range h.Records {
		var s snapshotRecord
		if err := dec.Decode(&s); err != nil {
			return fmt.Errorf("decode claim snapshot: record %d: %w", i, err)
		}
		if err := restored.load(&s); err != nil {
			return fmt.Errorf("decode claim snapshot: record %d: %w", i, err)
		}
	}
	if err := dec.Skip(); err != io.EOF {
		return fmt.Errorf("decode claim snapshot: unexpected data after the last of %d records", h.Records)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records, m.expiry, m.limits = restored.records, restored.expiry, restored.limits
	m.bytes, m.now = restored.bytes, restored.now
	return nil
}

// Major types of CBOR data items, shifted into the first byte.
const (
	cborUnsigned = 0 << 5
	cborNegative = 1 << 5
	cborBytes    = 2 << 5
	cborArray    = 4 << 5
)

// appendSnapshot appends the encoding of r as a snapshotRecord. It encodes the
// fields directly, because a general encoder would need copies of them.
func (r *record) appendSnapshot(b []byte) []byte {
	fingerprint := r.fingerprint[:]
	if r.phase == locked {
		fingerprint = nil
	}
	b = appendHead(b, cborArray, 9)
	b = appendBytes(b, r.key[:])
	b = appendBytes(b, r.owner[:])
	if fingerprint == nil {
		b = append(b, cborNull)
	} else {
		b = appendBytes(b, fingerprint)
	}
	b = appendHead(b, cborUnsigned, r.id)
	if r.phaseEnd < 0 {
		b = appendHead(b, cborNegative, uint64(-(r.phaseEnd + 1)))
	} else {
		b = appendHead(b, cborUnsigned, uint64(r.phaseEnd))
	}
	b = appendHead(b, cborUnsigned, uint64(r.target))
	b = appendHead(b, cborUnsigned, uint64(r.attempt))
	b = appendHead(b, cborUnsigned, uint64(r.phase))
	b = appendHead(b, cborBytes, uint64(len(r.answer)))
	return append(b, r.answer...)
}

const cborNull = 0xf6

func appendBytes(b, content []byte) []byte {
	return append(appendHead(b, cborBytes, uint64(len(content))), content...)
}

// appendHead appends the initial bytes of a data item, its major type and argument,
// in the shortest form.
func appendHead(b []byte, major byte, n uint64) []byte {
	switch {
	case n < 24:
		return append(b, major|byte(n))
	case n <= math.MaxUint8:
		return append(b, major|24, byte(n))
	case n <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, major|25), uint16(n))
	case n <= math.MaxUint32:
		return binary.BigEndian.AppendUint32(append(b, major|26), uint32(n))
	}
	return binary.BigEndian.AppendUint64(append(b, major|27), n)
}

func (m *Machine) load(s *snapshotRecord) error {
	r := record{id: s.ID, phaseEnd: s.PhaseEnd, target: s.Target, attempt: s.Attempt, phase: s.Phase, answer: string(s.Answer)}
	n := len(digest{})
	if len(s.Key) != n || len(s.Owner) != n || (s.Phase != locked && len(s.Fingerprint) != n) {
		return fmt.Errorf("a digest does not have 16 bytes")
	}
	if s.Phase < running || s.Phase > locked {
		return fmt.Errorf("unknown phase %d", s.Phase)
	}
	copy(r.key[:], s.Key)
	copy(r.owner[:], s.Owner)
	copy(r.fingerprint[:], s.Fingerprint)
	if m.records.find(r.key) != nil {
		return fmt.Errorf("the key occurs twice")
	}
	m.add(r)
	return nil
}
