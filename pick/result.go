package pick

import (
	"time"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Outcome classifies the end of an attempt by what it shows about its server.
type Outcome uint8

// The outcomes of an attempt.
const (
	Succeeded Outcome = iota + 1 // the backend server answered without a server error
	Failed                       // server error, lost connection, missed deadline, or backend server down
	Refused                      // refused by a server that works, for example because its queue is full
	Canceled                     // canceled before the answer, like the slower of two hedged attempts
)

// OutcomeOf returns the outcome of an attempt that ended with the given error kind. The
// empty kind stands for success.
func OutcomeOf(k errkind.Kind) Outcome {
	switch k {
	case "":
		return Succeeded
	case errkind.CallerDisconnected:
		return Canceled
	case errkind.BackendDown, errkind.ConnectionLost, errkind.DeadlineExceeded,
		errkind.OutcomeUnknown, errkind.Internal, errkind.StaleTarget:
		return Failed
	}
	return Refused
}

// Result is the end of an attempt.
type Result struct {
	Duration time.Duration // from sending to the end of the answer; zero: the time since Started
	// AtServer is the part of Duration that the request spent at the server's node. The rest
	// is the network delay of the zone. Zero: unknown.
	AtServer time.Duration
	Outcome  Outcome
	// NoRoom states that the attempt was refused because the server had no room for it, and not
	// because it is slow for a moment or is leaving.
	NoRoom bool
	Report *fleet.LoadReport // load report in the answer; nil: none
}

// Attempt identifies a request that was sent to an endpoint. The caller of Started passes it
// to Finished exactly once.
type Attempt struct {
	endpoint *Endpoint
	start    int64
	index    int8
}

// Started records that a request is being sent to e.
func (b *Balancer) Started(e *Endpoint, now time.Time) Attempt {
	t := int64(now.Sub(e.epoch))
	return Attempt{endpoint: e, start: t, index: e.load.recordStart(t)}
}

// Finished records the end of an attempt, which updates the estimates of its server and
// may eject or readmit it.
func (b *Balancer) Finished(a Attempt, now time.Time, r Result) {
	e, l := a.endpoint, a.endpoint.load
	t := int64(now.Sub(e.epoch))
	if r.Duration == 0 {
		r.Duration = time.Duration(t - a.start)
	}
	l.recordEnd(a.index)
	b.homeRefusals.observe(t, e.inOwnZone, r.Outcome == Refused && r.NoRoom)
	l.mu.Lock()
	b.observe(e, t, r.Report)
	b.updateTimes(e, t, r)
	eject := false
	switch r.Outcome {
	case Succeeded:
		l.recordSuccess(t, a.start)
	case Failed:
		eject = l.recordFailure(t, a.start, &b.config)
	default:
		l.allowNextTrial(a.start)
	}
	l.mu.Unlock()
	if eject {
		b.eject(l, t)
	}
}

// Observe records a load report that arrived without an attempt, such as the answer to a
// load query. Reports of other incarnations are ignored.
func (b *Balancer) Observe(node fleet.NodeID, now time.Time, r *fleet.LoadReport) {
	e := b.Endpoint(node)
	if e == nil {
		return
	}
	e.load.mu.Lock()
	defer e.load.mu.Unlock()
	b.observe(e, int64(now.Sub(e.epoch)), r)
}

func (b *Balancer) observe(e *Endpoint, t int64, r *fleet.LoadReport) {
	if r != nil && r.Incarnation == e.Server.Incarnation {
		e.load.recordReport(t, r)
	}
}

// poolWeight is the weight of one answer in the mean service time over all servers.
const poolWeight = 0.02

func (b *Balancer) updateTimes(e *Endpoint, t int64, r Result) {
	atServer := r.AtServer
	if atServer > 0 {
		e.zone.record(max(r.Duration-atServer, 0))
	} else {
		atServer = max(r.Duration-time.Duration(e.zone.nanos.Load()), 0)
	}
	switch r.Outcome {
	case Succeeded:
		if r.Report == nil || r.Report.ServiceTime <= 0 {
			e.load.recordServiceTime(t, atServer)
		} else {
			// The mean is compared with reported service times, so it must not include what
			// the nodes add. Otherwise an untried server would always cost more than a server
			// with short answers. Time in queues stays in the mean, as the least difference
			// does not include it.
			b.nodeTime.record(max(atServer-r.Report.ServiceTime, 0))
			atServer -= time.Duration(b.nodeTime.nanos.Load())
		}
		mean := b.meanServiceTime.Load()
		b.meanServiceTime.Store(mean + poolWeight*(float64(atServer)-mean))
	case Canceled, Failed:
		// A complete answer would have taken at least this long. A time below the estimate
		// shows nothing about the server.
		if float64(atServer) > e.load.serviceTime.Load() {
			e.load.recordServiceTime(t, atServer)
		}
	}
}
