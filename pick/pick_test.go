package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

var start = time.Unix(1_700_000_000, 0)

func servers(n int) []fleet.Server {
	out := make([]fleet.Server, n)
	for i := range out {
		out[i] = fleet.Server{Node: nodeName(i), Incarnation: 1, Zone: "zone-a", State: fleet.Ready, Slots: 10}
	}
	return out
}

func nodeName(i int) fleet.NodeID {
	return fleet.NodeID([]byte{'n', byte('a' + i/676), byte('a' + i/26%26), byte('a' + i%26)})
}

func newBalancer(c Config, list []fleet.Server) (*Balancer, *rand.Rand) {
	b := New(c)
	b.Update(start, list, "zone-a")
	return b, rand.New(rand.NewPCG(1, 2))
}

// answer records a request that was sent to node at now and ended after d with outcome o and
// load report r.
func answer(b *Balancer, node fleet.NodeID, now time.Time, d time.Duration, o Outcome, r *fleet.LoadReport) {
	a := b.Started(b.Endpoint(node), now)
	b.Finished(a, now.Add(d), Result{Outcome: o, Report: r})
}

// counts returns how often each node is selected by n calls of Pick at now. x holds excluded
// nodes.
func counts(b *Balancer, rng *rand.Rand, now time.Time, n int, x *NodeSet) map[fleet.NodeID]int {
	out := map[fleet.NodeID]int{}
	for range n {
		if e, _ := b.Pick(now, rng, x); e != nil {
			out[e.Server.Node]++
		}
	}
	return out
}

// Guards against the selection of servers that are not in the state Ready, and against a Pick
// that returns neither a server nor an error kind.
func TestOnlyReadyServersAreSelected(t *testing.T) {
	list := servers(5)
	for i, s := range []fleet.ServerState{fleet.Starting, fleet.Draining, fleet.Down, fleet.Left} {
		list[i].State = s
	}
	b, rng := newBalancer(Config{}, list)
	got := counts(b, rng, start, 100, nil)
	if len(got) != 1 || got[list[4].Node] != 100 {
		t.Fatalf("servers selected in 100 calls = %v, want only %s, the one that is ready", got, list[4].Node)
	}
	var x NodeSet
	x.Add(list[4].Node)
	if e, kind := b.Pick(start, rng, &x); e != nil || kind != errkind.NoBackendServer {
		t.Fatalf("Pick with every server excluded = %v, %q, want nil and no_backend_server", e, kind)
	}
}

// Guards against the selection of a server whose load report states that it drains. Its
// announcement states this only later.
func TestReportedDrainStopsSelection(t *testing.T) {
	b, rng := newBalancer(Config{}, servers(3))
	b.Observe(nodeName(0), start, &fleet.LoadReport{Incarnation: 1, Sequence: 1, Draining: true})
	if got := counts(b, rng, start, 300, nil); got[nodeName(0)] != 0 {
		t.Fatalf("server that reported a drain was selected %d times in 300 calls, want 0", got[nodeName(0)])
	}
}

// Guards against a slow server that keeps its share of the requests after a slow answer, and
// against a slow server that is avoided permanently.
func TestStragglerIsAvoidedAndSelectedAgain(t *testing.T) {
	b, rng := newBalancer(Config{Candidates: 3}, servers(3))
	for i := range 3 {
		answer(b, nodeName(i), start, 10*time.Millisecond, Succeeded, nil)
	}
	answer(b, nodeName(0), start, 200*time.Millisecond, Succeeded, nil)
	now := start.Add(201 * time.Millisecond)
	if got := counts(b, rng, now, 300, nil)[nodeName(0)]; got != 0 {
		t.Errorf("server was selected %d times in 300 calls after a slow answer, want 0", got)
	}
	views := b.Views(now.Add(time.Hour))
	if views[0].Cost > views[1].Cost*101/100 {
		t.Errorf("cost of the straggler after an hour = %v, want at most 1%% more than %v, the cost of another server", views[0].Cost, views[1].Cost)
	}
}

// Guards against a server that is considered slow only after the answer to a stuck request.
// The age of an outstanding request must raise the cost before that.
func TestOutstandingRequestRaisesCost(t *testing.T) {
	b, rng := newBalancer(Config{}, servers(3))
	for i := range 3 {
		answer(b, nodeName(i), start, 10*time.Millisecond, Succeeded, nil)
	}
	stuck := b.Started(b.Endpoint(nodeName(1)), start)
	now := start.Add(300 * time.Millisecond)
	for i := range 3 {
		// With equal reports the servers differ only by the age of the request.
		b.Observe(nodeName(i), now, &fleet.LoadReport{Incarnation: 1, Sequence: 1, InFlight: 1})
	}
	if got := counts(b, rng, now, 300, nil)[nodeName(1)]; got != 0 {
		t.Errorf("server with a stuck request was selected %d times in 300 calls, want 0", got)
	}
	b.Finished(stuck, now, Result{Outcome: Canceled})
	if n := b.Endpoint(nodeName(1)).load.outstanding.Load(); n != 0 {
		t.Errorf("outstanding requests after the stuck request ended = %d, want 0", n)
	}
}

