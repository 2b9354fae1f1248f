// Package raft implements the core of the Raft consensus algorithm, which keeps a
// replicated log. It does no I/O, reads no clock and starts no goroutine: its
// inputs are clock readings, received messages and proposals, and its outputs are
// typed actions.
//
// The caller passes inputs to a Node (Tick, Step, Propose and others), then calls
// Actions and executes the returned actions in order. The order makes the log
// safe: a message that depends on stored state, such as a granted vote, follows
// the Persist that stores this state. After a Persist the caller calls Persisted.
// When a Persist or Restore fails, the caller skips the Persists and Sends that
// follow it; a later call to Actions repeats them as far as they are still needed.
//
// The leader sends its heartbeats in numbered confirmation rounds. A round that a
// majority of voters acknowledged renews the leader's lease and confirms the reads
// that were waiting for it. Elections start with a pre-vote. New replicas join as
// learners, and membership changes add or remove one voter at a time.
//
// A replica is identified by its node name and the random id of its disk. A
// replica that lost its disk is therefore a different replica. It has no vote
// until it has caught up and the leader has replaced the old replica by it.
package raft
