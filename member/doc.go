// Package member keeps the registry of nodes and backend servers and spreads the
// configuration, without a list of nodes anywhere.
//
// Every node announces itself with heartbeats to a parent. The parents form a
// tree whose roots are the control instances; any node relays for others when a
// parent is full. Announcements travel up with the heartbeats. A parent answers a
// heartbeat with what changed: servers of the services that the child follows,
// the configuration document, the age of its confirmation, and notices. When
// something changes between heartbeats the parent notifies its children, which
// then send a heartbeat at once, so that every transfer downwards is the answer
// to a request and its age counts from the moment the request was sent.
//
// The control instances exchange what is in their own subtrees. A node is alive
// as long as one of them hears it. A silent node is suspected and probed from a
// second location before it is dropped.
//
// core is pure: it takes messages, replies and clock readings and returns the
// messages to send. Member is the edge that sends them.
package member
