// Package explain keeps a bounded record of the decisions made for recent
// requests and of recent events of the fleet. A request is recorded by its
// entry node and by every server node that received an attempt; a lookup by
// request id merges these records.
package explain
