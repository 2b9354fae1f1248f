package proxy

import (
	"bramleymill/fleet"
	"bramleymill/probe"
)

// LoadQuery identifies a server whose load is to be queried.
type LoadQuery struct {
	Service string
	Server  fleet.Server
}

// LoadQueries returns the load queries that are due now. They are for servers whose
// load was not reported recently with a request or an answer. There are none if the
// configuration has no measuring budget for the network (measuring_bytes_per_second).
// The load of the local server is recorded without a query. LoadQueries must not be
// called concurrently.
func (p *Proxy) LoadQueries() []LoadQuery {
	set := p.config.Configuration.Current()
	budget := set != nil && set.MeasuringBytesPerSecond() > 0
	now := p.config.Clock.Now()
	var out []LoadQuery
	p.selection.StaleReports(p.probes, func(service string, s *fleet.Server) {
		switch {
		case s.Node == p.config.Node:
			r := p.LoadReport()
			p.selection.ObserveLoad(service, s.Node, &r)
		case budget && p.queryLimiter.Allow(now, s.Node):
			out = append(out, LoadQuery{service, *s})
		}
	})
	return out
}

// ObserveReport records the answer to a load query.
func (p *Proxy) ObserveReport(q LoadQuery, r *fleet.LoadReport) {
	p.selection.ObserveLoad(q.Service, q.Server.Node, r)
}

// AnswerLoadQuery returns the load report for a query from another node. ok is false
// if the measuring budget of the network is used up or if this node has no backend
// server.
func (p *Proxy) AnswerLoadQuery() (report fleet.LoadReport, ok bool) {
	if p.local == nil || !p.local.health.budget.Bytes(p.config.Clock.Now(), probe.LoadQueryBytes) {
		return fleet.LoadReport{}, false
	}
	return p.LoadReport(), true
}