// Guards against estimates of a server that are lost when the pool is updated, and against
// estimates that are kept for a new incarnation.
func TestEstimatesSurviveUpdates(t *testing.T) {
	list := servers(3)
	b, _ := newBalancer(Config{}, list)
	answer(b, nodeName(0), start, 300*time.Millisecond, Succeeded, nil)
	pending := b.Started(b.Endpoint(nodeName(0)), start)
	list[0].Sequence++
	b.Update(start.Add(time.Second), list, "zone-a")
	l := b.Endpoint(nodeName(0)).load
	if l.serviceTime.Load() == 0 || l.outstanding.Load() != 1 {
		t.Errorf("after an update: service time = %v, want it above 0; outstanding = %d, want 1", l.serviceTime.Load(), l.outstanding.Load())
	}
	b.Finished(pending, start.Add(time.Second), Result{Outcome: Canceled})
	if l.outstanding.Load() != 0 {
		t.Error("a request that started before the update is still outstanding after its end, want no outstanding request")
	}
	list[0].Incarnation = 2
	b.Update(start.Add(2*time.Second), list, "zone-a")
	if b.Endpoint(nodeName(0)).load == l {
		t.Error("a new incarnation shares the load estimates of the old one, want new estimates")
	}
}

// Guards against a server that receives its full share of the requests immediately after its
// start, also when the clock of its node is ahead.
func TestSlowStart(t *testing.T) {
	list := servers(3)
	list[1].ReadySince = start.Add(time.Minute).UnixMilli()
	b, _ := newBalancer(Config{}, list)
	views := b.Views(start)
	if want := DefaultSlowStartFactor * views[0].Cost; views[1].Cost != want {
		t.Errorf("cost at the start of the warm-up = %v, want %v", views[1].Cost, want)
	}
	views = b.Views(start.Add(DefaultSlowStart))
	if views[1].Cost != views[0].Cost {
		t.Errorf("cost after the warm-up = %v, want %v", views[1].Cost, views[0].Cost)
	}
}

// Guards against a report whose weight does not fall with its age, against the use of reports
// that are out of order or from another incarnation, and against ignoring requests that were
// sent since the report.
func TestReportsAgeAndRequestsSinceCount(t *testing.T) {
	b, _ := newBalancer(Config{}, servers(2))
	l := b.Endpoint(nodeName(0)).load
	report := func(seq uint64, inFlight int) *fleet.LoadReport {
		return &fleet.LoadReport{Incarnation: 1, Sequence: seq, InFlight: inFlight}
	}
	halfLife := int64(DefaultReportHalfLife)
	b.Observe(nodeName(0), start, report(5, 4))
	b.Observe(nodeName(0), start, report(6, 24))
	b.Observe(nodeName(0), start, report(5, 90))
	b.Observe(nodeName(0), start, &fleet.LoadReport{Incarnation: 2, Sequence: 9, InFlight: 90})
	if got := l.expectedRequests(0, halfLife); got != 24 {
		t.Errorf("expected requests with a new report = %v, want 24", got)
	}
	if got := l.expectedRequests(halfLife, halfLife); got != 15 {
		t.Errorf("expected requests at the half-life of the report = %v, want 15, halfway between 24 and the mean 6", got)
	}
	b.Started(b.Endpoint(nodeName(0)), start)
	if got := l.expectedRequests(0, halfLife); got != 25 {
		t.Errorf("expected requests after one more request = %v, want 25", got)
	}
}

// Guards against the selection of a server in another zone at equal load, and against a zone
// delay that keeps its default after a round trip was measured.
func TestZoneDelayIsMeasured(t *testing.T) {
	list := servers(2)
	list[1].Zone = "zone-b"
	b, rng := newBalancer(Config{}, list)
	if got := counts(b, rng, start, 100, nil); got[nodeName(1)] != 0 {
		t.Errorf("servers selected in 100 calls at equal load = %v, want only the server in the selecting node's zone", got)
	}
	a := b.Started(b.Endpoint(nodeName(1)), start)
	b.Finished(a, start, Result{Duration: 10*time.Millisecond + 200*time.Microsecond, AtServer: 10 * time.Millisecond, Outcome: Succeeded})
	if got := time.Duration(b.zones["zone-b"].nanos.Load()); got != 200*time.Microsecond {
		t.Errorf("measured zone delay = %v, want 200µs", got)
	}
}

