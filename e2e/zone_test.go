package e2e

import (
	"context"
	"net/http"
	"testing"
	"time"

	"bramleymill/observe"
)

// Guards against lost requests when all nodes and backend servers of an availability zone stop
// at the same time, and against a burst of control messages when they return together.
func TestZoneStopsAndReturns(t *testing.T) {
	t.Parallel()
	const zones = 3
	f := newFleet(t, fleetOptions{controls: zones, plain: 2 * zones, zones: zones})
	f.bootstrap()
	var stopped, others []*instance
	for _, in := range f.instances {
		if in.zone == f.instances[0].zone {
			stopped = append(stopped, in)
		} else {
			others = append(others, in)
		}
	}
	f.load(5*time.Second, func() {
		time.Sleep(time.Second)
		for _, in := range stopped {
			in.node.kill()
			in.backend.kill()
			in.noLoad = true
		}
		f.awaitLive(others[0], len(others))
		for _, in := range others {
			if a := f.send(in, http.MethodGet, "/page", "during", "", nil); a.status != http.StatusOK {
				t.Errorf("request through %s while a zone is down: got %+v, want status 200", in.name, a)
			}
		}
	})
	f.awaitMetricsUpdate(others)
	// Only requests of class browse are sent, because those of class order cause further control
	// messages between the control instances, which replicate the claims.
	start, before := time.Now(), f.controlMessages(others)
	f.sendLoad("return", 3*time.Second, func() {
		for _, in := range stopped {
			f.startBackend(in)
			f.startNode(in)
			in.noLoad = false
		}
		f.awaitLive(others[0], len(f.instances))
	}, browseStream(100))
	f.awaitMetricsUpdate(f.instances)
	elapsed, now := time.Since(start).Seconds(), f.controlMessages(f.instances)
	for _, in := range f.instances {
		sent, limit := now[in.name]-before[in.name], maxJoinMessages+maxMessagesPerSecond*elapsed
		t.Logf("%s in %s sent %.0f control messages in %.1f s", in.name, in.zone, sent, elapsed)
		if sent > limit {
			t.Errorf("%s sent %.0f control messages in %.1f s while a zone returned, want at most %.0f", in.name, sent, elapsed, limit)
		}
	}
	orders := orderStream(60)
	orders.Resends = 8
	f.sendLoad("again", time.Second, func() {}, orders)
	for _, in := range stopped {
		before := f.executionsAt(in)
		f.await("work at "+in.name+" after its return", func() bool {
			f.send(in, http.MethodGet, "/page", "returned", "", nil)
			return f.executionsAt(in) > before
		})
	}
	f.awaitInForce(f.apply(1), len(f.instances))
}

// Limits of the control messages that a node sends when a zone returns. A node that retries
// without a pause sends hundreds of messages per second, and fewer on a slow machine.
const (
	maxJoinMessages      = 60 // messages to find a parent, subscribe to services and fetch the configuration
	maxMessagesPerSecond = 25 // an idle control instance sends 7 per second
)

// awaitLive waits until a control instance lists exactly n live nodes.
func (f *fleet) awaitLive(in *instance, n int) {
	f.t.Helper()
	f.await("the expected number of live nodes in the status of a control instance", func() bool {
		s, ok := f.statusAt(in)
		live := 0
		for _, node := range s.Nodes {
			if node.Live {
				live++
			}
		}
		return ok && live == n
	})
}

// controlMessages returns how many control messages each of the given nodes has sent.
func (f *fleet) controlMessages(list []*instance) map[string]float64 {
	f.t.Helper()
	out := map[string]float64{}
	for _, in := range list {
		out[in.name] = f.metric(in, "bramleymill_control_messages_sent")
	}
	return out
}

// awaitMetricsUpdate waits until the message counters of all given nodes have changed. Nodes
// publish their counters periodically, so the values are then recent.
func (f *fleet) awaitMetricsUpdate(list []*instance) {
	f.t.Helper()
	before := f.controlMessages(list)
	f.await("updated message counters", func() bool {
		for name, n := range f.controlMessages(list) {
			if n == before[name] {
				return false
			}
		}
		return true
	})
}

// metric returns the value of a metric of a node, or 0 if the metric does not exist yet.
func (f *fleet) metric(in *instance, name string) float64 {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	values, err := observe.Scrape(ctx, in.address["metrics"])
	if err != nil {
		f.t.Fatal(err)
	}
	return values[name]
}
