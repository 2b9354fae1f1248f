package loadgen

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
)

// WriteTable writes one row for each class: the counts, the latency in milliseconds,
// and how much higher the p99 is than that of direct calls to backend servers. Then
// it writes the number of refusals by kind. started is the result of ReadExecutions.
func WriteTable(w io.Writer, r *Result, started map[string]int) error {
	doubled := map[string]int64{}
	for _, o := range r.Outcomes() {
		if !o.Idempotent && started[o.WorkID] > 1 {
			doubled[o.Class]++
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tsent\tanswered\tnot run\trejected\tunknown\tdoubled\tp50 ms\tp99 ms\tdirect p99 ms\tadded p99 ms\t")
	for _, name := range r.Classes() {
		c := r.Class(name)
		direct, added := "-", "-"
		if c.Direct.TotalCount() > 0 {
			direct = millis(c.Direct.ValueAtQuantile(99))
			added = millis(c.Latency.ValueAtQuantile(99) - c.Direct.ValueAtQuantile(99))
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n", name, c.Sent, c.Answered, c.NotRun, c.Rejected,
			c.Unknown, doubled[name], millis(c.Latency.ValueAtQuantile(50)), millis(c.Latency.ValueAtQuantile(99)), direct, added)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return writeKinds(w, r)
}

func writeKinds(w io.Writer, r *Result) error {
	for _, name := range r.Classes() {
		c := r.Class(name)
		parts := make([]string, 0, len(c.Kinds))
		for k, n := range c.Kinds {
			parts = append(parts, fmt.Sprintf("%s=%d", k, n))
		}
		if len(parts) == 0 {
			continue
		}
		sort.Strings(parts)
		if _, err := fmt.Fprintf(w, "refusals of %s: %s\n", name, strings.Join(parts, " ")); err != nil {
			return err
		}
	}
	return nil
}

func millis(us int64) string { return fmt.Sprintf("%.2f", float64(us)/1000) }
