package benchmark

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// WritePage reads the results files in a folder, draws the plots and writes the page
// PageFile into the same folder.
func WritePage(folder string) error {
	var policies Policies
	var hop Hop
	var path Path
	var benchmarks GoBenchmarks
	for name, v := range map[string]any{PoliciesFile: &policies, HopFile: &hop, PathFile: &path, GoFile: &benchmarks} {
		if err := readJSON(folder, name, v); err != nil {
			return err
		}
	}
	plots, err := WritePlots(folder, &policies)
	if err != nil {
		return err
	}
	var b strings.Builder
	b.WriteString("# Results of `make bench`\n\n")
	writeRun(&b, &policies.Run)
	b.WriteString("\nThe meaning of every figure is in [bench/README.md](../README.md).\n")
	writePolicies(&b, &policies, plots)
	writeHop(&b, &hop)
	writePath(&b, &path)
	writeGoBenchmarks(&b, &benchmarks)
	writeCommands(&b, policies.Run, hop.Run, path.Run, benchmarks.Run)
	return os.WriteFile(filepath.Join(folder, PageFile), []byte(b.String()), 0o644)
}

func writeRun(b *strings.Builder, r *Run) {
	if r.Note != "" {
		fmt.Fprintf(b, "**%s**\n\n", r.Note)
	}
	fmt.Fprintf(b, "Date %s, %s, %s, %d processors, seed %d.\n", r.Date.Format("2006-01-02 15:04 MST"), r.GoVersion, r.Platform, r.CPUs, r.Seed)
}

func writeCommands(b *strings.Builder, runs ...Run) {
	b.WriteString("\n## Commands\n\n")
	for _, r := range runs {
		fmt.Fprintf(b, "- `%s`\n", r.Command)
	}
}

func writeTableHeader(b *strings.Builder, columns ...string) {
	fmt.Fprintf(b, "\n| %s |\n|%s\n", strings.Join(columns, " | "), strings.Repeat("---|", len(columns)))
}

func writeRow(b *strings.Builder, format string, args ...any) {
	fmt.Fprintf(b, "| "+format+" |\n", args...)
}

func writePolicies(b *strings.Builder, p *Policies, plots []string) {
	b.WriteString("\n## Policies on recorded traces\n")
	for _, name := range plots {
		fmt.Fprintf(b, "\n![p99 against the cost of measuring](%s)\n", name)
	}
	b.WriteString("\n### Figures for each trace\n")
	writeTableHeader(b, "trace", "class", "policy", "requests", "p50 ms", "p99 ms", "p99.9 ms", "unanswered", "goodput /s", "probes/s", "bytes/s", "share of probes", "share of bytes")
	sorted := slices.Clone(p.Figures)
	slices.SortStableFunc(sorted, func(x, y Figures) int {
		return strings.Compare(x.Deployment+x.Trace+x.Class, y.Deployment+y.Trace+y.Class)
	})
	for _, f := range sorted {
		writeRow(b, "%s | %s | %s | %d | %.1f | %.1f | %.1f | %s | %.0f | %.3f | %.0f | %.3f | %.3f",
			traceName(f.Deployment, f.Trace), f.Class, f.Policy, f.Requests, f.P50, f.P99, f.P999, formatCounts(f.Unanswered), f.Goodput,
			f.Cost.ProbesPerServer, f.Cost.BytesPerServer, f.Cost.ProbeShare, f.Cost.ByteShare)
	}
	fmt.Fprintf(b, "\n### p99 of `%s` in proportion to other policies\n", ProductionPolicy)
	writeTableHeader(b, "trace", "class", "to round robin", "to all-knowing")
	for _, r := range p.Ratios {
		writeRow(b, "%s | %s | %.2f | %.2f", traceName(r.Deployment, r.Trace), r.Class, r.ToRoundRobin, r.ToAllKnowing)
	}
	fmt.Fprintf(b, "\n### `%s` with other measuring budgets\n", ProductionPolicy)
	writeTableHeader(b, "trace", "class", "budget", "p50 ms", "p99 ms", "p99.9 ms", "probes/s", "bytes/s", "share of bytes")
	for _, f := range p.Budgets {
		writeRow(b, "%s | %s | %g | %.1f | %.1f | %.1f | %.3f | %.0f | %.3f", traceName(f.Deployment, f.Trace), f.Class, f.Budget,
			f.P50, f.P99, f.P999, f.Cost.ProbesPerServer, f.Cost.BytesPerServer, f.Cost.ByteShare)
	}
}

// traceName adds the deployment to the name of the pooled traces, which is the same
// for every deployment.
func traceName(deployment, trace string) string {
	if trace == PooledTrace {
		return deployment + " " + trace
	}
	return trace
}

// formatCounts returns the counts sorted by name, or "0" if there are none.
func formatCounts[K ~string](counts map[K]int) string {
	parts := make([]string, 0, len(counts))
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	if len(parts) == 0 {
		return "0"
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func writeHop(b *strings.Builder, h *Hop) {
	fmt.Fprintf(b, "\n## Request hop between two processes\n\nAnswers of %d bytes over mutual TLS, %d rounds of %s for each row.\n", h.AnswerBytes, h.Rounds, h.Round)
	writeTableHeader(b, "protocol", "callers", "calls", "p50 µs", "p99 µs", "p50 of a round µs", "calls/s", "client CPU µs/call", "server CPU µs/call")
	for _, f := range h.Figures {
		writeRow(b, "%s | %d | %d | %.0f | %.0f | %.0f to %.0f | %.0f | %.1f | %.1f", f.Protocol, f.Callers, f.Calls, f.P50, f.P99,
			f.LowestP50, f.HighestP50, f.CallsPerSecond, f.ClientCPU, f.ServerCPU)
	}
}

func writePath(b *strings.Builder, p *Path) {
	fmt.Fprintf(b, "\n## Latency added by the nodes\n\nCapacity %.0f requests/s; rounds of %s.\n", p.Capacity, p.Round)
	writeTableHeader(b, "load", "requests/s", "path", "requests", "failed", "p50 ms", "p99 ms", "added p50 ms", "added p99 ms", "added p50, median of rounds", "added p99, median of rounds")
	for _, r := range p.Results {
		writeRow(b, "%s | %.0f | %s | %d | %s | %.3f | %.3f | | | |", r.Rate.Name, r.Rate.PerSecond, r.Direct.Path, r.Direct.Requests, formatCounts(r.Direct.Failures), r.Direct.P50, r.Direct.P99)
		writeRow(b, "%s | %.0f | %s | %d | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f", r.Rate.Name, r.Rate.PerSecond, r.Through.Path, r.Through.Requests, formatCounts(r.Through.Failures),
			r.Through.P50, r.Through.P99, r.AddedP50, r.AddedP99, r.MedianAddedP50, r.MedianAddedP99)
	}
}

func writeGoBenchmarks(b *strings.Builder, g *GoBenchmarks) {
	b.WriteString("\n## Go benchmarks\n")
	writeTableHeader(b, "package", "benchmark", "n", "ns/op", "B/op", "allocs/op", "other")
	for _, r := range g.Results {
		var other []string
		for unit, v := range r.Metrics {
			if unit != "ns/op" && unit != "B/op" && unit != "allocs/op" {
				other = append(other, fmt.Sprintf("%s %g", unit, v))
			}
		}
		slices.Sort(other)
		writeRow(b, "%s | %s | %d | %g | %g | %g | %s", r.Package, r.Name, r.N, r.Metrics["ns/op"], r.Metrics["B/op"], r.Metrics["allocs/op"], strings.Join(other, ", "))
	}
}
