// Package faultlink is a stand-in for the link to one node, for failure tests.
// A Link listens on an address that the node advertises and passes datagrams and
// connections on to the address that the node listens on. It can drop, delay
// and duplicate datagrams in each direction and for each sender, so that one-way
// and two-way partitions can be brought about between real processes. Connections
// can be reset, delayed and silenced in one direction or both.
//
// Senders are told apart by the source address of their datagrams, which for
// control messages is the address that the sending node listens on.
package faultlink
