package e2e

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"

	"bramleymill/faultlink"
)

// Exit statuses of bramleymillctl.
const (
	exitAccepted = 0
	exitRefused  = 2
)

type status struct {
	Version   uint64 `json:"version"`
	Confirmed bool   `json:"confirmed"`
	Nodes     []struct {
		Node          string `json:"node"`
		Live          bool   `json:"live"`
		ConfigVersion uint64 `json:"config_version"`
		OrdersVersion uint64 `json:"orders_version"`
	} `json:"nodes"`
}

// statusAt returns the status that an instance reports, or false if it reports none.
func (f *fleet) statusAt(in *instance) (status, bool) {
	f.t.Helper()
	out, code := f.runWithStatus("bramleymillctl", f.operatorArgsAt(in, "status", "--output", "json")...)
	var s status
	if code != 0 || json.Unmarshal([]byte(out), &s) != nil {
		return status{}, false
	}
	return s, true
}

// apply submits a change until it is accepted, and returns the confirmed version after it.
// All attempts have the same change id, so a change whose answer was lost is not applied twice.
func (f *fleet) apply(number int) uint64 {
	f.t.Helper()
	id := fmt.Sprintf("change-%d", number)
	file := f.document(number)
	f.await(id+" accepted", func() bool {
		_, code := f.runWithStatus("bramleymillctl", f.operatorArgs("apply", file, "--change-id", id)...)
		return code == exitAccepted
	})
	var version uint64
	f.await("a confirmed status", func() bool {
		for _, in := range f.instances {
			if s, ok := f.statusAt(in); ok && s.Confirmed {
				version = s.Version
				return true
			}
		}
		return false
	})
	return version
}

// awaitInForce waits until at least the given number of live nodes report a configuration of at
// least the given version.
func (f *fleet) awaitInForce(version uint64, nodes int) {
	f.t.Helper()
	f.await(fmt.Sprintf("version %d in force at %d live nodes", version, nodes), func() bool {
		for _, in := range f.instances {
			s, ok := f.statusAt(in)
			if !ok || !s.Confirmed {
				continue
			}
			upToDate := 0
			for _, n := range s.Nodes {
				if n.Live && n.ConfigVersion >= version {
					upToDate++
				}
			}
			return upToDate >= nodes
		}
		return false
	})
}

// awaitDrainOrders waits until every node reports at least the given version of the operator
// orders. A node with an older version may still send requests to the drained server, and the node
// of that server may still admit them.
func (f *fleet) awaitDrainOrders(version uint64) {
	f.t.Helper()
	f.await("the operator order to drain at every node", func() bool {
		s, ok := f.statusAt(f.instances[0])
		upToDate := 0
		for _, n := range s.Nodes {
			if n.Live && n.OrdersVersion >= version {
				upToDate++
			}
		}
		return ok && upToDate == len(f.instances)
	})
}

// Guards against loss or reversion of accepted changes while the control instances are killed
// and restarted one after the other.
func TestChangesWhileControlInstancesAreKilled(t *testing.T) {
	f := newFleet(t, fleetOptions{controls: 3, plain: 1})
	f.bootstrap()
	last := uint64(1)
	for round := range 6 {
		in := f.instances[round%3]
		in.node.kill()
		v := f.apply(round + 1)
		if v != last+1 {
			t.Fatalf("round %d: version = %d after a change of version %d, want the next version", round, v, last)
		}
		last = v
		f.startNode(in)
	}
	f.awaitInForce(last, 4)
	f.ctl("history", "--verify")
}

// Guards against loss of state or of service when two control instances fail in succession. The
// first one loses its data folder and rejoins, then a second one is killed.
func TestLostDiskThenASecondLoss(t *testing.T) {
	f := newFleet(t, fleetOptions{controls: 3, plain: 1})
	f.bootstrap()
	before := f.apply(1)
	f.instances[2].node.kill()
	if err := os.RemoveAll(f.path("data", f.instances[2].name)); err != nil {
		t.Fatal(err)
	}
	offset := len(f.log(f.instances[2]))
	f.startNode(f.instances[2])
	f.awaitVoting(f.instances[2], offset)
	f.instances[1].node.kill()
	after := f.apply(2)
	if after != before+1 {
		t.Fatalf("version = %d after a change of version %d, want the next version", after, before)
	}
	first := f.send(f.instances[3], "POST", "/orders", "order", "key", nil)
	if first.status != 200 {
		t.Errorf("request of class \"order\" while two of three control instances run: got %+v, want status 200", first)
	}
	f.startNode(f.instances[1])
	f.awaitInForce(after, 4)
}

// awaitVoting waits until the log of a control instance shows that it votes in both consensus
// groups. It reads the log only from offset on, which leaves out the lines of an earlier process.
func (f *fleet) awaitVoting(in *instance, offset int) {
	f.t.Helper()
	f.await(in.name+" voting in both groups", func() bool {
		log := f.log(in)[offset:]
		return strings.Contains(log, `msg="vote changed" node=`+in.name+` group=0 votes=true`) &&
			strings.Contains(log, `msg="vote changed" node=`+in.name+` group=1 votes=true`)
	})
}

// log returns the log of a node, over all its restarts.
func (f *fleet) log(in *instance) string {
	f.t.Helper()
	b, err := os.ReadFile(f.path(in.name + "-node.log"))
	if err != nil {
		f.t.Fatal(err)
	}
	return string(b)
}

