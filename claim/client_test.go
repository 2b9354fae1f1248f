package claim_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"bramleymill/claim"
	"bramleymill/errkind"
	"bramleymill/filter"
)

var _ filter.Claims = (*claim.Client)(nil)

// group is a stand-in for the claims group that processes each proposal as the next
// step of the script says: "ok"; "unavailable" or "rejected" (the error proves that
// the command was not proposed); "lost" (applied, but the reply is lost); "dropped"
// (not applied, and the sender cannot know this).
type group struct {
	machine *claim.Machine
	script  []string
	index   uint64
	largest int // size of the largest command in bytes
	cancel  context.CancelFunc
}

func (g *group) Propose(_ context.Context, command []byte) ([]byte, error) {
	g.largest = max(g.largest, len(command))
	step := g.script[0]
	g.script = g.script[1:]
	if len(g.script) == 0 {
		defer g.cancel()
	}
	switch step {
	case "unavailable":
		return nil, errkind.New(errkind.ControlUnavailable, "no leader")
	case "rejected":
		return nil, errkind.New(errkind.Unauthorized, "the node may not propose")
	case "dropped":
		return nil, errors.New("connection lost")
	}
	g.index++
	out := g.machine.Apply(g.index, time.Unix(1000, 0), command)
	if step == "lost" {
		return nil, errors.New("connection lost")
	}
	return out, nil
}

// Guards against a Begin that is reported as not claimed although it may still be
// granted, and against a retried proposal that creates a second claim.
func TestBeginReportsOnlyProvedOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		script  []string
		granted bool
		kind    errkind.Kind
	}{
		{"first proposal", []string{"ok"}, true, ""},
		{"lost reply is recovered by a retry", []string{"lost", "ok"}, true, ""},
		{"dropped proposal is retried", []string{"dropped", "unavailable", "ok"}, true, ""},
		{"never proposed", []string{"unavailable", "unavailable"}, false, errkind.ClaimsUnavailable},
		{"never proposed and a retry is useless", []string{"rejected", "ok"}, false, errkind.ClaimsUnavailable},
		{"retry rejected", []string{"dropped", "rejected", "ok"}, false, errkind.OutcomeUnknown},
		{"an earlier proposal may still be applied", []string{"dropped", "unavailable"}, false, errkind.OutcomeUnknown},
		{"granted without a reply", []string{"lost"}, false, errkind.OutcomeUnknown},
	}
	for _, c := range cases {
		ctx, cancel := context.WithCancel(context.Background())
		g := &group{machine: claim.New(), script: c.script, cancel: cancel}
		r, err := claim.NewClient(g).Begin(ctx, claim.BeginRequest{Key: "order/1", Owner: "a", Remaining: time.Second})
		cancel()
		if c.granted {
			if err != nil || r.State != claim.Granted || r.Attempt != 1 {
				t.Errorf("%s: result = %+v, error %v, want attempt 1 granted", c.name, r, err)
			}
		} else if err == nil || errkind.Of(err).Kind != c.kind {
			t.Errorf("%s: error = %v, want error kind %s", c.name, err, c.kind)
		}
		if n := g.machine.Stats().Records; n > 1 {
			t.Errorf("%s: number of claims = %d, want at most 1", c.name, n)
		}
	}
}

// Guards against a Finish that the log rejects because of its size. The claim would
// then become unknown although the answer is known.
func TestFinishIsBounded(t *testing.T) {
	for _, a := range []claim.Answer{
		{Status: 200, Body: make([]byte, claim.MaxAnswerBytes+1)},
		{Status: 200, Header: map[string][]string{"X": {strings.Repeat("x", 1<<20)}}},
	} {
		g := &group{machine: claim.New(), script: []string{"ok", "ok"}, cancel: func() {}}
		client := claim.NewClient(g)
		r, err := client.Begin(context.Background(), claim.BeginRequest{Key: "order/1", Owner: "a", Remaining: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		f := claim.FinishRequest{ClaimID: r.ClaimID, Owner: "a", Attempt: 1, Ending: claim.Answered, Answer: &a}
		if r, err := client.Finish(context.Background(), f); err != nil || r.State != claim.Recorded || g.largest > 64<<10 {
			t.Errorf("finish: result = %+v, error %v, largest command = %d bytes, want recorded with at most 65536 bytes", r, err, g.largest)
		}
	}
}

// Guards against a full store being reported as proof that the request did not run
// while an earlier proposal may still claim the key.
func TestFullStoreAfterUncertainProposal(t *testing.T) {
	for _, c := range []struct {
		script []string
		kind   errkind.Kind
	}{{[]string{"ok", "dropped", "ok"}, errkind.OutcomeUnknown}, {[]string{"ok", "ok"}, ""}} {
		ctx, cancel := context.WithCancel(context.Background())
		g := &group{machine: claim.New(), script: append([]string{"ok"}, c.script...), cancel: cancel}
		client := claim.NewClient(g)
		if err := client.SetLimits(ctx, claim.Limits{MaxClaims: 1, MaxBytes: 1 << 20, Retention: time.Hour}); err != nil {
			t.Fatal(err)
		}
		if _, err := client.Begin(ctx, claim.BeginRequest{Key: "order/1", Owner: "a", Remaining: time.Second}); err != nil {
			t.Fatal(err)
		}
		r, err := client.Begin(ctx, claim.BeginRequest{Key: "order/2", Owner: "b", Remaining: time.Second})
		cancel()
		if c.kind == "" && (err != nil || r.State != claim.Full) {
			t.Errorf("%v: result = %+v, error %v, want state full and no error", c.script, r, err)
		}
		if c.kind != "" && (err == nil || errkind.Of(err).Kind != c.kind) {
			t.Errorf("%v: error = %v, want error kind %s", c.script, err, c.kind)
		}
	}
}
