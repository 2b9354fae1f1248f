// Package configstate is the replicated state machine for the class document
// and for the orders of operators: drains and releases of crash suspects.
//
// # Changes
//
// A change replaces the document by compare-and-set on the version. Every
// change, accepted or refused, is an entry of the audit trail. A change id that
// is sent again gets its first answer and makes no entry. Answers are kept for
// AnswerRetention of stamped time and for MaxAnswers changes, whichever ends
// first. After that a resent change of the document cannot apply twice either,
// because its expected version is outdated.
//
// # Audit trail
//
// Each entry carries the SHA-256 hash of its predecessor and of its own
// content. The trail is bounded: the oldest entries are dropped, and a
// Checkpoint keeps the sequence number and hash of the last dropped one, from
// which the remaining chain is verified.
//
// # Determinism
//
// Apply depends on the log only. Documents are validated inside Apply, so that
// all replicas of a group must run releases with the same validation rules.
package configstate
