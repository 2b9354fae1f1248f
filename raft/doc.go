// Package raft is the core of the replicated log. It is pure: inputs are clock
// readings, received messages and proposals, outputs are typed actions. It does
// no I/O, reads no clock and starts no goroutine.
//
// The caller feeds inputs (Tick, Step, Propose and others), then takes Actions
// and executes them in order. Executing them in order is what makes the log
// safe: a reply that promises something follows the Persist that makes the
// promise durable. After a Persist the caller reports Persisted. When a Persist
// or Restore fails, the caller skips the Persists and Sends that follow it; a
// later call of Actions repeats them as far as they are still needed.
//
// A replica is identified by its node name and the random id of its disk. A
// replica that lost its disk therefore is another replica, which has no vote
// until the leader has brought it up to date and replaced the old one.
package raft
