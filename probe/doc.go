// Package probe decides when a node sends probes and load queries, and keeps their cost within
// the budget that operators set.
//
// A node probes the backend server that it runs beside, and sends load queries about other
// servers to their nodes. It does so only when the information from ordinary answers is too
// old. The Budget of a backend server is kept by the node of that server. The node checks it
// before every probe and before it sends bytes for probes or load queries over the network.
// Since no other node probes that server, the budget holds for the whole deployment.
package probe
