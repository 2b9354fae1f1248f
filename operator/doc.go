// Package operator is the operator interface: an HTTP server on the admin
// address of a node and a typed client.
//
// Operators are authenticated by the client certificate. Every change carries a
// change id that is made once, so that a change may be sent again, also through
// another node, and is applied at most once. Reads of the configuration are
// linearizable: the server confirms with a majority that its state is current.
//
// Errors are JSON with an error kind, its outcome, a message and a remedy.
package operator
