package operator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"bramleymill/configstate"
	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/permit"
)

// Limits of read requests.
const (
	MaxHistoryEntries = 1000             // entries of the audit trail in one answer
	MaxWait           = 30 * time.Second // longest wait for nodes to apply a version
	// confirmTimeout is the longest wait of a status request for the confirmation by a
	// majority. The request is then answered without it.
	confirmTimeout = 2 * time.Second
)

func versionLabel(v uint64) string { return fmt.Sprintf("version %d", v) }

// uintParameter parses the named query parameter and returns def if it is absent.
func uintParameter(r *http.Request, name string, def uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return def, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errorf(errkind.BadRequest, "parameter %s: %q is not a whole number", name, text)
	}
	return n, nil
}

func (s *Server) quotas(r *http.Request, _ Identity) (any, error) {
	if s.config.Quotas == nil {
		return nil, errorf(errkind.ControlUnavailable, "node %s has no control role", s.config.Node)
	}
	list, err := s.config.Quotas.Quotas(r.Context(), r.URL.Query().Get("customer"))
	if err != nil {
		return nil, err
	}
	return append([]permit.Status{}, list...), nil
}

func (s *Server) configuration(r *http.Request, _ Identity) (any, error) {
	if err := s.confirm(r.Context()); err != nil {
		return nil, err
	}
	current := s.config.State.View().Version
	want, err := uintParameter(r, "version", current)
	if err != nil {
		return nil, err
	}
	if want == 0 {
		// Version 0 is the empty configuration, which the first apply replaces.
		return Configuration{}, nil
	}
	v, ok := s.config.State.Version(want)
	if !ok {
		return nil, errorf(errkind.NotFound, "version %d is not kept; version %d is in force", want, current)
	}
	return Configuration{Version: v.Version, Time: v.Time, Operator: v.Operator,
		ChangeID: v.ChangeID, Document: string(v.Document)}, nil
}

func (s *Server) diff(r *http.Request, _ Identity) (any, error) {
	if err := s.confirm(r.Context()); err != nil {
		return nil, err
	}
	current := s.config.State.View().Version
	to, err := uintParameter(r, "to", current)
	if err != nil {
		return nil, err
	}
	from, err := uintParameter(r, "from", max(to, 1)-1)
	if err != nil {
		return nil, err
	}
	out, err := s.config.State.Diff(from, to)
	if err != nil {
		return nil, errorf(errkind.NotFound, "%v", err)
	}
	return DiffResult{From: from, To: to, Diff: out}, nil
}

func (s *Server) history(r *http.Request, _ Identity) (any, error) {
	if err := s.confirm(r.Context()); err != nil {
		return nil, err
	}
	after, err := uintParameter(r, "after", 0)
	if err != nil {
		return nil, err
	}
	limit, err := uintParameter(r, "limit", MaxHistoryEntries)
	if err != nil {
		return nil, err
	}
	return s.config.State.History(after, int(min(limit, MaxHistoryEntries))), nil
}

// status answers with the local view of the fleet even if the configuration cannot
// be confirmed, because operators need it most when there is no majority.
func (s *Server) status(r *http.Request, _ Identity) (any, error) {
	ctx, cancel := context.WithTimeout(r.Context(), confirmTimeout)
	defer cancel()
	out := Status{Node: s.config.Node, Nodes: s.nodes(), Confirmed: true}
	if err := s.confirm(ctx); err != nil {
		out.Confirmed, out.Message = false, toError(err).Message
	}
	if s.config.State != nil {
		v := s.config.State.View()
		out.Version, out.OrdersVersion, out.Drains = v.Version, v.Orders.Version, v.Orders.Drains
		out.Customers = v.Customers()
		out.Zones, out.Unserved = zoneStatus(v.Orders, out.Nodes)
	}
	return out, nil
}

// zoneStatus returns the zones that are out of use, and the services whose live nodes are all in
// such zones.
func zoneStatus(o *configstate.Orders, nodes []NodeStatus) (zones []ZoneStatus, unserved []string) {
	live, used := map[string]int{}, map[string]bool{}
	for _, n := range nodes {
		if !n.Live || n.Service == "" {
			continue
		}
		live[n.Zone]++
		used[n.Service] = used[n.Service] || !o.ZoneOut(n.Zone)
	}
	for _, z := range o.Zones {
		if z.Out {
			zones = append(zones, ZoneStatus{ZoneOrder: z, Nodes: live[z.Zone]})
		}
	}
	for service, isUsed := range used {
		if !isUsed {
			unserved = append(unserved, service)
		}
	}
	slices.Sort(unserved)
	return zones, unserved
}

// nodes returns the nodes of the fleet sorted by name.
func (s *Server) nodes() []NodeStatus {
	if s.config.Fleet == nil {
		return nil
	}
	list := slices.Clone(s.config.Fleet.Nodes())
	slices.SortFunc(list, func(a, b NodeStatus) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return list
}

// wait answers when every live node has applied the requested versions, or at the
// timeout with the names of the live nodes that have not.
func (s *Server) wait(r *http.Request, _ Identity) (any, error) {
	if s.config.Fleet == nil {
		return nil, errorf(errkind.ControlUnavailable, "node %s has no view of the fleet", s.config.Node)
	}
	version, err := uintParameter(r, "version", 0)
	if err != nil {
		return nil, err
	}
	ordersVersion, err := uintParameter(r, "orders", 0)
	if err != nil {
		return nil, err
	}
	millis, err := uintParameter(r, "timeout_ms", uint64(MaxWait.Milliseconds()))
	if err != nil {
		return nil, err
	}
	timeout := time.Duration(min(millis, uint64(MaxWait.Milliseconds()))) * time.Millisecond
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	ticker := time.NewTicker(s.config.PollInterval)
	defer ticker.Stop()
	for {
		result := waitResult(s.nodes(), version, ordersVersion)
		if len(result.Lagging) == 0 || ctx.Err() != nil {
			return result, nil
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// waitResult counts the live nodes that have applied both versions and lists those
// that have not.
func waitResult(nodes []NodeStatus, version, ordersVersion uint64) WaitResult {
	out := WaitResult{Version: version, OrdersVersion: ordersVersion, Lagging: []fleet.NodeID{}}
	for _, n := range nodes {
		switch {
		case !n.Live:
		case n.ConfigVersion < version || n.OrdersVersion < ordersVersion:
			out.Lagging = append(out.Lagging, n.Node)
		default:
			out.Applied++
		}
	}
	return out
}

func (s *Server) explain(r *http.Request, _ Identity) (any, error) {
	if s.config.Explainer == nil {
		return nil, errorf(errkind.NotFound, "node %s keeps no request records", s.config.Node)
	}
	return s.config.Explainer.Explain(r.Context(), r.PathValue("request"))
}

func (s *Server) suspects(_ *http.Request, _ Identity) (any, error) {
	if s.config.Suspects == nil {
		return []Suspect{}, nil
	}
	return append([]Suspect{}, s.config.Suspects.Suspects()...), nil
}

var _ State = (*configstate.Machine)(nil)
