// Package benchmark measures the load balancer and writes the figures as JSON,
// as a page in Markdown and as plots.
//
// Policies replays the recorded traces. The hop server and client compare the
// protocols between two nodes. MeasurePath compares calls through the nodes with
// calls that go direct. ParseGoBenchmarks reads the output of "go test -bench".
// The package starts no process; scripts/bench.sh does.
package benchmark
