package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"bramleymill/explain"
)

// printPlan prints where a request would go.
func printPlan(w io.Writer, p *explain.Plan) {
	fmt.Fprintf(w, "entry node %s, zone %s, configuration %d confirmed %v ago\n", p.Entry, orNone(p.Zone), p.ConfigVersion, millis(p.ConfirmedAgo))
	fmt.Fprintf(w, "class %s, service %s, urgency %s, customer %s, mean size %.0f bytes\n", p.Class, p.Service, p.Urgency, orNone(p.Customer), p.Bytes)
	for _, a := range p.Assumed {
		fmt.Fprintf(w, "assumed: %s\n", a)
	}
	if q := p.Quota; q != nil {
		fmt.Fprintf(w, "quota %.2f/s, burst %.1f: %d permits at this node, %s%s\n", q.Rate, q.Burst, q.Permits, q.Verdict, wait(", next permit in", q.Wait))
	}
	for _, r := range p.Refusals {
		fmt.Fprintf(w, "refused: %s\n", r.Reason)
	}
	rows := [][]any{{"TARGET", "ZONE", "SHARE", "LEAVES THE ZONE"}}
	for _, t := range p.Targets {
		leaves := "no"
		if t.LeftZone != "" {
			leaves = "yes: " + t.LeftZone
		}
		rows = append(rows, []any{t.Node, t.Zone, fmt.Sprintf("%.1f%%", 100*t.Share), leaves})
	}
	if len(p.Targets) > 0 {
		printTable(w, rows)
	}
	rows = [][]any{{"SERVER", "ZONE", "COST", "REQUESTS", "SLOTS", "LOAD AGE", "FAILURES", "STATE"}}
	for i := range p.Candidates {
		c := &p.Candidates[i]
		age := "none"
		if c.Age >= 0 {
			age = millis(c.Age).String()
		}
		rows = append(rows, []any{c.Node, c.Zone, millis(c.Cost), fmt.Sprintf("%.1f", c.Requests), c.Slots, age, fmt.Sprintf("%.2f", c.FailureRate), serverState(c)})
	}
	printTable(w, rows)
	if p.Omitted > 0 {
		fmt.Fprintf(w, "%d more servers are not shown\n", p.Omitted)
	}
}

// serverState describes what keeps requests away from a server.
func serverState(c *explain.PlanCandidate) string {
	var list []string
	if c.Excluded != "" {
		list = append(list, c.Excluded)
	}
	if c.TrialDue {
		list = append(list, "trial due")
	}
	if c.Full {
		list = append(list, "full")
	}
	if c.Cold {
		list = append(list, "cold")
	}
	if c.PermitWait > 0 {
		list = append(list, fmt.Sprintf("no permit for %v", millis(c.PermitWait)))
	}
	if c.LinkBacklog > 0 {
		list = append(list, fmt.Sprintf("link busy for %v", millis(c.LinkBacklog)))
	}
	return strings.Join(list, ", ")
}

func wait(text string, d time.Duration) string {
	if d <= 0 {
		return ""
	}
	return fmt.Sprintf("%s %v", text, millis(d))
}

// millis rounds d for output.
func millis(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
