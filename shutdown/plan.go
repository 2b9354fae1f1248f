// Package shutdown plans the graceful stop of a node. A plan is computed from the time
// that the stop may take; it reads no clock and performs no I/O.
//
// A stop has four phases. While accepting, the node is reported as not ready but still
// accepts requests, because callers learn of the stop with a delay. Near the end of this phase
// it announces its departure to the other nodes. While draining, it
// refuses new requests and lets those in flight finish. While closing, it cancels the
// remaining requests, announces its departure and closes its connections. At the exit
// time the process ends, whatever has not finished.
package shutdown

import (
	"errors"
	"fmt"
	"time"
)

const (
	// noticeTime is the shortest time between the announcement of a departure and the
	// closing of connections. Until other nodes and callers have been notified that the
	// node is leaving, they send requests on connections that are idle here. If the node
	// closed such a connection at that moment, the sender could not tell whether the
	// request ran.
	noticeTime = 1500 * time.Millisecond

	// announceLead is the time before the refusal of new requests at which the departure is
	// announced to other nodes. They are notified within some 300 ms. An earlier announcement
	// would leave the backend server beside the node unused while callers are still accepted:
	// when several nodes of a service with five servers stopped at once, up to three of the
	// servers got no requests for 3 to 5 s each.
	announceLead = 500 * time.Millisecond

	// exitMargin is left between the exit time and the end of the permitted time. It
	// covers late timers and the end of the process itself.
	exitMargin = 250 * time.Millisecond

	// maxStepTime limits each step of closing, so that an unreachable peer does not delay
	// a stop that has time left.
	maxStepTime = time.Second

	// handOverReserve is left between the end of the wait for the votes of a control
	// instance and the exit time, for the transfer of leadership and the end of the process.
	handOverReserve = time.Second

	// DefaultCloseTime is the time for closing if no total time is given.
	DefaultCloseTime = 5 * time.Second

	// minCloseTime is the shortest time for closing that a plan accepts. It covers the
	// exit margin and an exchange with another node in each step.
	minCloseTime = 500 * time.Millisecond
)

// closingSteps is the number of steps that closing performs one after the other: the end of
// cancelled requests, departure beside the closing of listeners, the transfer of leadership,
// and the control endpoint.
const closingSteps = 4

// Limits are the times that a stop may take.
type Limits struct {
	Accept time.Duration // new requests are accepted for this time
	Drain  time.Duration // then requests in flight may finish for this time
	Total  time.Duration // the process must be gone after this time; zero: the time for closing is DefaultCloseTime
}

// ErrTooShort is returned for limits that leave no time for closing.
var ErrTooShort = errors.New("the stop leaves too little time for closing")

// Validate returns an error that wraps ErrTooShort if the phases do not fit into the
// total time.
func (l Limits) Validate() error {
	if l.Total > 0 && l.Total-l.Accept-l.Drain < minCloseTime {
		return fmt.Errorf("%w: %v in total, %v to accept and %v to drain; at least %v must be left", ErrTooShort, l.Total, l.Accept, l.Drain, minCloseTime)
	}
	return nil
}

// Plan contains the times at which the phases of a stop begin, counted from its start.
type Plan struct {
	Announce time.Duration // the departure is announced to the other nodes
	Refuse   time.Duration // new requests are refused
	Cancel   time.Duration // requests that are still in flight are cancelled
	Close    time.Duration // connections are closed, at the earliest
	HandOver time.Duration // a control instance has handed over its votes, or ends with them
	Exit     time.Duration // the process ends, whatever has not finished
}

// New returns the plan for limits that Validate accepts.
func New(l Limits) Plan {
	p := Plan{Announce: max(0, l.Accept-announceLead), Refuse: l.Accept, Cancel: l.Accept + l.Drain}
	p.Close = max(l.Accept, p.Announce+noticeTime)
	total := l.Total
	if total == 0 {
		total = p.Cancel + DefaultCloseTime
	}
	p.Exit = total - exitMargin
	p.Close = min(p.Close, max(l.Accept, p.Cancel))
	p.HandOver = max(p.Close, p.Exit-handOverReserve)
	return p
}

// StepTime returns the time for a step of closing that begins at elapsed. The steps that
// follow it keep an equal share of the time that is left.
func (p Plan) StepTime(elapsed time.Duration, step int) time.Duration {
	return min(maxStepTime, max(0, p.Exit-elapsed)/time.Duration(max(1, closingSteps-step)))
}

// The steps of closing, in their order.
const (
	StepCancel = iota
	StepDepart
	StepLeadership
	StepEndpoint
)
