package configstate

import (
	"fmt"

	"github.com/aymanbagabas/go-udiff"
)

// Versions returns the kept versions of the document, oldest first, without Document.
func (m *Machine) Versions() []Version {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]Version, len(m.docs.list))
	for i := range m.docs.list {
		out[i] = m.docs.list[i].Version
	}
	return out
}

// Version returns a version with its document, and false if it is not kept.
func (m *Machine) Version(version uint64) (Version, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.docs.get(version)
}

// History returns up to limit audit entries with a sequence number above after.
func (m *Machine) History(after uint64, limit int) Trail {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.trail.after(after, limit)
}

// Verify checks the hash chain of all kept audit entries.
func (m *Machine) Verify() error {
	return m.History(0, MaxEntries).Verify()
}

// Diff returns the unified diff between the documents of two kept versions.
// Version 0 is the empty document.
func (m *Machine) Diff(from, to uint64) (string, error) {
	old, err := m.documentFor(from)
	if err != nil {
		return "", err
	}
	next, err := m.documentFor(to)
	if err != nil {
		return "", err
	}
	return Diff(label(from), label(to), old, next), nil
}

func (m *Machine) documentFor(version uint64) ([]byte, error) {
	if version == 0 {
		return nil, nil
	}
	v, ok := m.Version(version)
	if !ok {
		return nil, fmt.Errorf("version %d is not kept", version)
	}
	return v.Document, nil
}

func label(version uint64) string { return fmt.Sprintf("version %d", version) }

// Diff returns the unified diff between two documents, or "" when they are equal.
func Diff(oldLabel, newLabel string, old, next []byte) string {
	return udiff.Unified(oldLabel, newLabel, string(old), string(next))
}