// Guards against a control instance that confirms outdated state, or accepts changes based on it,
// after it was frozen for longer than every lease.
func TestFrozenControlInstances(t *testing.T) {
	f := newFleet(t, fleetOptions{controls: 3, plain: 1})
	f.bootstrap()
	last := uint64(1)
	for i := range 3 {
		in := f.instances[i]
		in.node.signal(syscall.SIGSTOP)
		last = f.apply(i + 1)
		in.node.signal(syscall.SIGCONT)
		f.await(in.name+" confirming the newest version after it resumed", func() bool {
			s, ok := f.statusAt(in)
			if ok && s.Confirmed && s.Version < last {
				t.Fatalf("%s confirmed version %d, want at least the accepted version %d", in.name, s.Version, last)
			}
			return ok && s.Confirmed && s.Version == last
		})
	}
	f.awaitInForce(last, 4)
}

// Guards against accepting the changes of two operators who change the same version at the same
// time.
func TestRacingOperators(t *testing.T) {
	f := newFleet(t, fleetOptions{controls: 3})
	f.bootstrap()
	for round := 1; round <= 15; round++ {
		var codes [2]int
		var wg sync.WaitGroup
		for i := range codes {
			file := f.document(100*round + i)
			wg.Go(func() {
				_, codes[i] = f.runWithStatus("bramleymillctl", f.operatorArgs("apply", file, "--expect", fmt.Sprint(round))...)
			})
		}
		wg.Wait()
		if codes[0]+codes[1] != exitAccepted+exitRefused || codes[0] == codes[1] {
			t.Fatalf("round %d: exit statuses = %v, want one 0 (accepted) and one 2 (refused)", round, codes)
		}
	}
}

// Guards against a change that is applied twice because the operator sends it again after its
// answer was lost. Each control instance in turn is killed before the change is sent again, so
// that the leader is among them.
func TestResentChange(t *testing.T) {
	f := newFleet(t, fleetOptions{controls: 3})
	f.bootstrap()
	file := f.document(1)
	f.ctl("apply", file, "--change-id", "same")
	for _, in := range f.instances {
		in.node.kill()
		f.await("acceptance of the resent change", func() bool {
			_, code := f.runWithStatus("bramleymillctl", f.operatorArgs("apply", file, "--change-id", "same", "--expect", "1")...)
			return code == exitAccepted
		})
		f.startNode(in)
		f.await(in.name+" confirming its status after the restart", func() bool { s, ok := f.statusAt(in); return ok && s.Confirmed })
	}
	if s, _ := f.statusAt(f.instances[0]); s.Version != 2 {
		t.Errorf("version after the change was sent again at each instance = %d, want 2", s.Version)
	}
}

// Guards against a control instance that accepts changes or confirms an outdated version while
// it is cut off from the others, or disturbs them when it is reachable again. Once its
// configuration is no longer confirmed, such an instance must also refuse the requests of its
// callers. TestCutOffNodeRefusesUntilItIsConfirmed checks this at a node without the control role.
func TestCutOffControlInstance(t *testing.T) {
	for _, c := range []struct {
		name    string
		in, out bool
	}{{"both ways", true, true}, {"cannot send", false, true}, {"cannot receive", true, false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, fleetOptions{controls: 3, plain: 1, links: true})
			f.bootstrap()
			victim := f.instances[0]
			f.cut(victim, c.in, c.out)
			last := f.applyThroughOthers(victim, 1)
			if s, ok := f.statusAt(victim); ok && s.Confirmed && s.Version < last {
				t.Errorf("the cut-off instance confirmed version %d, want at least the accepted version %d", s.Version, last)
			}
			if _, code := f.runWithStatus("bramleymillctl", f.operatorArgsAt(victim, "apply", f.document(50), "--expect", "1")...); code == exitAccepted {
				t.Error("the cut-off instance accepted a change that expected the outdated version 1, want a refusal")
			}
			f.heal()
			f.await("the reconnected instance confirming the newest version", func() bool {
				s, ok := f.statusAt(victim)
				return ok && s.Confirmed && s.Version == last
			})
			f.awaitInForce(last, 4)
		})
	}
}

// applyThroughOthers is like apply, but uses only the control instances other than victim.
func (f *fleet) applyThroughOthers(victim *instance, number int) uint64 {
	f.t.Helper()
	file := f.document(number)
	var version uint64
	f.await("acceptance of the change by another control instance", func() bool {
		for _, in := range f.instances {
			if in == victim || !in.control {
				continue
			}
			_, code := f.runWithStatus("bramleymillctl", f.operatorArgsAt(in, "apply", file, "--change-id", fmt.Sprint("cut-", number))...)
			s, ok := f.statusAt(in)
			if code == exitAccepted && ok && s.Confirmed {
				version = s.Version
				return true
			}
		}
		return false
	})
	return version
}

// cut blocks the control traffic that victim receives (in) and sends (out).
func (f *fleet) cut(victim *instance, in, out bool) {
	source := victim.address["peer"]
	for _, other := range f.instances {
		if other == victim {
			continue
		}
		if out { // the requests of victim and its answers to requests of others
			other.link.SetFaults(source, faultlink.Forward, faultlink.Cut)
			victim.link.SetFaults(other.address["peer"], faultlink.Backward, faultlink.Cut)
		}
		if in {
			other.link.SetFaults(source, faultlink.Backward, faultlink.Cut)
			victim.link.SetFaults(other.address["peer"], faultlink.Forward, faultlink.Cut)
		}
	}
}

// heal removes the faults from all links.
func (f *fleet) heal() {
	for _, in := range f.instances {
		in.link.Heal()
	}
}
