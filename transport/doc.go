// Package transport sends typed control messages between the processes of a
// fleet. Messages are encoded in CBOR and sent over QUIC with mutual TLS. Each
// message and its reply have a stream of their own.
//
// An Endpoint sends and serves messages on one UDP socket. A Mux dispatches the
// received messages to handlers and does no I/O, so that tests can connect nodes
// without sockets. See package memory.
package transport
