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

// Datagrams sends small messages to the peer addresses of other nodes. A message may
// be lost or arrive twice.
type Datagrams interface {
	SendDatagram(address string, payload []byte) error
}

// Verbs of a reservationMessage.
const (
	verbReserve = iota + 1 // entry node: reserve a slot for the attempt in Meta
	verbCancel             // entry node: cancel the reservation, because the slot is not needed
	verbGranted            // server node: the slot is held for holdTime
	verbRefused            // server node: the attempt is refused with the kind Refusal
	verbPending            // server node: the attempt waits for a slot
)

// reservationMessage is a datagram about the reservation of a slot. A reservation is
// identified by its entry node and the number that the entry node assigned.
type reservationMessage struct {
	Verb   uint8           `cbor:"1,keyasint"`
	Number uint64          `cbor:"2,keyasint"`
	Entry  fleet.NodeID    `cbor:"3,keyasint,omitempty"` // entry node; omitted in the replies of the server node
	Meta   *fleet.CallMeta `cbor:"4,keyasint,omitempty"` // for verbReserve: what admission needs of the attempt's metadata
	// Caller is the id that the caller assigned to the request. The server node writes it
	// to its log. It is encoded as bytes, not as text, because it may contain any bytes.
	Caller  []byte            `cbor:"7,keyasint,omitempty"`
	Refusal errkind.Kind      `cbor:"5,keyasint,omitempty"` // for verbRefused: kind of the error with which the attempt fails
	Load    *fleet.LoadReport `cbor:"6,keyasint,omitempty"` // for verbRefused: load of the server node
}

// Size limits of a reservation, in bytes.
const (
	maxReservationBytes = 1000 // limit of a whole message, well below the size of a packet
	maxReservedCaller   = 64   // Caller is truncated to this length
)

func sendReservation(d Datagrams, address string, m *reservationMessage) error {
	b, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	return d.SendDatagram(address, b)
}

// Time-outs of a reservation at the entry node.
const (
	// reserveResend is the time after which a reservation without a reply is sent
	// again. A reply takes a round trip and at most slowdownWait.
	reserveResend = 30 * time.Millisecond
	// reserveTimeout is the time after which the attempt fails without a reply. It is
	// long enough for the loss of one datagram.
	reserveTimeout = 80 * time.Millisecond
	// pendingTimeout replaces reserveTimeout when the server node has replied that the attempt
	// waits for a slot. It is longer than the wait of any attempt that can be rerouted.
	pendingTimeout = 300 * time.Millisecond
)

var errNoReply = errors.New("the node did not reply to the reservation")

// reserver reserves slots at other nodes before requests are sent to them. A refusal
// then costs one datagram in each direction. Without reservations, refused requests
// with their headers and bodies would fill links with little bandwidth under
// overload.
type reserver struct {
	self            fleet.NodeID
	datagrams       Datagrams
	onConfigVersion func(configVersion uint64)
	callerID        func(*filter.Call) string

	number  atomic.Uint64
	mu      sync.Mutex
	pending map[uint64]chan *reservationMessage // number of a reservation -> receives the reply
}

func newReserver(self fleet.NodeID, d Datagrams, onConfigVersion func(configVersion uint64), callerID func(*filter.Call) string) *reserver {
	r := &reserver{self: self, datagrams: d, onConfigVersion: onConfigVersion, callerID: callerID, pending: map[uint64]chan *reservationMessage{}}
	r.number.Store(rand.Uint64()) // so that the numbers of an earlier process are not used again
	return r
}

// Reserve reserves a slot for c at its target. It returns nil if the slot is held, or
// if c has to be sent without a reservation because the message does not fit into a
// datagram; in the latter case c.Meta.Reservation is zero.
func (r *reserver) Reserve(c *filter.Call) error {
	number := r.number.Add(1)
	c.Meta.Reservation = number
	caller := r.callerID(c)
	message, err := cbor.Marshal(&reservationMessage{Verb: verbReserve, Number: number, Entry: r.self, Meta: reservationMeta(&c.Meta),
		Caller: []byte(caller[:min(len(caller), maxReservedCaller)])})
	if err != nil {
		return errkind.New(errkind.Internal, "encode reservation: %w", err)
	}
	if len(message) > maxReservationBytes {
		c.Meta.Reservation = 0
		return nil
	}
	reply := make(chan *reservationMessage, 2) // a pending reply and the decision
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

// reservationMeta returns the part of m that a reservation needs. Reservations are kept
// small because under overload there are several for each request, and they use the same
// links with little bandwidth as the requests.
func reservationMeta(m *fleet.CallMeta) *fleet.CallMeta {
	return &fleet.CallMeta{Class: m.Class, Attempt: m.Attempt, Remaining: m.Remaining, TargetLeft: m.TargetLeft,
		Incarnation: m.Incarnation, Urgency: m.Urgency, Internal: m.Internal, Reroutable: m.Reroutable, OnlyServer: m.OnlyServer, Hedge: m.Hedge, Told: m.Told, Customer: m.Customer, ColdRate: m.ColdRate, OtherZone: m.OtherZone, Uploading: m.Uploading}
}

// await sends a reservation and waits for the reply. It sends the reservation a
// second time if there is no reply within reserveResend.
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
			if m.Verb == verbPending {
				timeout.Reset(pendingTimeout)
				continue
			}
			return r.applyReply(c, m)
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

func (r *reserver) applyReply(c *filter.Call, m *reservationMessage) error {
	if m.Load != nil {
		c.Load = m.Load
		r.onConfigVersion(m.Load.ConfigVersion)
	}
	if m.Verb == verbGranted {
		return nil
	}
	kind := m.Refusal
	if !errkind.Known(kind) {
		kind = errkind.Internal
	}
	return errkind.New(kind, "node %s refused the reservation", c.Target.Node)
}

// Cancel cancels the reservation of c. If the message is lost, the slot remains held
// until holdTime ends.
func (r *reserver) Cancel(c *filter.Call) {
	_ = sendReservation(r.datagrams, c.Target.PeerAddress, &reservationMessage{Verb: verbCancel, Number: c.Meta.Reservation, Entry: r.self})
}

// receive passes a reply to the goroutine that waits for it. A reply without a waiting
// goroutine, or behind another one, is dropped; a slot that it grants remains held until holdTime ends, unless
// the reservation was cancelled.
func (r *reserver) receive(m *reservationMessage) {
	r.mu.Lock()
	reply := r.pending[m.Number]
	r.mu.Unlock()
	select {
	case reply <- m:
	default:
	}
}
