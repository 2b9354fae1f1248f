// Package replica runs groups of the replicated log: it joins the pure raft core
// with the write-ahead log, snapshots, the transport and a state machine.
//
// A Host carries the messages of all groups of a process. Each Group has one
// goroutine that owns the raft core and the log on disk, and one that applies
// committed commands to the state machine, so that a slow command or snapshot
// does not delay heartbeats. Concurrent proposals are written with one sync.
//
// The log is synced on the goroutine that sends heartbeats. A leader whose disk
// stops answering therefore loses its leadership to a replica whose disk works.
//
// NewRemote gives other processes access to a group.
package replica
