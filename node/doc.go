// Package node wires the modules into one node that a daemon or another Go
// program can run: the request path, the membership and, on instances with a
// data folder, the replicated logs and the operator interface.
//
// New opens everything that can fail for a wrong setting. Run serves until its
// context ends and then stops gracefully: it announces the departure, refuses
// new work as not run, finishes work in flight, hands leadership over and closes.
package node
