// Package replica runs one group of the replicated log: it joins the pure raft
// core with the write-ahead log, snapshots, the transport and a state machine.
package replica
