// Package pick selects the backend server for a request. The selecting node knows
// the load of the servers only from reports and answers, which are always somewhat old.
//
// A Balancer serves one service at one selecting node. Update publishes an immutable
// pool of servers. Pick reads the pool without locks and returns the server with the
// least expected completion time among a few random candidates. The load estimates of
// a server are kept across updates of the pool until its incarnation changes.
//
// The package reads neither a clock nor a global random source: callers pass both in.
// Times that come from the system clock must carry a monotonic reading.
package pick
