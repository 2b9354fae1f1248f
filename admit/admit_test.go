package admit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

var start = time.Unix(1_700_000_000, 0)

var urgencies = map[string]fleet.Urgency{
	"low": fleet.UrgencyLow, "normal": fleet.UrgencyNormal,
	"high": fleet.UrgencyHigh, "critical": fleet.UrgencyCritical,
}

// Guards against unintended changes of the admission rules: the order of the queue, eviction,
// reserved slots, refusals because of a deadline, overload and draining. Each test case file
// is a script of commands with their expected results.
func TestControllerScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/controller", func(t *testing.T, path string) {
		var c *Controller
		now := start
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return runCommand(t, d, &c, &now)
		})
	})
}

func runCommand(t *testing.T, d *datadriven.TestData, c **Controller, now *time.Time) string {
	var id uint64
	d.MaybeScanArgs(t, "id", &id)
	elapsed := optionalDuration(t, d, "after")
	*now = now.Add(elapsed)
	switch d.Cmd {
	case "new":
		var cfg Config
		d.MaybeScanArgs(t, "slots", &cfg.Slots)
		d.MaybeScanArgs(t, "connections", &cfg.Connections)
		d.MaybeScanArgs(t, "queue", &cfg.QueueLength)
		d.MaybeScanArgs(t, "reserved", &cfg.Reserved)
		*c = NewController(cfg)
		return ""
	case "offer":
		var urgency string
		d.ScanArgs(t, "urgency", &urgency)
		r := Request{Urgency: urgencies[urgency], Internal: d.HasArg("internal"), Class: urgency}
		r.Reroutable, r.Hedge, r.OnlyServer = d.HasArg("movable"), d.HasArg("hedge"), d.HasArg("sole")
		r.Deadline = now.Add(optionalDuration(t, d, "deadline"))
		verdict, kind, actions := (*c).Offer(*now, id, r)
		return strings.TrimSpace(verdictName(verdict)+" "+string(kind)) + "\n" + describe(actions)
	case "done":
		return describe((*c).Done(*now, id, optionalDuration(t, d, "served")))
	case "cancel":
		queued, actions := (*c).Cancel(*now, id)
		return fmt.Sprintf("queued=%t\n%s", queued, describe(actions))
	case "tick":
		return describe((*c).Tick(*now))
	case "close":
		return describe((*c).Close(errkind.Draining))
	case "load":
		l := (*c).Load(*now)
		own := (*c).service.value(*now, (*c).config.EstimateHalfLife) // the estimate that admission uses
		return fmt.Sprintf("in_flight=%d queued=%d slots=%d service=%v age=%v own=%v closed=%q",
			l.InFlight, l.Queued, l.Slots, l.ServiceTime, l.ServiceAge, own, l.Closed)
	}
	t.Fatalf("unknown command %q in the test case file", d.Cmd)
	return ""
}

func optionalDuration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	var s string
	if !d.MaybeScanArgs(t, key, &s) {
		return 0
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func verdictName(v Verdict) string {
	return [...]string{Admitted: "admitted", Queued: "queued", Refused: "refused"}[v]
}

func describe(actions []Action) string {
	var b strings.Builder
	for _, a := range actions {
		if a.Kind == "" {
			fmt.Fprintf(&b, "start %d\n", a.ID)
		} else {
			fmt.Fprintf(&b, "refuse %d %s\n", a.ID, a.Kind)
		}
	}
	return b.String()
}
