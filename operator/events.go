package operator

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"bramleymill/errkind"
	"bramleymill/explain"
	"bramleymill/fleet"
)

// MaxEvents is the largest number of events in one answer.
const MaxEvents = 256

// EventLog collects the events that nodes recorded, such as repairs and changes of
// state.
type EventLog interface {
	// Events returns up to limit events, newest first. They are those of one node,
	// or of all nodes if node is empty.
	Events(ctx context.Context, node fleet.NodeID, limit int) (Events, error)
}

// Events is the answer to a request for events.
type Events struct {
	Events  []explain.Event   `json:"events"`
	Missing []explain.Missing `json:"missing,omitempty"` // nodes whose events could not be fetched
}

func (s *Server) events(r *http.Request, _ Identity) (any, error) {
	if s.config.Events == nil {
		return nil, errorf(errkind.NotFound, "node %s keeps no events", s.config.Node)
	}
	limit, err := uintParameter(r, "limit", MaxEvents)
	if err != nil {
		return nil, err
	}
	if limit == 0 || limit > MaxEvents {
		return nil, errorf(errkind.BadRequest, "parameter limit is out of range: use 1 to %d", MaxEvents)
	}
	return s.config.Events.Events(r.Context(), fleet.NodeID(r.URL.Query().Get("node")), int(limit))
}

// Events returns up to limit events, newest first. They are those of one node, or
// of all nodes if node is empty.
func (c *Client) Events(ctx context.Context, node fleet.NodeID, limit int) (Events, error) {
	var out Events
	err := c.read(ctx, "/v1/events", url.Values{"node": {string(node)}, "limit": {strconv.Itoa(limit)}}, &out)
	return out, err
}
