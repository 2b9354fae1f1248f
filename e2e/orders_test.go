package e2e

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"bramleymill/errkind"
	wire "bramleymill/fleet"
	"bramleymill/standin"
)

// Guards against orders that run twice, are lost or are falsely refused while
// nodes and backend servers are killed and restarted and callers send again.
func TestOrdersWhileProcessesAreKilled(t *testing.T) {
	f := newFleet(t, fleetOptions{controls: 3, plain: 2})
	f.bootstrap()
	f.load(6*time.Second, func() {
		for _, i := range []int{3, 0, 4} {
			time.Sleep(time.Second)
			f.instances[i].node.kill()
			f.startNode(f.instances[i])
			f.instances[i].backend.kill()
			f.startBackend(f.instances[i])
		}
	})
}

// Guards against a frozen node that runs an order again when it wakes, after the
// caller has sent it through other nodes.
func TestOrdersWhileNodesFreeze(t *testing.T) {
	f := newFleet(t, fleetOptions{controls: 3, plain: 2})
	f.bootstrap()
	f.load(9*time.Second, func() {
		time.Sleep(time.Second)
		f.instances[3].node.signal(syscall.SIGSTOP)
		f.instances[0].node.signal(syscall.SIGSTOP)
		time.Sleep(5 * time.Second)
		f.instances[3].node.signal(syscall.SIGCONT)
		f.instances[0].node.signal(syscall.SIGCONT)
	})
}

// Guards against an order that is answered, and then runs again when its key is
// sent to another node after the loss of the entry node.
func TestAnsweredOrderIsReplayedAfterTheEntryNodeDied(t *testing.T) {
	f := newFleet(t, fleetOptions{controls: 3, plain: 1})
	f.bootstrap()
	first := f.send(f.instances[3], http.MethodPost, "/orders", "order-1", "key-1", nil)
	if first.status != http.StatusOK {
		t.Fatalf("first: %+v", first)
	}
	f.instances[3].node.kill()
	resent := f.send(f.instances[1], http.MethodPost, "/orders", "order-1", "key-1", nil)
	replayed := resent.status == http.StatusOK && resent.header.Get(wire.HeaderReplayed) == "true" && resent.body == first.body
	if !replayed && resent.kind != errkind.InProgress {
		t.Errorf("again: %+v", resent)
	}
	if n := f.executions()["order-1"]; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// Guards against one request that takes the servers of a service down one after
// the other while its caller sends it again through every node.
func TestRequestThatCrashesServers(t *testing.T) {
	f := newFleet(t, fleetOptions{controls: 3, plain: 3})
	f.bootstrap()
	crash := func(h http.Header) { h.Set(standin.HeaderCrash, "yes") }
	for round := range 4 {
		for _, in := range f.instances {
			f.send(in, http.MethodGet, "/poison", "poison", "", crash)
		}
		down := 0
		for _, in := range f.instances {
			if in.backend.ended() {
				down++
			}
		}
		if down > 2 {
			t.Fatalf("round %d: %d backend servers are down, want at most 2", round, down)
		}
	}
	if n := f.executions()["poison"]; n < 1 || n > 2 {
		t.Errorf("the request ran %d times, want 1 or 2", n)
	}
	if a := f.send(f.instances[0], http.MethodGet, "/page", "innocent", "", nil); a.status != http.StatusOK {
		t.Errorf("another request: %+v", a)
	}
	if out := f.ctl("suspects"); !strings.Contains(out, "/poison") {
		t.Errorf("the request is not listed: %s", out)
	}
	if out := f.ctl("events"); !strings.Contains(out, "crash_detected") {
		t.Errorf("the crash is no event: %s", out)
	}
}

// Guards against a drained backend server that still gets work.
func TestDrainByAnOperator(t *testing.T) {
	f := newFleet(t, fleetOptions{controls: 3, plain: 2})
	f.bootstrap()
	victim := f.instances[4]
	f.ctl("drain", victim.name)
	f.awaitDrainOrders(1)
	before := f.executionsAt(victim)
	for range 50 {
		for _, in := range f.instances {
			if a := f.send(in, http.MethodGet, "/page", "w", "", nil); a.status != http.StatusOK {
				t.Fatalf("through %s: %+v", in.name, a)
			}
		}
	}
	if after := f.executionsAt(victim); after != before {
		t.Errorf("the drained server got %d requests", after-before)
	}
	f.ctl("undrain", victim.name)
	f.await("work after undrain", func() bool {
		f.send(f.instances[1], http.MethodGet, "/page", "w", "", nil)
		return f.executionsAt(victim) > before
	})
}

// Guards against a planned stop that cuts work off: every process ends with
// status 0 and no request is lost.
func TestGracefulStopUnderLoad(t *testing.T) {
	f := newFleet(t, fleetOptions{controls: 3, plain: 2})
	f.bootstrap()
	check := f.load(5*time.Second, func() {
		for _, i := range []int{3, 0} {
			time.Sleep(time.Second)
			in := f.instances[i]
			in.node.signal(syscall.SIGTERM)
			<-in.node.done
			if in.node.err != nil {
				t.Errorf("%s: %v", in.name, in.node.err)
			}
			in.backend.signal(syscall.SIGTERM)
			<-in.backend.done
			f.startBackend(in)
			f.startNode(in)
		}
	})
	if check.Unknown != 0 {
		t.Errorf("%d requests have an unknown outcome after planned stops", check.Unknown)
	}
}
