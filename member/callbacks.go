package member

import (
	"github.com/fxamacker/cbor/v2"

	"bramleymill/fleet"
)

// callbacks holds the registered functions. They are called one at a time, in the
// order of the events, and without a lock of the member held.
type callbacks struct {
	config      []func(version uint64, document []byte)
	crash       []func(fleet.CrashReport)
	broadcast   map[string][]func(origin fleet.NodeID, payload []byte)
	incarnation []func(fleet.Incarnation)
	superseded  []func(fleet.Incarnation)
}

// OnConfig registers f to be called for each new configuration. It must be called
// before Run.
func (m *Member) OnConfig(f func(version uint64, document []byte)) {
	m.callbacks.config = append(m.callbacks.config, f)
}

// OnCrash registers f to be called for each crash report of another node. It must
// be called before Run.
func (m *Member) OnCrash(f func(fleet.CrashReport)) {
	m.callbacks.crash = append(m.callbacks.crash, f)
}

// OnBroadcast registers f to be called for each broadcast of another node on a
// topic. It must be called before Run.
func (m *Member) OnBroadcast(topic string, f func(origin fleet.NodeID, payload []byte)) {
	if m.callbacks.broadcast == nil {
		m.callbacks.broadcast = map[string][]func(fleet.NodeID, []byte){}
	}
	m.callbacks.broadcast[topic] = append(m.callbacks.broadcast[topic], f)
}

// OnIncarnation registers f to be called when the node adopts a higher
// incarnation, because an earlier process of the node already used the present
// one or a higher one. It must be called before Run.
func (m *Member) OnIncarnation(f func(fleet.Incarnation)) {
	m.callbacks.incarnation = append(m.callbacks.incarnation, f)
}

// OnSuperseded registers f to be called when another process with the name of
// this node has a higher incarnation. This process then stops announcing itself.
// OnSuperseded must be called before Run.
func (m *Member) OnSuperseded(f func(fleet.Incarnation)) {
	m.callbacks.superseded = append(m.callbacks.superseded, f)
}

func (m *Member) dispatch(e event) {
	switch e := e.(type) {
	case configEvent:
		m.logger.Info("configuration adopted", "version", e.version, "bytes", len(e.document))
		for _, f := range m.callbacks.config {
			f(e.version, e.document)
		}
	case broadcastEvent:
		m.dispatchBroadcast(e)
	case incarnationEvent:
		m.logger.Warn("adopted a higher incarnation", "incarnation", e.incarnation)
		for _, f := range m.callbacks.incarnation {
			f(e.incarnation)
		}
	case supersededEvent:
		m.logger.Error("another process with this node's name has a higher incarnation; this process no longer announces itself", "incarnation", e.incarnation)
		for _, f := range m.callbacks.superseded {
			f(e.incarnation)
		}
	case stateEvent:
		m.logger.Debug("node changed", "node", e.server.Node, "incarnation", e.server.Incarnation, "change", e.change)
	}
}

func (m *Member) dispatchBroadcast(e broadcastEvent) {
	for _, f := range m.callbacks.broadcast[e.topic] {
		f(e.origin, e.payload)
	}
	if e.topic != topicCrash {
		return
	}
	var r fleet.CrashReport
	if err := cbor.Unmarshal(e.payload, &r); err != nil {
		m.logger.Warn("failed to decode crash report", "origin", e.origin, "error", err)
		return
	}
	for _, f := range m.callbacks.crash {
		f(r)
	}
}
