package node

import (
	"math"
	"runtime/debug"
	"syscall"

	"bramleymill/errkind"
	"bramleymill/guard"
	"bramleymill/settings"
	"bramleymill/strictjson"
	"bramleymill/transport"
)

// Shares of the memory of the machine.
const (
	requestMemoryShare = 1.0 / 4  // that clients may fill
	socketMemoryShare  = 1.0 / 4  // that the kernel may hold for connections
	controlMemoryShare = 1.0 / 8  // that connections for control messages may take
	messageMemoryShare = 1.0 / 32 // that control messages may take
	runtimeMemoryShare = 0.6      // at which the runtime collects garbage more often
)

// Shares of the descriptors of the process. The rest is for connections to backend servers,
// other nodes and control instances, and for files: of 4,100 descriptors, 1,220 connections to
// the backend server, one to each of 91 nodes and files must be left on the platform.
const (
	callerShare   = 5.0 / 16
	peerShare     = 1.0 / 4
	serviceShare  = 1.0 / 8
	otherShare    = 1.0 / 32 // of each other listener
	minOtherConns = 16
)

// Shares of the request memory that connections may take. The rest is for requests.
const (
	callerMemoryShare = 1.0 / 2
	peerMemoryShare   = 3.0 / 8
)

// Shares of the socket memory that connections may take, with those that wait to be accepted. The
// rest is for other listeners and for connections that the process opens.
const (
	callerSocketShare = 13.0 / 32
	peerSocketShare   = 3.0 / 8
)

// headSlack is the number of bytes that a head may have beyond its limit. The HTTP server
// allows as many.
const headSlack = 4 << 10

// setMemoryLimit makes the runtime keep its memory below the memory of the settings. It has no
// effect if the settings state none, because the process may then contain other programs.
func setMemoryLimit(l *settings.Limits) {
	if l.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(l.Memory) * runtimeMemoryShare))
	}
}

// requestMemory returns the memory that clients may fill.
func requestMemory(l *settings.Limits) int64 {
	return memoryPart(l, l.RequestMemory, requestMemoryShare)
}

// socketMemory returns the memory that the kernel may hold for connections.
func socketMemory(l *settings.Limits) int64 {
	return memoryPart(l, l.SocketMemory, socketMemoryShare)
}

// controlConnectionCost is the memory of a connection for control messages, without messages.
const controlConnectionCost = 96 << 10

// controlConnections returns the number of connections for control messages that other nodes may
// open.
func controlConnections(l *settings.Limits) int {
	if l.ControlConnections > 0 {
		return l.ControlConnections
	}
	return max(minOtherConns, int(memoryPart(l, 0, controlMemoryShare)/controlConnectionCost))
}

// messageMemory returns the memory that control messages of other nodes may take. It holds
// several messages of the largest size.
func messageMemory(l *settings.Limits) int64 {
	return max(4*transport.MaxMessageBytes, memoryPart(l, 0, messageMemoryShare))
}

// memoryPart returns the part of the memory that is set, or else a share of it.
func memoryPart(l *settings.Limits, set strictjson.Bytes, share float64) int64 {
	if set > 0 {
		return int64(set)
	}
	memory := int64(l.Memory)
	if memory == 0 {
		memory = machineMemory()
	}
	return int64(float64(memory) * share)
}

