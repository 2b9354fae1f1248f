// Package replica runs groups of replicas that keep a state machine in sync by a
// replicated log. It combines the consensus core of package raft, which does no
// I/O, with the write-ahead log, snapshots, the transport and a state machine.
//
// A Host exchanges the messages of all groups of a process with other processes.
// Each Group has one goroutine that owns the raft core and the log on disk, and one
// that applies committed commands to the state machine, so that a slow command or
// snapshot does not delay heartbeats. Proposals that wait at the same time are
// written with one sync.
//
// The goroutine that sends heartbeats also syncs the log. A leader whose disk stops
// responding therefore sends no heartbeats and loses its leadership to a replica
// whose disk works.
//
// Remote gives access to a group from processes that hold no replica of it.
package replica
