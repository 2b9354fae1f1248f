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
	"bramleymill/transmit"
)

const (
	// holdTime is the time for which a slot is held for a request that is being sent.
	// It is long enough for a large body on a link with little bandwidth.
	holdTime = 250 * time.Millisecond
	// maxReservations bounds the reservations that are pending or held. It is far
	// higher than the number of slots of one backend server.
	maxReservations = 512
)

// reservationKey identifies a reservation.
type reservationKey struct {
	entry  fleet.NodeID
	number uint64
}

// reservation is a slot that is either requested from the admission gate or held for a
// request.
type reservation struct {
	cancel context.CancelFunc // ends the wait for the slot
	held   bool               // the gate has granted slot
	slot   admit.Slot
	expiry *time.Timer // releases the slot after holdTime
}

// reservations manages the reservations of slots of the backend server beside the
// node.
type reservations struct {
	gate        *admit.Gate
	adopt       func(*fleet.CallMeta) // applies what the entry node states about the backend server; may be nil
	refresh     func(context.Context) // updates the slowdown of the backend server; may be nil
	clock       clock.Clock
	checkTarget func(fleet.Incarnation) error          // checks that the message is for this incarnation of the node
	load        func() fleet.LoadReport                // load that a refusal reports
	onRefusal   func(m *reservationMessage, err error) // called for each refusal
	datagrams   Datagrams
	link        *transmit.Link

	mu     sync.Mutex
	active map[reservationKey]*reservation
}

// newReservations returns the reservations for the backend server of p. If p has
// none, every reservation is refused.
func newReservations(p *Proxy) *reservations {
	r := &reservations{clock: p.config.Clock, load: p.LoadReport, datagrams: p.config.Datagrams, link: p.link, active: map[reservationKey]*reservation{}}
	r.onRefusal = func(*reservationMessage, error) {}
	r.checkTarget = func(fleet.Incarnation) error { return p.noServer() }
	if p.local == nil {
		return r
	}
	r.gate, r.adopt = p.local.gate, p.local.adopt
	r.checkTarget = func(i fleet.Incarnation) error { return filter.CheckIncarnation(i, p.config.Node, p.Incarnation()) }
	r.onRefusal = func(m *reservationMessage, err error) {
		p.noSlot(err)
		c := &filter.Call{Meta: *m.Meta, Record: &explain.Record{CallerID: string(m.Caller)}}
		c.Meta.EntryNode = m.Entry
		p.requestLog.refused(p.config.Clock.Now(), c, p.local, err)
	}
	if p.local.announced != nil {
		r.refresh = p.local.refreshSlowdown
	}
	return r
}

// Take returns the slot that is held for c and ends its reservation.
func (r *reservations) Take(c *filter.Call) (admit.Slot, bool) {
	if c.Meta.Reservation == 0 {
		return admit.Slot{}, false
	}
	return r.end(reservationKey{c.Meta.EntryNode, c.Meta.Reservation})
}

// cancel ends a reservation and releases its slot.
func (r *reservations) cancel(k reservationKey) {
	if slot, held := r.end(k); held {
		slot.Abandon()
	}
}

// end removes a reservation and returns its slot, if one is held.
func (r *reservations) end(k reservationKey) (slot admit.Slot, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.active[k]
	if v == nil {
		return admit.Slot{}, false
	}
	delete(r.active, k)
	v.cancel()
	if v.held {
		v.expiry.Stop()
	}
	return v.slot, v.held
}

// reserve starts a reservation. The entry node receives the decision when it is made. If
// the message repeats an earlier one, a held reservation is granted again, and for a pending
// one the entry node is told that it waits.
func (r *reservations) reserve(from string, m *reservationMessage) {
	if err := r.checkTarget(m.Meta.Incarnation); err != nil {
		r.refuse(from, m, err)
		return
	}
	if r.adopt != nil {
		r.adopt(m.Meta)
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
		_ = sendReservation(r.datagrams, from, &reservationMessage{Verb: verbPending, Number: m.Number})
	}
}

// add adds a reservation. If it exists already, add returns a copy of it.
func (r *reservations) add(k reservationKey, cancel context.CancelFunc) (*reservation, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.active[k]; v != nil {
		state := *v
		return &state, nil
	}
	if len(r.active) >= maxReservations {
		return nil, errkind.New(errkind.QueueFull, "the node has reached the limit of pending and held reservations")
	}
	r.active[k] = &reservation{cancel: cancel}
	return nil, nil
}

// acquire requests a slot from the admission gate, holds it for the reservation, and
// sends the decision to the entry node.
func (r *reservations) acquire(ctx context.Context, k reservationKey, from string, m *reservationMessage) {
	deadline := r.clock.Now().Add(m.Meta.Remaining)
	if r.refresh != nil {
		r.refresh(ctx)
	}
	slot, err := r.gate.Acquire(ctx, filter.AdmissionRequest(m.Meta, deadline, r.link))
	switch {
	case err == nil && r.hold(k, slot):
		r.grant(from, m)
	case err == nil:
		slot.Abandon() // the reservation was cancelled in the meantime
	case r.forget(k):
		r.refuse(from, m, err)
	}
}

// hold holds a slot until its request arrives or holdTime ends. It reports false if
// the reservation was cancelled.
func (r *reservations) hold(k reservationKey, slot admit.Slot) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.active[k]
	if v == nil {
		return false
	}
	v.held, v.slot = true, slot
	v.expiry = time.AfterFunc(holdTime, func() { r.cancel(k) })
	return true
}

// forget removes a refused reservation. It reports false if the reservation was
// cancelled.
func (r *reservations) forget(k reservationKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.active[k]
	if v == nil {
		return false
	}
	delete(r.active, k)
	v.cancel()
	return true
}

// grant and refuse send the decision to the entry node. If the message is lost, the
// entry node sends the reservation again.
func (r *reservations) grant(from string, m *reservationMessage) {
	_ = sendReservation(r.datagrams, from, &reservationMessage{Verb: verbGranted, Number: m.Number})
}

func (r *reservations) refuse(from string, m *reservationMessage, err error) {
	load := r.load()
	stateTurn(&load, err)
	_ = sendReservation(r.datagrams, from, &reservationMessage{Verb: verbRefused, Number: m.Number, Refusal: errkind.Of(err).Kind, Load: &load})
	r.onRefusal(m, err)
}

// HandleDatagram handles a datagram that was received from the address from. It drops a
// datagram that is not a valid reservation message.
func (p *Proxy) HandleDatagram(from string, payload []byte) {
	var m reservationMessage
	if p.reserver == nil || cbor.Unmarshal(payload, &m) != nil {
		return
	}
	switch m.Verb {
	case verbGranted, verbRefused, verbPending:
		p.reserver.receive(&m)
	case verbReserve:
		if m.Meta != nil && m.Entry != "" && m.Meta.Attempt > 0 && m.Meta.Remaining > 0 && m.Meta.Remaining <= maxRemaining {
			p.reservations.reserve(from, &m)
		}
	case verbCancel:
		p.reservations.cancel(reservationKey{m.Entry, m.Number})
	}
}
