// Package pick selects a backend server from stale information.
//
// A Balancer serves one service at one selecting node. Update publishes an
// immutable pool; Pick reads it without locks and compares the expected
// completion time of a few random candidates. The estimates of a server survive
// updates of the pool for as long as its incarnation does.
//
// The package reads no clock and no global random source. Times are passed in
// and must carry a monotonic part when they come from the machine's clock.
package pick
