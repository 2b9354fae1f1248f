// Package probe decides when a node measures the state of backend servers, and keeps the cost
// within the budget that operators set.
//
// A node probes its own backend server and queries other nodes for their load. It does so only
// when the reports that arrive with ordinary answers are too old. The Budget of a backend
// server is kept by its own node, which checks it before every probe and before it sends bytes
// over the network for measuring. Since no other node probes that server, the budget holds for
// the whole deployment.
package probe
