// Package claim is the replicated state machine for idempotency claims. A claim
// on an idempotency key allows one attempt at a time to be sent to one backend
// server. The claim is reassigned to another server only after the node of the
// current server refused the attempt. A refusal proves that the attempt did not run.
//
// # Lifecycle of a claim
//
// Begin grants attempt 1. Reassign replaces a refused attempt by the next one.
// Finish ends the claim as answered, ambiguous or released. A claim that is not
// finished when its deadline plus Grace has passed becomes unknown and grants no
// further attempt. Its owner may still finish it, because an answer or a refusal
// remains valid however late it arrives.
//
// Abandon releases a claim after the reply to its Begin or Reassign was lost. The
// owner has then sent no attempt that may have run. Abandon identifies the claim by
// key and owner, because the claim id was in the lost reply.
//
// An ended claim is stored for Limits.Retention after its end, so that no second
// run is granted for the key during that time. A released claim frees its key
// immediately; it is stored for ReleasedRetention only to reject delayed copies of
// the Begin that created it.
//
// # Time and limits
//
// Every decision uses the timestamp in the log entry and never a local clock. The
// limits are part of the replicated state and are changed by a command, because
// replicas with different limits would decide the same command differently.
//
// # Locks
//
// A lock has a key in a separate namespace and a short lease. Another owner can
// acquire the lock only after it was released or its lease ended.
package claim
