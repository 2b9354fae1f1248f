// Package loadgen sends a bounded, seeded, open-loop load to nodes, judges the
// answers as a caller would, and checks the result against the execution
// records of the stand-in backend servers.
package loadgen