func machineMemory() int64 {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return math.MaxInt64 / 2 // the bounds on connections and heads still apply
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// descriptors returns the number of descriptors that the process may open.
func descriptors(l *settings.Limits) int {
	if l.Descriptors > 0 {
		return l.Descriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// callerDoor returns the bounds of the listener for callers. The limits of the configuration
// apply to it as soon as they are in force.
func (n *Node) callerDoor(name string) guard.DoorConfig {
	d := n.door(name, callerShare)
	l := &n.settings.Limits
	d.Connections = min(d.Connections, connectionsIn(l, callerMemoryShare, callerSocketShare))
	if l.CallerConnections > 0 {
		d.Connections = l.CallerConnections
	}
	d.AddressConnections = max(1, d.Connections/2)
	if l.AddressConnections > 0 {
		d.AddressConnections = l.AddressConnections
	}
	d.Limits = n.callerLimits
	return d
}

// connectionsIn returns the number of connections that fit into a share of the request memory and
// into a share of the socket memory.
func connectionsIn(l *settings.Limits, requestShare, socketShare float64) int {
	inProcess := float64(requestMemory(l)) * requestShare / guard.ConnCost
	inKernel := (float64(socketMemory(l))*socketShare - maxBacklog*guard.BacklogCost) / guard.SocketCost
	return max(minOtherConns, int(min(inProcess, inKernel)))
}

// additionalShare returns the share of each listener of the options. A process without a listener
// for callers is a control instance, which backend servers and operators call.
func (n *Node) additionalShare() float64 {
	if n.settings.CallerAddress == "" {
		return callerShare
	}
	return otherShare
}

// callerLimits returns the limits of callers that are in force. Limits that the configuration
// does not state have those of the other listeners.
func (n *Node) callerLimits() guard.Limits {
	l := defaultLimits
	l.FirstByteTime = n.settings.Limits.FirstByteTimeout.Std()
	set := n.config.Current()
	if set == nil {
		return l
	}
	c := set.Limits()
	if c.HeaderBytes > 0 {
		l.HeadBytes = min(c.HeaderBytes, maxHeaderBytes) + headSlack
	}
	if c.HeaderTimeout > 0 {
		l.HeadTime = c.HeaderTimeout.Std()
	}
	if c.IdleTimeout > 0 {
		l.IdleTime = c.IdleTimeout.Std()
	}
	return l
}

var defaultLimits = guard.Limits{HeadBytes: maxHeaderBytes + headSlack, HeadTime: readHeaderTimeout, IdleTime: idleTimeout}

// door returns the bounds of a listener that gets a share of the descriptors.
func (n *Node) door(name string, share float64) guard.DoorConfig {
	l := &n.settings.Limits
	return guard.DoorConfig{
		Name:        name,
		Connections: max(minOtherConns, int(float64(descriptors(l))*share)),
		HeadLines:   l.HeaderLines,
		BodyTime:    l.BodyTimeout.Std(),
		AnswerTime:  l.AnswerTimeout.Std(),
		Limits:      func() guard.Limits { return defaultLimits },
		RefusalKind: string(errkind.MemoryUsedUp),
	}
}

// peerDoor returns the bounds of the listener for other nodes, which add lines to the heads
// that they pass on.
func (n *Node) peerDoor(name string) guard.DoorConfig {
	d := n.door(name, peerShare)
	d.Connections = min(d.Connections, connectionsIn(&n.settings.Limits, peerMemoryShare, peerSocketShare))
	d.HeadLines += addedLines
	d.Limits = func() guard.Limits {
		l := defaultLimits
		l.HeadBytes += addedBytes
		return l
	}
	return d
}

// What another node adds to the head of a request at most.
const (
	addedLines = 64
	addedBytes = 8 << 10
)

// updateGuardMetrics exports what clients hold and which bounds they have reached.
func (n *Node) updateGuardMetrics() {
	n.metrics.Set("request_memory_used", float64(n.guard.Budget().Used()))
	n.metrics.Set("request_memory_limit", float64(n.guard.Budget().Limit()))
	n.metrics.Set("socket_memory_used", float64(n.guard.Sockets().Budget().Used()))
	n.metrics.Set("socket_memory_limit", float64(n.guard.Sockets().Budget().Limit()))
	n.metrics.Set("client_connections", float64(n.guard.Connections()))
	for _, b := range guard.Bounds {
		n.metrics.Set("bound_reached_"+string(b), float64(n.guard.Reached(b)))
	}
}
