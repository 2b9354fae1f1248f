package raft

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScenarios runs the test cases in testdata. The comments in each file name
// the failures that the cases guard against.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s *sim
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				var servers int
				d.ScanArgs(t, "servers", &servers)
				s = newSim(t, 1, servers)
				s.formGroup(servers)
				return s.describe()
			}
			return s.command(t, d)
		})
	})
}

// formGroup lets every server join, and become a voter if there are fewer than
// MaxVoters.
func (s *sim) formGroup(servers int) {
	for range 2 * servers {
		s.runFor(100 * time.Millisecond)
		s.joinNext()
	}
	s.runFor(200 * time.Millisecond)
}

func (s *sim) command(t *testing.T, d *datadriven.TestData) string {
	var name string
	if d.HasArg("server") {
		d.ScanArgs(t, "server", &name)
	}
	switch d.Cmd {
	case "settle":
		var ms int
		d.ScanArgs(t, "ms", &ms)
		s.runFor(time.Duration(ms) * time.Millisecond)
	case "propose":
		if l := s.leader(); l == nil || !s.propose(l) {
			return "refused"
		}
	case "cut":
		s.isolate(s.resolveServer(name).name, true)
	case "cut-incoming":
		for _, v := range s.servers {
			s.blockedLinks[[2]nodeName{v.name, s.resolveServer(name).name}] = true
		}
	case "heal":
		clear(s.blockedLinks)
	case "crash":
		s.crash(s.resolveServer(name))
	case "restart":
		s.restart(s.resolveServer(name))
	case "wipe":
		s.crash(s.resolveServer(name))
		s.wipe(s.resolveServer(name))
		s.restart(s.resolveServer(name))
	case "join":
		s.joinNext()
	case "transfer":
		l := s.leader()
		l.node.Transfer(s.reading(l))
		s.run(l, -1)
	case "read":
		return s.tryRead(s.resolveServer(name))
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return s.describe()
}

// resolveServer returns the server with the given name. The name "leader" stands
// for the current leader.
func (s *sim) resolveServer(name string) *server {
	if name == "leader" {
		return s.leader()
	}
	return s.server(nodeName(name))
}

// tryRead starts a read on v and returns whether it was refused, confirmed or not
// confirmed after the maximum election timeout.
func (s *sim) tryRead(v *server) string {
	r, ok := v.node.StartRead(s.reading(v))
	if !ok {
		return "refused"
	}
	s.run(v, -1)
	s.runFor(simTiming.ElectionMax)
	if confirmed, _ := v.node.ReadConfirmed(r); !confirmed {
		return "not confirmed"
	}
	return "confirmed"
}

// describe returns one line for each server with its role, term and commit index,
// in the format of the files in testdata.
func (s *sim) describe() string {
	var b strings.Builder
	for _, v := range s.servers {
		if v.node == nil {
			fmt.Fprintf(&b, "%s down\n", v.name)
			continue
		}
		n := v.node
		membership := "outside"
		if n.conf.IsVoter(n.id) {
			membership = "voter"
		} else if _, ok := n.conf.Find(n.id); ok {
			membership = "learner"
		}
		fmt.Fprintf(&b, "%s %s %s %s, term %d, commit %d\n", v.name, v.disk.id, membership, n.role, n.hardState.Term, n.commit)
	}
	return b.String()
}
