package member_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"bramleymill/fleet"
	"bramleymill/member"
	"bramleymill/transport/memory"
)

// faults drives a sim through random failures.
type faults struct {
	*sim
	random  *rand.Rand
	running map[fleet.NodeID]bool
	version uint64
}

const faultNodes = 30

func (f *faults) pause(longest time.Duration) { f.run(time.Duration(f.random.Int64N(int64(longest)))) }

func (f *faults) injectFault() {
	n := nodeName(f.random.IntN(faultNodes))
	c := f.random.IntN(len(f.sources))
	f.net.SetFaults(memory.Faults{Drop: 0.1 * float64(f.random.IntN(2)), Duplicate: 0.1 * float64(f.random.IntN(2))})
	switch f.random.IntN(8) {
	case 0:
		f.stop(n)
		delete(f.running, n)
	case 1:
		f.restart(n)
	case 2:
		f.byName[n].SetState(fleet.Left)
		f.run(time.Second)
		f.stop(n)
		delete(f.running, n)
	case 3:
		f.stop(controlName(c))
		f.pause(5 * time.Second)
		f.incarnation++
		f.start(controlName(c), "", f.sources[c])
	case 4:
		f.net.Isolate(address(n))
		f.pause(8 * time.Second)
		f.net.Reconnect(address(n))
	case 5:
		f.version++
		f.setVersion(f.version)
	case 6:
		if f.running[n] {
			f.freeze(n)
			f.pause(8 * time.Second)
			delete(f.stopped, n)
		}
	case 7:
		from, to := address(n), f.seeds[c]
		if f.random.IntN(2) == 0 {
			from, to = to, from
		}
		f.net.Cut(from, to)
		f.pause(8 * time.Second)
		f.net.Heal(from, to)
	}
	f.pause(3 * time.Second)
}

func (f *faults) restart(n fleet.NodeID) {
	if !f.running[n] {
		f.incarnation++
		f.start(n, "katalog", nil)
		f.running[n] = true
	}
}

func (f *faults) check() {
	f.t.Helper()
	f.each("", func(n fleet.NodeID, m *member.Member) {
		for _, x := range m.Servers("katalog") {
			if !f.running[x.Node] {
				f.t.Errorf("%s below %q 10s after the last fault: sees %s, want it gone because it has stopped", n, m.Parent(), x.Node)
			}
		}
		for x := range f.running {
			if f.sees(n, x, "katalog") == nil {
				f.t.Errorf("%s below %q 10s after the last fault: does not see the running node %s, want it seen", n, m.Parent(), x)
			}
		}
		if v, _ := m.Config(); v != f.version || m.ConfirmationAge() > 3*time.Second {
			f.t.Errorf("%s below %q 10s after the last fault: version %d confirmed %v ago, want version %d confirmed at most 3s ago", n, m.Parent(), v, m.ConfirmationAge(), f.version)
		}
	})
}

// Guards against members whose registries or configurations still differ 10 s after the
// last fault. BRAMLEYMILL_SEEDS sets the number of random sequences of faults.
func TestConvergesAfterFaults(t *testing.T) {
	seeds := uint64(2)
	if v, err := strconv.ParseUint(os.Getenv("BRAMLEYMILL_SEEDS"), 10, 32); err == nil {
		seeds = v
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			f := &faults{sim: newSim(t, 3, 3+r.IntN(6)), random: r, running: map[fleet.NodeID]bool{}, version: 1}
			for i := range faultNodes {
				f.restart(nodeName(i))
			}
			f.settle("katalog", faultNodes)
			for range 40 {
				f.injectFault()
			}
			f.net.SetFaults(memory.Faults{})
			f.each("", func(_ fleet.NodeID, m *member.Member) { m.Servers("katalog") })
			f.run(10 * time.Second)
			f.check()
		})
	}
}
