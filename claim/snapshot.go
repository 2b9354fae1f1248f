package claim

import (
	"bytes"
	"fmt"
	"io"
	"slices"
)

// snapshotFormat is raised when the encoding of a snapshot changes.
const snapshotFormat = 1

// snapshotHeader is followed by Records items of type snapshotRecord.
type snapshotHeader struct {
	Format  int    `cbor:"1,keyasint"`
	Now     int64  `cbor:"2,keyasint"`
	Limits  Limits `cbor:"3,keyasint"`
	Records int    `cbor:"4,keyasint"`
}

type snapshotRecord struct {
	_       struct{} `cbor:",toarray"`
	Key     []byte
	Owner   []byte
	Body    []byte
	ID      uint64
	When    int64
	Target  uint32
	Attempt uint16
	Phase   phase
	Answer  []byte
}

// Snapshot returns the state as a CBOR sequence. Equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := slices.Clone(m.expiry.items)
	slices.SortFunc(list, func(a, b *record) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	var out bytes.Buffer
	enc := encoding.NewEncoder(&out)
	h := snapshotHeader{Format: snapshotFormat, Now: m.now, Limits: m.limits, Records: len(list)}
	if err := enc.Encode(h); err != nil {
		return nil, fmt.Errorf("encode claim snapshot: %w", err)
	}
	for _, r := range list {
		if err := enc.Encode(r.export()); err != nil {
			return nil, fmt.Errorf("encode claim snapshot: %w", err)
		}
	}
	return out.Bytes(), nil
}

// Restore replaces the state by a snapshot. The state is unchanged on error.
func (m *Machine) Restore(snapshot []byte) error {
	dec := decoding.NewDecoder(bytes.NewReader(snapshot))
	var h snapshotHeader
	if err := dec.Decode(&h); err != nil {
		return fmt.Errorf("decode claim snapshot: %w", err)
	}
	if h.Format != snapshotFormat {
		return fmt.Errorf("decode claim snapshot: format %d, want %d", h.Format, snapshotFormat)
	}
	fresh := New()
	fresh.now = h.Now
	if got := fresh.setLimits(h.Limits); got.State != Recorded {
		return fmt.Errorf("decode claim snapshot: invalid limits %+v", h.Limits)
	}
	for i := range h.Records {
		var s snapshotRecord
		if err := dec.Decode(&s); err != nil {
			return fmt.Errorf("decode claim snapshot: record %d: %w", i, err)
		}
		if err := fresh.load(&s); err != nil {
			return fmt.Errorf("decode claim snapshot: record %d: %w", i, err)
		}
	}
	if err := dec.Skip(); err != io.EOF {
		return fmt.Errorf("decode claim snapshot: data after record %d", h.Records)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records, m.expiry, m.limits = fresh.records, fresh.expiry, fresh.limits
	m.bytes, m.now = fresh.bytes, fresh.now
	return nil
}

func (r *record) export() snapshotRecord {
	s := snapshotRecord{Key: r.key[:], Owner: r.owner[:], ID: r.id, When: r.when,
		Target: r.target, Attempt: r.attempt, Phase: r.phase, Answer: []byte(r.answer)}
	if r.phase != locked {
		s.Body = r.body[:]
	}
	return s
}

func (m *Machine) load(s *snapshotRecord) error {
	r := &record{id: s.ID, when: s.When, target: s.Target, attempt: s.Attempt, phase: s.Phase, answer: string(s.Answer)}
	n := len(digest{})
	if len(s.Key) != n || len(s.Owner) != n || (s.Phase != locked && len(s.Body) != n) {
		return fmt.Errorf("a digest has the wrong length")
	}
	if s.Phase < running || s.Phase > locked {
		return fmt.Errorf("unknown phase %d", s.Phase)
	}
	copy(r.key[:], s.Key)
	copy(r.owner[:], s.Owner)
	copy(r.body[:], s.Body)
	if m.records[r.key] != nil {
		return fmt.Errorf("the key is given twice")
	}
	m.add(r)
	return nil
}
