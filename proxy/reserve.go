package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleymill/errkind"
	"bramleymill/filter"
	"bramleymill/fleet"
)

// Datagrams sends small messages to the peer addresses of other nodes. They may be
// lost or arrive twice.
type Datagrams interface {
	SendDatagram(address string, payload []byte) error
}

// Verbs of a reservationMessage.
const (
	verbReserve = iota + 1 // entry node: reserve a slot for the attempt in Meta
	verbCancel             // entry node: the slot is not needed
	verbGranted            // server node: the slot is held for a while
	verbRefused            // server node: the attempt is refused as Refusal
)

// reservationMessage is a datagram about the reservation of a slot. A reservation
// is known by its entry node and the number that the entry node gave it.
type reservationMessage struct {
	Verb   uint8           `cbor:"1,keyasint"`
	Number uint64          `cbor:"2,keyasint"`
	Entry  fleet.NodeID    `cbor:"3,keyasint,omitempty"` // set by the entry node
	Meta   *fleet.CallMeta `cbor:"4,keyasint,omitempty"` // of verbReserve, as reservedMeta leaves it
	// Caller is the id that the caller gave the request, for the log. It may hold any
	// bytes.
	Caller  []byte            `cbor:"7,keyasint,omitempty"`
	Refusal errkind.Kind      `cbor:"5,keyasint,omitempty"` // of verbRefused
	Load    *fleet.LoadReport `cbor:"6,keyasint,omitempty"` // of verbRefused
}

// Sizes of a reservation.
const (
	maxReservationBytes = 1000 // far below the size of a packet
	maxReservedCaller   = 64   // of the id that the caller gave; the rest is left out
)

func sendReservation(d Datagrams, address string, m *reservationMessage) error {
	b, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	return d.SendDatagram(address, b)
}

// Times of a reservation at the entry node.
const (
	// reserveResend is the time without a reply after which a reservation is sent
	// again. A reply takes a round trip and at most paceWait.
	reserveResend = 30 * time.Millisecond
	// reserveTimeout is the time after which the server node is given up. It allows
	// for the loss of one datagram.
	reserveTimeout = 80 * time.Millisecond
)

var errNoReply = errors.New("the node did not reply to a reservation")

// reserver reserves slots at other nodes. A refusal then costs a datagram in each
// direction, where refused requests with their headers and bodies would fill thin
// links under overload.
type reserver struct {
	self      fleet.NodeID
	datagrams Datagrams
	seen      func(configVersion uint64)
	callerID  func(*filter.Call) string

	number  atomic.Uint64
	mu      sync.Mutex
	pending map[uint64]chan *reservationMessage
}

func newReserver(self fleet.NodeID, d Datagrams, seen func(configVersion uint64), callerID func(*filter.Call) string) *reserver {
	r := &reserver{self: self, datagrams: d, seen: seen, callerID: callerID, pending: map[uint64]chan *reservationMessage{}}
	r.number.Store(rand.Uint64()) // numbers of an earlier life of the process are not used again
	return r
}

// Reserve returns nil when the target of c holds a slot for it, or when c has to be
// sent without a reservation because its names do not fit into a datagram.
func (r *reserver) Reserve(c *filter.Call) error {
	number := r.number.Add(1)
	c.Meta.Reservation = number
	caller := r.callerID(c)
	message, err := cbor.Marshal(&reservationMessage{Verb: verbReserve, Number: number, Entry: r.self, Meta: reservedMeta(&c.Meta),
		Caller: []byte(caller[:min(len(caller), maxReservedCaller)])})
	if err != nil {
		return errkind.New(errkind.Internal, "%w", err)
	}
	if len(message) > maxReservationBytes {
		c.Meta.Reservation = 0
		return nil
	}
	reply := make(chan *reservationMessage, 1)
	r.mu.Lock()
	r.pending[number] = reply
	r.mu.Unlock()
	err = r.await(c, message, reply)
	r.mu.Lock()
	delete(r.pending, number)
	r.mu.Unlock()
	if err != nil {
		c.Meta.Reservation = 0
	}
	return err
}

// reservedMeta returns the part of m that a reservation needs. Under overload there
// are several for each request, which share thin links with the requests.
func reservedMeta(m *fleet.CallMeta) *fleet.CallMeta {
	return &fleet.CallMeta{Class: m.Class, Attempt: m.Attempt, Remaining: m.Remaining, TargetLeft: m.TargetLeft,
		Incarnation: m.Incarnation, Urgency: m.Urgency, Internal: m.Internal, Reroutable: m.Reroutable, OnlyServer: m.OnlyServer, Hedge: m.Hedge}
}

// await sends a reservation, once more if nothing comes back, and waits for the
// reply.
func (r *reserver) await(c *filter.Call, message []byte, reply <-chan *reservationMessage) error {
	if err := r.datagrams.SendDatagram(c.Target.PeerAddress, message); err != nil {
		return notSent(c, errkind.BackendDown, err)
	}
	resend, timeout := time.NewTimer(reserveResend), time.NewTimer(reserveTimeout)
	defer resend.Stop()
	defer timeout.Stop()
	for {
		select {
		case m := <-reply:
			return r.take(c, m)
		case <-resend.C:
			if err := r.datagrams.SendDatagram(c.Target.PeerAddress, message); err != nil {
				return notSent(c, errkind.BackendDown, err)
			}
		case <-timeout.C:
			r.Cancel(c)
			return notSent(c, errkind.BackendDown, errNoReply)
		case <-c.Ctx.Done():
			r.Cancel(c)
			return notSent(c, errkind.DeadlineBeforeRun, context.Cause(c.Ctx))
		}
	}
}

func (r *reserver) take(c *filter.Call, m *reservationMessage) error {
	if m.Load != nil {
		c.Load = m.Load
		r.seen(m.Load.ConfigVersion)
	}
	if m.Verb == verbGranted {
		return nil
	}
	kind := m.Refusal
	if !errkind.Known(kind) {
		kind = errkind.Internal
	}
	return errkind.New(kind, "node %s refused a reservation", c.Target.Node)
}

// Cancel gives up the reservation of c. If the message is lost, the slot stays held
// for holdTime.
func (r *reserver) Cancel(c *filter.Call) {
	_ = sendReservation(r.datagrams, c.Target.PeerAddress, &reservationMessage{Verb: verbCancel, Number: c.Meta.Reservation, Entry: r.self})
}

// receive takes a reply. One that nobody waits for is dropped; the slot that it
// grants stays held for holdTime, unless it was cancelled.
func (r *reserver) receive(m *reservationMessage) {
	r.mu.Lock()
	reply := r.pending[m.Number]
	r.mu.Unlock()
	select {
	case reply <- m:
	default:
	}
}
