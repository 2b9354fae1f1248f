package e2e

import (
	"fmt"
	"testing"
)

// changesMissed is the number of changes made while one control instance is down.
const changesMissed = 500

// Guards against a control instance that does not catch up after it has missed hundreds of
// changes, and against changes that are lost when all control instances are killed.
func TestRestartAfterManyChanges(t *testing.T) {
	f := newFleet(t, fleetOptions{controls: 3})
	f.bootstrap()
	stopped := f.instances[2]
	stopped.node.kill()
	const last = 1 + changesMissed
	for version := uint64(1); version < last; version++ {
		file := f.document(int(version))
		f.await("acceptance of a change", func() bool {
			_, code := f.runWithStatus("bramleymillctl", f.operatorArgsAt(f.instances[version%2], "apply", file,
				"--expect", fmt.Sprint(version), "--change-id", fmt.Sprint("change-", version))...)
			return code == exitAccepted
		})
	}
	f.startNode(stopped)
	f.await("the restarted instance confirming the newest version", func() bool {
		s, ok := f.statusAt(stopped)
		return ok && s.Confirmed && s.Version == last
	})
	for _, in := range f.instances {
		in.node.kill()
	}
	for _, in := range f.instances {
		f.startNode(in)
	}
	f.await("all instances confirming the newest version after a restart", func() bool {
		for _, in := range f.instances {
			if s, ok := f.statusAt(in); !ok || !s.Confirmed || s.Version != last {
				return false
			}
		}
		return true
	})
	f.ctl("history", "--verify")
}
