// Package transport carries typed control messages between the processes of
// the fleet: CBOR over QUIC with mutual TLS, one stream for each message.
//
// Mux dispatches received messages to handlers and does no I/O, so that tests
// can connect nodes without sockets.
package transport
