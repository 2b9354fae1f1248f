// Package proxy implements the network side of the request path: the HTTP
// handlers of the caller, service and peer listeners, the forwarding of a request
// from its entry node to a server node, and the dispatch of a request to the
// backend server that runs beside the node.
//
// A request passes through two chains of handlers from package filter. The entry
// chain runs at the entry node, classifies the request and selects a server. The
// server chain runs at the server node, admits the request and dispatches it to
// the backend server. Package proxy implements the ends of both chains, tracks
// the state and the load of the local backend server, and drains the node.
//
// net/http encodes and decodes the messages. Connection pooling and the
// interpretation of answers are implemented here, because http.Transport would
// use two more goroutines for each connection and would retry some requests on
// its own. The goroutine that handles a request writes it to the connection and
// reads the answer itself.
package proxy
