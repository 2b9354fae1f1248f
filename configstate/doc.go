// Package configstate is the replicated state machine for the configuration: the
// class document, the configuration items and the operator orders: drains of nodes,
// releases of crash suspects and zones taken out of use.
//
// # Changes
//
// A change of the class document replaces it by compare-and-set on its version.
// Every change, accepted or refused, is an entry of the audit trail. A change that
// is sent again with the same id gets the first answer again and adds no entry.
// An answer is dropped when it is older than AnswerRetention, by the timestamps of the
// log entries, or when MaxAnswers newer ones are stored. After that a resent change of
// the document still cannot apply twice, because its expected version is outdated.
//
// # Audit trail
//
// Each entry contains the SHA-256 hash of the previous entry and of its own content.
// The trail is bounded: the oldest entries are dropped, and a Checkpoint keeps the
// sequence number and hash of the last dropped entry. The chain of the remaining
// entries is verified from this checkpoint.
//
// # Determinism
//
// The result of Apply depends only on the log. Documents are validated inside Apply,
// so all replicas of a group must run releases with the same validation rules.
package configstate
