package configstate

import (
	"fmt"

	"bramleymill/class"
	"bramleymill/itemset"
)

// snapshotFormat must be incremented when the encoding of a snapshot changes.
const snapshotFormat = 1

type snapshot struct {
	Format     int             `cbor:"1,keyasint"`
	Now        int64           `cbor:"2,keyasint"`
	Versions   []storedVersion `cbor:"3,keyasint"`
	Orders     Orders          `cbor:"4,keyasint"`
	Checkpoint Checkpoint      `cbor:"5,keyasint"`
	Entries    []Entry         `cbor:"6,keyasint"`
	Answers    []*storedAnswer `cbor:"7,keyasint"`
	Items      []byte          `cbor:"8,keyasint,omitempty"`
}

// Snapshot returns the encoded state. Equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	items, err := m.View().Items.Encode()
	if err != nil {
		return nil, fmt.Errorf("encode configuration snapshot: %w", err)
	}
	b, err := encMode.Marshal(snapshot{
		Items:  items,
		Format: snapshotFormat, Now: m.now, Versions: m.docs.list, Orders: *m.orders,
		Checkpoint: m.trail.trail.Checkpoint, Entries: m.trail.trail.Entries, Answers: m.answers.queue,
	})
	if err != nil {
		return nil, fmt.Errorf("encode configuration snapshot: %w", err)
	}
	return b, nil
}

// Restore replaces the state by that of a snapshot. On error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := decMode.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode configuration snapshot: %w", err)
	}
	if s.Format != snapshotFormat {
		return fmt.Errorf("decode configuration snapshot: format %d, want %d", s.Format, snapshotFormat)
	}
	trail := Trail{Checkpoint: s.Checkpoint, Entries: s.Entries}
	if err := trail.Verify(); err != nil {
		return fmt.Errorf("decode configuration snapshot: %w", err)
	}
	docs := documents{list: s.Versions}
	if err := docs.check(); err != nil {
		return fmt.Errorf("decode configuration snapshot: %w", err)
	}
	view := &View{Orders: &s.Orders, Items: itemset.Empty()}
	if len(s.Items) > 0 { // snapshots of earlier releases contain no items
		items, err := itemset.Decode(s.Items)
		if err != nil {
			return fmt.Errorf("decode configuration snapshot: %w", err)
		}
		view.Items = items
	}
	if current := docs.current(); current.Version > 0 {
		parsed, err := class.Parse(current.Document)
		if err != nil {
			return fmt.Errorf("decode configuration snapshot: document of version %d: %w", current.Version, err)
		}
		view.Version, view.Document, view.Set = current.Version, current.Document, class.NewSet(current.Version, parsed)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.install(&s, docs, view.Orders)
	m.publish(view)
	return nil
}

func (m *Machine) install(s *snapshot, docs documents, orders *Orders) {
	m.reset()
	m.now, m.docs, m.orders = s.Now, docs, orders
	m.trail.trail = Trail{Checkpoint: s.Checkpoint, Entries: s.Entries}
	for i := range s.Entries {
		m.trail.bytes += s.Entries[i].cost()
	}
	for _, k := range s.Answers {
		m.answers.add(k)
	}
}
