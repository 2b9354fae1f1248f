package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// script runs the cases of testdata/claims.txt against one Machine.
type script struct {
	m     *Machine
	index uint64
	ids   map[string]string // claim id by key
}

// Guards against unintended changes of the rules that callers depend on. The cases
// can be read without the code.
func TestScript(t *testing.T) {
	s := &script{m: New(), ids: map[string]string{}}
	datadriven.RunTest(t, "testdata/claims.txt", func(t *testing.T, d *datadriven.TestData) string {
		var at string
		d.ScanArgs(t, "at", &at)
		offset, err := time.ParseDuration(at)
		if err != nil {
			t.Fatal(err)
		}
		c, key := s.command(t, d)
		s.index++
		r := send(t, s.m, s.index, start.Add(offset), c)
		if r.ClaimID != "" {
			s.ids[key] = r.ClaimID
		}
		return describe(r)
	})
}

func (s *script) command(t *testing.T, d *datadriven.TestData) (c command, key string) {
	var owner string
	target, body := "n1", ""
	d.ScanArgs(t, "key", &key)
	d.ScanArgs(t, "owner", &owner)
	d.MaybeScanArgs(t, "target", &target)
	d.MaybeScanArgs(t, "body", &body)
	switch d.Cmd {
	case "begin":
		c.Begin = beginOf(key, owner)
		c.Begin.Target, c.Begin.Remaining = nodeID(target), 2*time.Second
		copy(c.Begin.Fingerprint[:], body)
	case "reassign":
		c.Reassign = &ReassignRequest{ClaimID: s.ids[key], Owner: owner, Target: nodeID(target), Incarnation: 1}
		d.ScanArgs(t, "refused", &c.Reassign.RefusedAttempt)
	case "finish":
		c.Finish = s.finish(t, d, key, owner)
	case "abandon":
		c.Abandon = &AbandonRequest{Key: key, Owner: owner}
		copy(c.Abandon.Fingerprint[:], body)
	case "lock":
		c.Lock = &LockRequest{Key: key, Owner: owner, Lease: 5 * time.Second}
	case "unlock":
		c.Unlock = &UnlockRequest{ClaimID: s.ids[key], Owner: owner}
	}
	return c, key
}

func (s *script) finish(t *testing.T, d *datadriven.TestData, key, owner string) *FinishRequest {
	f := &FinishRequest{ClaimID: s.ids[key], Owner: owner, Answer: &Answer{Status: 200}}
	var ending string
	d.ScanArgs(t, "ending", &ending)
	d.ScanArgs(t, "attempt", &f.Attempt)
	d.MaybeScanArgs(t, "status", &f.Answer.Status)
	f.Ending = map[string]Ending{"answered": Answered, "ambiguous": Ambiguous, "released": Released}[ending]
	return f
}

func describe(r Result) string {
	out := r.State.String()
	if r.Attempt > 0 {
		out += fmt.Sprintf(" attempt %d", r.Attempt)
	}
	if r.Answer != nil {
		out += fmt.Sprintf(" status %d", r.Answer.Status)
	}
	if r.Remaining > 0 {
		out += fmt.Sprintf(" %s left", r.Remaining)
	}
	return out
}
