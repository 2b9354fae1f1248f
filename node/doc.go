// Package node connects the other packages into one node that a daemon or another
// Go program can run. A node consists of the request path and the membership. A
// node with the control role also runs the replicated logs in its data folder, and its
// operator interface gives access to the configuration and the fleet.
//
// New opens everything that can fail because of a wrong setting. Run serves until
// its context ends and then stops gracefully: it announces that the node is leaving,
// refuses new requests without running them, finishes the requests in flight, transfers
// leadership and closes.
package node
