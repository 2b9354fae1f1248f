package filter

import (
	"strconv"
	"strings"
	"sync/atomic"

	"bramleymill/clock"
	"bramleymill/fleet"
)

// maxCallerID bounds the id that a caller may send.
const maxCallerID = 64

type requestID struct {
	next    Handler
	node    fleet.NodeID
	prefix  string
	counter atomic.Uint64
	clock   clock.Clock
}

// NewRequestID returns the filter that names each request
// NODE.INCARNATION.COUNTER, so that its record can be found at the entry node.
// An id sent by the caller is only kept in the record.
func NewRequestID(next Handler, node fleet.NodeID, inc fleet.Incarnation, k clock.Clock) Handler {
	return &requestID{next: next, node: node, clock: k,
		prefix: string(node) + "." + strconv.FormatUint(uint64(inc), 36) + "."}
}

func (f *requestID) Serve(c *Call) error {
	var buf [96]byte
	id := strconv.AppendUint(append(buf[:0], f.prefix...), f.counter.Add(1), 36)
	c.Meta.RequestID = string(id)
	c.Meta.Entry = f.node
	c.Started = f.clock.Now()
	c.Record.RequestID = c.Meta.RequestID
	if sent := c.Request.Header.Get(fleet.HeaderRequestID); validCallerID(sent) {
		c.Record.CallerID = sent
	}
	if c.Parent != nil {
		c.Record.ParentID = c.Parent.RequestID
	}
	return f.next.Serve(c)
}

func validCallerID(s string) bool {
	if s == "" || len(s) > maxCallerID {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("._~:-", r))
	}) < 0
}

// EntryNode returns the name of the node that made the request id.
func EntryNode(id string) (fleet.NodeID, bool) {
	first, rest, ok := strings.Cut(id, ".")
	if !ok || first == "" || !strings.Contains(rest, ".") {
		return "", false
	}
	return fleet.NodeID(first), true
}
