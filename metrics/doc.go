// Package metrics records and exports the metrics of a node: the latency of requests
// for each class of work, the attempts and probes that the node made, and the cost of
// probes and control, such as control traffic, processor time and memory. The library
// tally stores the series. They are served in the Prometheus text format.
package metrics
