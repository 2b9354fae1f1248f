// Package operator implements the operator interface: an HTTP server that
// listens on the admin address of a node, and a typed client for it.
//
// Operators are authenticated by their client certificate. Every change carries
// a change id that the client generates once. A change can therefore be sent
// again, even through another node, and is still applied at most once. Reads of
// the configuration are linearizable: before it answers, the server confirms with
// a majority of the configuration group that its state is current.
//
// Errors are sent as JSON with an error kind, the outcome of that kind, a message
// and a remedy.
package operator
