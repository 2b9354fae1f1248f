// Package claim is the replicated state machine for idempotency claims. A claim
// on a key lets one attempt at a time be sent to one backend server; only a
// positive refusal by that server's node moves the claim to another server.
//
// # Life of a claim
//
// Begin grants attempt 1. Reassign replaces a refused attempt by the next one.
// Finish ends the claim: answered, ambiguous or released. A claim that is not
// finished when its deadline plus Grace has passed is unknown and grants no
// further attempt; its owner may still finish it, because an answer or a proof
// of refusal stays true however late it arrives.
//
// Abandon releases a claim whose Begin or Reassign had no reply, so that its owner
// sent nothing under it. It names the owner and not the claim, whose id came with
// the lost reply.
//
// An ended claim is kept for Limits.Retention after its end, so that the key
// grants no second run during that time. A released claim frees its key at
// once and is kept for ReleasedRetention only to refuse delayed copies of the
// Begin that made it.
//
// # Time and limits
//
// Every decision uses the time in the log entry, never a clock. The limits are
// part of the replicated state and are changed by a command: replicas with
// different limits would decide the same command differently.
//
// # Locks
//
// A lock has a key of its own name space and a short lease. Another owner gets
// the lock only after its release or the end of the lease.
package claim
