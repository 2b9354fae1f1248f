// Package metrics exports what the project measures: tail latency for each
// class of work and the cost of measuring and control. Series are kept by tally
// and served in the Prometheus text format.
package metrics
