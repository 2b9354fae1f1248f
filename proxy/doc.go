// Package proxy is the edge of the request path: the handlers of the caller,
// service and peer listeners, the forwarding of a request to a server node, and
// its dispatch to the backend server beside the node.
//
// Forwarding uses http.Transport for connections and the wire format, and own
// code for everything that decides what an answer means. No request is written
// twice by the Transport: see newRequest and countedConn.
package proxy
