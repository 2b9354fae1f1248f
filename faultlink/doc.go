// Package faultlink injects network faults into the traffic to one node, for failure
// tests with real processes.
//
// A Link is a proxy for UDP and TCP. It listens on the address that the node
// advertises and forwards datagrams and connections to the address that the node
// listens on. It can drop, delay and duplicate datagrams, separately for each
// direction and sender, so that tests can cause one-way and two-way partitions. It can
// reset and delay TCP connections, and stall them in one direction or both.
//
// A Link identifies the sender of a datagram by its source address. For control
// messages this is the address that the sending node listens on.
package faultlink
