// Package member maintains the registry of nodes and backend servers and
// distributes the configuration. No list of nodes is configured anywhere.
//
// Every node announces itself with heartbeats to a parent. The parents form
// trees whose roots are the control instances; when a parent has no free place,
// other nodes act as relays below it. Announcements travel upwards in heartbeats.
// The reply to a heartbeat carries the changes since the previous one: servers of
// the services that the child subscribes to, the configuration document, the age
// of its confirmation, and broadcasts. When something changes between heartbeats,
// the parent notifies its children, which then send a heartbeat immediately. All
// data that travels downwards is therefore part of a reply, and its age counts
// from the time at which the request was sent.
//
// The control instances exchange the contents of their subtrees with each other.
// A node is alive as long as one of them has it in its subtree. A silent node
// becomes suspect and is probed from a second location before it is dropped.
//
// The type core does no I/O: it receives messages, replies and clock readings and
// returns the messages to send. Member sends them.
package member
