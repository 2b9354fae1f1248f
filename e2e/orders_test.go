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

// Guards against requests with idempotency keys that run twice, are lost, or run although a
// refusal says that they did not, while nodes and backend servers are killed and restarted and
// callers send their requests again.
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

// Guards against a node that resumes after a freeze and runs a request that the caller has
// meanwhile sent again through other nodes.
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

// Guards against an answered request that runs a second time. The entry node is killed after its
// answer, and the caller sends the request with the same key to another node.
func TestAnsweredOrderIsReplayedAfterTheEntryNodeDied(t *testing.T) {
	f := newFleet(t, fleetOptions{controls: 3, plain: 1})
	f.bootstrap()
	first := f.send(f.instances[3], http.MethodPost, "/orders", "order-1", "key-1", nil)
	if first.status != http.StatusOK {
		t.Fatalf("first attempt: got %+v, want status 200", first)
	}
	f.instances[3].node.kill()
	resent := f.send(f.instances[1], http.MethodPost, "/orders", "order-1", "key-1", nil)
	replayed := resent.status == http.StatusOK && resent.header.Get(wire.HeaderReplayed) == "true" && resent.body == first.body
	if !replayed && resent.kind != errkind.InProgress {
		t.Errorf("request sent again: got %+v, want the replayed first answer or in_progress", resent)
	}
	if n := f.executions()["order-1"]; n != 1 {
		t.Errorf("the request ran %d times after it was sent again, want 1", n)
	}
}

// Guards against a request that crashes all servers of a service one after the other while its
// caller sends it again through every node.
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
			t.Fatalf("round %d of the request that crashes servers: %d backend servers are down, want at most 2", round, down)
		}
	}
	if n := f.executions()["poison"]; n < 1 || n > 2 {
		t.Errorf("the request that crashes servers ran %d times, want 1 or 2", n)
	}
	if a := f.send(f.instances[0], http.MethodGet, "/page", "innocent", "", nil); a.status != http.StatusOK {
		t.Errorf("request that crashes no server: got %+v, want status 200", a)
	}
	if out := f.ctl("suspects"); !strings.Contains(out, "/poison") {
		t.Errorf("bramleymillctl suspects does not list the request /poison: %s", out)
	}
	if out := f.ctl("events"); !strings.Contains(out, "crash_detected") {
		t.Errorf("bramleymillctl events does not list crash_detected: %s", out)
	}
}

// Guards against a drained backend server that still receives requests.
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
				t.Fatalf("request through %s during the drain: got %+v, want status 200", in.name, a)
			}
		}
	}
	if after := f.executionsAt(victim); after != before {
		t.Errorf("the server received %d requests during its drain, want 0", after-before)
	}
	f.ctl("undrain", victim.name)
	f.await("work at the server after undrain", func() bool {
		f.send(f.instances[1], http.MethodGet, "/page", "w", "", nil)
		return f.executionsAt(victim) > before
	})
}

// Guards against a planned stop that interrupts or loses requests. Every node must exit with
// status 0.
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
				t.Errorf("%s after SIGTERM: exit error = %v, want exit status 0", in.name, in.node.err)
			}
			in.backend.signal(syscall.SIGTERM)
			<-in.backend.done
			f.startBackend(in)
			f.startNode(in)
		}
	})
	if check.Unknown != 0 {
		t.Errorf("%d requests have an unknown outcome after planned stops, want 0", check.Unknown)
	}
}
