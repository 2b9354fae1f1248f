// Package proxy is the edge of the request path: the handlers of the caller,
// service and peer listeners, the forwarding of a request to a server node, and
// its dispatch to the backend server beside the node.
//
// Forwarding uses net/http for the wire format, and own code for connections and
// everything that decides what an answer means. The goroutine of a call writes
// the request and reads the answer itself; http.Transport would hand both to
// other goroutines and repeat some requests by itself.
package proxy
