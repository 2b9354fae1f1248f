package filter

import (
	"strconv"
	"strings"
	"sync/atomic"

	"bramleymill/clock"
	"bramleymill/fleet"
)

// maxCallerID is the maximum length of a request id from a caller.
const maxCallerID = 64

type requestID struct {
	next    Handler
	node    fleet.NodeID
	prefix  string
	counter atomic.Uint64
	clock   clock.Clock
}

// NewRequestID returns the filter that assigns each request the id
// NODE.INCARNATION.COUNTER, which identifies the entry node that keeps the record of the
// request. An id sent by the caller is only added to the record.
func NewRequestID(next Handler, node fleet.NodeID, inc fleet.Incarnation, k clock.Clock) Handler {
	return &requestID{next: next, node: node, clock: k,
		prefix: string(node) + "." + strconv.FormatUint(uint64(inc), 36) + "."}
}

func (f *requestID) Serve(c *Call) error {
	var buf [96]byte
	id := strconv.AppendUint(append(buf[:0], f.prefix...), f.counter.Add(1), 36)
	c.Meta.RequestID = string(id)
	c.Meta.EntryNode = f.node
	c.Started = f.clock.Now()
	c.Record.RequestID = c.Meta.RequestID
	if id := c.Request.Header.Get(fleet.HeaderRequestID); validCallerID(id) {
		c.Record.CallerID = id
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

// EntryNode returns the entry node that assigned the request id, and false if id has another
// form than the ids of NewRequestID.
func EntryNode(id string) (fleet.NodeID, bool) {
	first, rest, ok := strings.Cut(id, ".")
	if !ok || first == "" || !strings.Contains(rest, ".") {
		return "", false
	}
	return fleet.NodeID(first), true
}