// Guards against herding, where nodes with the same information all select the same server.
func TestEqualServersShareTheLoad(t *testing.T) {
	b, rng := newBalancer(Config{}, servers(20))
	got := counts(b, rng, start, 20000, nil)
	for node, n := range got {
		if n < 500 || n > 1500 {
			t.Errorf("%s received %d of 20000 requests for 20 servers, want 500 to 1500", node, n)
		}
	}
}

// Guards against PickAmong selecting a server that does not accept work or is not among the
// given nodes, although it has the lowest cost.
func TestPickAmongTheGivenNodes(t *testing.T) {
	list := servers(6)
	list[1].State = fleet.Draining
	b, _ := newBalancer(Config{}, list)
	for i, queue := range []int{0, 0, 9, 5, 7, 0} {
		b.Observe(nodeName(i), start, &fleet.LoadReport{Incarnation: 1, Sequence: 1, InFlight: queue, Slots: 10})
	}
	var given NodeSet
	if e := b.PickAmong(start, &given); e != nil {
		t.Errorf("PickAmong without nodes = %s, want nil", e.Server.Node)
	}
	for _, i := range []int{1, 2, 3, 4} {
		given.Add(nodeName(i))
	}
	given.Add("gone")
	if e := b.PickAmong(start, &given); e == nil || e.Server.Node != nodeName(3) {
		t.Errorf("PickAmong = %+v, want the server with index 3, the least loaded of those that are given and ready", e)
	}
}

// Guards against a server that gets no requests for a minute because of a failure or a slow
// answer long ago, while requests are few and fast.
func TestServerIsTriedAgainAfterItsFailures(t *testing.T) {
	const pause, service = 20 * time.Millisecond, 2 * time.Millisecond
	for name, prepare := range map[string]func(b *Balancer, bad fleet.NodeID){
		"one failure": func(b *Balancer, bad fleet.NodeID) { answer(b, bad, start, time.Millisecond, Failed, nil) },
		"four failures": func(b *Balancer, bad fleet.NodeID) {
			for range 4 {
				answer(b, bad, start, time.Millisecond, Failed, nil)
			}
		},
		"lost connection": func(b *Balancer, bad fleet.NodeID) { answer(b, bad, start, 2*time.Second, Failed, nil) },
		"slow answer":     func(b *Balancer, bad fleet.NodeID) { answer(b, bad, start, 2*time.Second, Succeeded, nil) },
		"cancelled":       func(b *Balancer, bad fleet.NodeID) { answer(b, bad, start, 2*time.Second, Canceled, nil) },
		"slow measurement": func(b *Balancer, bad fleet.NodeID) {
			answer(b, bad, start, 2*time.Second, Succeeded, &fleet.LoadReport{Incarnation: 1, Sequence: 1, Slots: 10, ServiceTime: 2 * time.Second})
		},
	} {
		t.Run(name, func(t *testing.T) {
			b, rng := newBalancer(Config{}, servers(2))
			bad := nodeName(1)
			prepare(b, bad)
			for now := start.Add(2 * time.Second); ; now = now.Add(pause) {
				e, _ := b.Pick(now, rng, nil)
				if e.Server.Node == bad {
					t.Logf("tried again after %v", now.Sub(start))
					return
				}
				if now.Sub(start) > time.Minute {
					view := b.View(b.Endpoint(bad), now)
					t.Fatalf("no request within a minute: cost %v, failure rate %.3f; cost of the other server %v", view.Cost, view.FailureRate, b.View(e, now).Cost)
				}
				answer(b, e.Server.Node, now, service+time.Duration(rng.Int64N(int64(service))), Succeeded, nil)
			}
		})
	}
}

// Guards against a server that gets no requests because the mean that stands for its service
// time includes what the service times that the others report do not.
func TestServerIsTriedAgainBesideReportedServiceTimes(t *testing.T) {
	const pause, service, overhead = 20 * time.Millisecond, 300 * time.Microsecond, 1200 * time.Microsecond
	b, rng := newBalancer(Config{}, servers(2))
	bad := nodeName(1)
	answer(b, bad, start, time.Millisecond, Failed, nil)
	sequence := uint64(0)
	for now := start.Add(2 * time.Second); ; now = now.Add(pause) {
		e, _ := b.Pick(now, rng, nil)
		if e.Server.Node == bad {
			return
		}
		if now.Sub(start) > 5*time.Minute {
			t.Fatalf("no request within five minutes: cost %v, cost of the other server %v", b.View(b.Endpoint(bad), now).Cost, b.View(e, now).Cost)
		}
		sequence++
		reported := service + time.Duration(rng.Int64N(int64(service)/2))
		answer(b, e.Server.Node, now, reported+overhead, Succeeded, &fleet.LoadReport{Incarnation: 1, Sequence: sequence, Slots: 10, ServiceTime: reported})
	}
}
