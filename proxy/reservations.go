package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleymill/admit"
	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/explain"
	"bramleymill/filter"
	"bramleymill/fleet"
)

const (
	// holdTime is the time for which a slot is held for a request that is on its
	// way. It allows for a large body on a thin link.
	holdTime = 250 * time.Millisecond
	// maxReservations bounds the reservations that are undecided or held. It is far
	// above the slots of one backend server.
	maxReservations = 512
)

// reservationKey names a reservation.
type reservationKey struct {
	entry  fleet.NodeID
	number uint64
}

// reservation is a slot that is asked for or held.
type reservation struct {
	cancel context.CancelFunc // ends the asking
	held   bool
	slot   admit.Slot
	expiry *time.Timer // ends the holding
}

// reservations are those at the backend server beside the node.
type reservations struct {
	gate      *admit.Gate
	refresh   func(context.Context) // brings the pace of the server up to date; may be nil
	clock     clock.Clock
	check     func(fleet.Incarnation) error // of the target
	load      func() fleet.LoadReport
	refused   func(m *reservationMessage, err error) // told of each refusal
	datagrams Datagrams

	mu    sync.Mutex
	known map[reservationKey]*reservation
}

// newReservations returns the reservations at the backend server of p, if it has one.
func newReservations(p *Proxy) *reservations {
	r := &reservations{clock: p.config.Clock, load: p.LoadReport, datagrams: p.config.Datagrams, known: map[reservationKey]*reservation{}}
	r.refused = func(*reservationMessage, error) {}
	r.check = func(fleet.Incarnation) error { return p.noServer() }
	if p.local == nil {
		return r
	}
	r.gate = p.local.gate
	r.check = func(i fleet.Incarnation) error { return filter.CheckIncarnation(i, p.config.Node, p.Incarnation()) }
	r.refused = func(m *reservationMessage, err error) {
		c := &filter.Call{Meta: *m.Meta, Record: &explain.Record{CallerID: string(m.Caller)}}
		c.Meta.Entry = m.Entry
		p.requests.refused(p.config.Clock.Now(), c, p.local, err)
	}
	if p.local.announced != nil {
		r.refresh = p.local.refreshPace
	}
	return r
}

// Take returns the slot that is held for c. The reservation ends.
func (r *reservations) Take(c *filter.Call) (admit.Slot, bool) {
	if c.Meta.Reservation == 0 {
		return admit.Slot{}, false
	}
	return r.end(reservationKey{c.Meta.Entry, c.Meta.Reservation})
}

// cancel gives a slot back that is not needed.
func (r *reservations) cancel(k reservationKey) {
	if slot, held := r.end(k); held {
		slot.Release(0)
	}
}

// end removes a reservation and returns its slot if one is held.
func (r *reservations) end(k reservationKey) (slot admit.Slot, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.known[k]
	if v == nil {
		return admit.Slot{}, false
	}
	delete(r.known, k)
	v.cancel()
	if v.held {
		v.expiry.Stop()
	}
	return v.slot, v.held
}

// reserve starts a reservation. One that is asked for again is granted again, or
// still undecided.
func (r *reservations) reserve(from string, m *reservationMessage) {
	if err := r.check(m.Meta.Incarnation); err != nil {
		r.refuse(from, m, err)
		return
	}
	k := reservationKey{m.Entry, m.Number}
	ctx, cancel := context.WithTimeout(context.Background(), m.Meta.Remaining)
	v, err := r.add(k, cancel)
	switch {
	case err != nil:
		cancel()
		r.refuse(from, m, err)
	case v == nil:
		go r.acquire(ctx, k, from, m)
	case v.held:
		cancel()
		r.grant(from, m)
	default:
		cancel()
	}
}

// add begins a reservation. If it has begun before, it returns its state then.
func (r *reservations) add(k reservationKey, cancel context.CancelFunc) (*reservation, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.known[k]; v != nil {
		state := *v
		return &state, nil
	}
	if len(r.known) >= maxReservations {
		return nil, errkind.New(errkind.QueueFull, "too many reservations")
	}
	r.known[k] = &reservation{cancel: cancel}
	return nil, nil
}

// acquire asks for a slot and holds it.
func (r *reservations) acquire(ctx context.Context, k reservationKey, from string, m *reservationMessage) {
	deadline := r.clock.Now().Add(m.Meta.Remaining)
	if r.refresh != nil {
		r.refresh(ctx)
	}
	slot, err := r.gate.Acquire(ctx, filter.AdmissionRequest(m.Meta, deadline))
	switch {
	case err == nil && r.hold(k, slot):
		r.grant(from, m)
	case err == nil:
		slot.Release(0) // cancelled meanwhile
	case r.forget(k):
		r.refuse(from, m, err)
	}
}

// hold keeps a slot until its request arrives. It reports false for a reservation
// that was cancelled.
func (r *reservations) hold(k reservationKey, slot admit.Slot) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.known[k]
	if v == nil {
		return false
	}
	v.held, v.slot = true, slot
	v.expiry = time.AfterFunc(holdTime, func() { r.cancel(k) })
	return true
}

// forget removes a reservation that is refused. It reports false for one that was
// cancelled.
func (r *reservations) forget(k reservationKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.known[k]
	if v == nil {
		return false
	}
	delete(r.known, k)
	v.cancel()
	return true
}

// grant and refuse tell the entry node the decision. If the message is lost, the
// entry node asks again.
func (r *reservations) grant(from string, m *reservationMessage) {
	_ = sendReservation(r.datagrams, from, &reservationMessage{Verb: verbGranted, Number: m.Number})
}

func (r *reservations) refuse(from string, m *reservationMessage, err error) {
	load := r.load()
	_ = sendReservation(r.datagrams, from, &reservationMessage{Verb: verbRefused, Number: m.Number, Refusal: errkind.Of(err).Kind, Load: &load})
	r.refused(m, err)
}

// Datagram takes a datagram that another node sent from an address. One that is
// not of the protocol is dropped.
func (p *Proxy) Datagram(from string, payload []byte) {
	var m reservationMessage
	if p.reserver == nil || cbor.Unmarshal(payload, &m) != nil {
		return
	}
	switch m.Verb {
	case verbGranted, verbRefused:
		p.reserver.receive(&m)
	case verbReserve:
		if m.Meta != nil && m.Entry != "" && m.Meta.Attempt > 0 && m.Meta.Remaining > 0 && m.Meta.Remaining <= maxRemaining {
			p.reservations.reserve(from, &m)
		}
	case verbCancel:
		p.reservations.cancel(reservationKey{m.Entry, m.Number})
	}
}
