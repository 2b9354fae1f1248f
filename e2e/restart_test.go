package e2e

import (
	"fmt"
	"testing"
)

// changesMissed is the number of changes during which a control instance is away.
const changesMissed = 500

// Guards against a control instance that does not catch up after hundreds of
// changes, and against changes that are lost when all instances are killed.
func TestRestartAfterManyChanges(t *testing.T) {
	f := newFleet(t, fleetOptions{controls: 3})
	f.bootstrap()
	stopped := f.instances[2]
	stopped.node.kill()
	const last = 1 + changesMissed
	for version := uint64(1); version < last; version++ {
		file := f.document(int(version))
		f.await("change accepted", func() bool {
			_, code := f.runWithStatus("bramleymillctl", f.operatorArgsAt(f.instances[version%2], "apply", file,
				"--expect", fmt.Sprint(version), "--change-id", fmt.Sprint("change-", version))...)
			return code == exitAccepted
		})
	}
	f.startNode(stopped)
	f.await("returned instance current", func() bool {
		s, ok := f.statusAt(stopped)
		return ok && s.Confirmed && s.Version == last
	})
	for _, in := range f.instances {
		in.node.kill()
	}
	for _, in := range f.instances {
		f.startNode(in)
	}
	f.await("all instances current", func() bool {
		for _, in := range f.instances {
			if s, ok := f.statusAt(in); !ok || !s.Confirmed || s.Version != last {
				return false
			}
		}
		return true
	})
	f.ctl("history", "--verify")
}
