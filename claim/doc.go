// Package claim is the replicated state machine for idempotency claims. A claim
// on a key lets one attempt at a time be sent to one backend server; only a
// positive refusal by that server's node moves the claim to another server.
package claim
