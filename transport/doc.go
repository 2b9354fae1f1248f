// Package transport sends typed control messages between the processes of a
// fleet. Messages are encoded in CBOR and sent over QUIC with mutual TLS. Each
// message opens a new stream, on which its reply is sent back.
//
// An Endpoint sends and serves messages on one UDP socket. A Mux dispatches the
// received messages to handlers and does no I/O. With package memory, tests can
// therefore connect nodes without sockets.
package transport
