package node

import (
	"testing"

	"bramleymill/guard"
	"bramleymill/settings"
)

// Guards against default bounds that ordinary traffic reaches, and against bounds that leave too
// few descriptors or too little memory for the work itself. The numbers are those of the
// deployments: 328 connections of callers at a node from one address, 1,220 connections to a
// backend server, 91 nodes, hundreds of backend servers at a control instance.
func TestDefaultBoundsLeaveRoom(t *testing.T) {
	limits := settings.Limits{Memory: 184 << 20, Descriptors: 4100}
	n := &Node{settings: &settings.Settings{CallerAddress: "127.0.0.1:1", Limits: limits}}
	callers, peers, other := n.callerDoor("callers"), n.peerDoor("peers"), n.door("other", n.additionalShare())
	if callers.Connections < 1000 || callers.AddressConnections < 328*3/2 {
		t.Errorf("%d connections of callers, %d from one address, want at least 1000 and 492", callers.Connections, callers.AddressConnections)
	}
	if peers.Connections < 3*300 {
		t.Errorf("%d connections of other nodes, want three from each of 300", peers.Connections)
	}
	const otherListeners, files = 3, 50 // readiness, control and metrics
	left := limits.Descriptors - callers.Connections - peers.Connections - otherListeners*other.Connections
	if left < 1220+91+files {
		t.Errorf("%d descriptors are left beside all connections of clients, want 1,361", left)
	}
	memory := requestMemory(&limits)
	if ordinary := int64(guard.ConnCost * (328 + 300 + 50)); ordinary > memory/4 {
		t.Errorf("ordinary connections take %d bytes of %d, want at most a quarter", ordinary, memory)
	}
	if all := int64(guard.ConnCost * (callers.Connections + peers.Connections)); all > memory*7/8 {
		t.Errorf("connections of callers and nodes take up to %d bytes of %d, want at most 7/8", all, memory)
	}
	sockets := int64(guard.SocketCost * (callers.Connections + peers.Connections + otherListeners*other.Connections))
	waiting := int64(guard.BacklogCost * (backlog(callers.Connections) + backlog(peers.Connections) + otherListeners*backlog(other.Connections)))
	if all := sockets + waiting; all > socketMemory(&limits) {
		t.Errorf("the kernel may hold %d bytes for all connections of clients, want at most the %d of the socket memory", all, socketMemory(&limits))
	}
	if n := controlConnections(&limits); n < 200 {
		t.Errorf("%d connections for control messages, want at least 200", n)
	}
	unlimited := &Node{settings: &settings.Settings{CallerAddress: "127.0.0.1:1", Limits: settings.Limits{Memory: 184 << 20, Descriptors: 1 << 20}}}
	if c, p := unlimited.callerDoor("callers").Connections, unlimited.peerDoor("peers").Connections; int64(guard.ConnCost*(c+p)) > memory*7/8 {
		t.Errorf("with many descriptors %d connections of callers and %d of nodes do not fit into 7/8 of the memory", c, p)
	}
	control := &Node{settings: &settings.Settings{Limits: settings.Limits{Memory: 280 << 20, Descriptors: 4096}}}
	if c := control.door("control", control.additionalShare()); c.Connections < 1000 {
		t.Errorf("%d connections to the control listener of a control instance, want at least 1000", c.Connections)
	}
}
