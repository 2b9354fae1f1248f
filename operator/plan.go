package operator

import (
	"context"
	"net/http"
	"net/url"

	"bramleymill/errkind"
	"bramleymill/explain"
	"bramleymill/fleet"
)

// Planner states where a request would go, without sending it.
type Planner interface {
	// Plan asks the entry node of r, or this node if r names none.
	Plan(ctx context.Context, r *explain.PlanRequest) (*explain.Plan, error)
}

func (s *Server) plan(r *http.Request, _ Identity) (any, error) {
	if s.config.Planner == nil {
		return nil, errorf(errkind.NotFound, "node %s takes no requests of callers", s.config.Node)
	}
	q := r.URL.Query()
	return s.config.Planner.Plan(r.Context(), &explain.PlanRequest{Entry: fleet.NodeID(q.Get("entry")), Method: q.Get("method"),
		Host: q.Get("host"), Path: q.Get("path"), Customer: q.Get("customer")})
}

// Plan returns where a request would go now, and why. The request is not sent.
func (c *Client) Plan(ctx context.Context, r explain.PlanRequest) (explain.Plan, error) {
	var out explain.Plan
	err := c.read(ctx, "/v1/plan", url.Values{"entry": {string(r.Entry)}, "method": {r.Method}, "host": {r.Host}, "path": {r.Path},
		"customer": {r.Customer}}, &out)
	return out, err
}
