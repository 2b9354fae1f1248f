// Package benchmark measures the load balancer and writes the figures as JSON files,
// as a Markdown page and as plots.
//
// There are four measurements. RunPolicies replays recorded traces with every
// policy. MeasureHop calls a HopServer to compare the protocols that could carry a
// request from one node to another. MeasurePath compares requests through the nodes
// with requests sent directly to a backend server. ParseGoBenchmarks reads the output
// of "go test -bench". WritePage combines the results on a page.
//
// The package does not start processes; scripts/bench.sh does.
package benchmark
