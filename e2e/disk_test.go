package e2e

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"
)

// Guards against lost state, and against changes accepted without a majority, when one control
// instance has lost its disk while another one is cut off. With three control instances, only one
// is then reachable and has its disk. That is no majority, so changes must wait. With five, three
// remain, so changes must still be accepted.
func TestLostDiskWhileAnotherIsCutOff(t *testing.T) {
	t.Parallel()
	for _, controls := range []int{3, 5} {
		t.Run(fmt.Sprint(controls, " control instances"), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, fleetOptions{controls: controls, plain: 1, links: true})
			f.bootstrap()
			f.awaitVoters(controls)
			before := f.apply(1)
			first := f.send(f.instances[controls], http.MethodPost, "/orders", "order-1", "key-1", nil)
			if first.status != http.StatusOK {
				t.Fatalf("request before the faults: got %+v, want status 200", first)
			}
			diskLost, cutOff, remaining := f.instances[0], f.instances[1], f.instances[2]
			f.cut(cutOff, true, true)
			diskLost.node.kill()
			if err := os.RemoveAll(f.path("data", diskLost.name)); err != nil {
				t.Fatal(err)
			}
			offset := len(f.log(diskLost))
			f.startNode(diskLost)

			after := before + 1
			if controls == 3 {
				f.checkNothingAccepted(before, 5*time.Second)
				f.heal()
				f.awaitVoting(diskLost, offset)
				// A change that was not accepted may have been written to one log. It can
				// then come into force once there is a majority again.
				v := f.apply(2)
				if v != after && v != after+1 {
					t.Errorf("version = %d after a change of version %d, want 1 or 2 more", v, before)
				}
				after = v
			} else {
				if v := f.applyThroughOthers(cutOff, 2); v != after {
					t.Errorf("version = %d after a change of version %d, want the next version", v, before)
				}
				f.awaitVoting(diskLost, offset)
				if s, ok := f.statusAt(cutOff); ok && s.Confirmed && s.Version < after {
					t.Errorf("the cut-off instance confirmed version %d, want at least the accepted version %d", s.Version, after)
				}
				f.heal()
			}
			f.awaitInForce(after, len(f.instances))
			resent := f.send(remaining, http.MethodPost, "/orders", "order-1", "key-1", nil)
			if resent.status != http.StatusOK || resent.body != first.body {
				t.Errorf("same request sent again: got %+v, want status 200 and the first answer", resent)
			}
			if n := f.executions()["order-1"]; n != 1 {
				t.Errorf("the request ran %d times after it was sent again, want 1", n)
			}
			f.ctl("history", "--verify")
		})
	}
}

// awaitVoters waits until the first n instances, which must be control instances, vote in both
// consensus groups.
func (f *fleet) awaitVoters(n int) {
	f.t.Helper()
	for _, in := range f.instances[:n] {
		if in != f.instances[0] { // bootstrap runs init at this instance, so it votes from the start
			f.awaitVoting(in, 0)
		}
	}
}

// checkNothingAccepted submits a change to every control instance repeatedly for the time d. The
// test fails if an instance accepts the change or confirms another version than the given one.
func (f *fleet) checkNothingAccepted(version uint64, d time.Duration) {
	f.t.Helper()
	file := f.document(90)
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, in := range f.instances {
			if !in.control {
				continue
			}
			if out, code := f.runWithStatus("bramleymillctl", f.operatorArgsAt(in, "apply", file, "--change-id", "lonely", "--timeout", "500ms")...); code == exitAccepted {
				f.t.Fatalf("%s accepted a change without a majority, want a refusal: %s", in.name, out)
			}
			if s, ok := f.statusAt(in); ok && s.Confirmed && s.Version != version {
				f.t.Fatalf("%s confirmed version %d, want the accepted version %d", in.name, s.Version, version)
			}
		}
	}
}
