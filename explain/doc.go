// Package explain keeps bounded lists of recent request records and recent events of the
// fleet. A record explains the decisions made for a request. The entry node keeps one, and
// so does every server node that received an attempt; a lookup by request id merges them.
package explain
