package proxy

import (
	"bramleymill/fleet"
	"bramleymill/probe"
)

// LoadQuery names a server whose load the node wants to know.
type LoadQuery struct {
	Service string
	Server  fleet.Server
}

// LoadQueries returns the servers to ask for their load now, because the messages
// of requests have not told it lately. There are none without a measuring budget
// for the network. The load of the own server is taken over without a question.
// It is called by one goroutine.
func (p *Proxy) LoadQueries() []LoadQuery {
	set := p.config.Configuration.Current()
	budget := set != nil && set.MeasuringBytesPerSecond() > 0
	now := p.config.Clock.Now()
	var out []LoadQuery
	p.choose.StaleReports(p.measuring, func(service string, s *fleet.Server) {
		switch {
		case s.Node == p.config.Node:
			r := p.LoadReport()
			p.choose.Observe(service, s.Node, &r)
		case budget && p.asks.Allow(now, s.Node):
			out = append(out, LoadQuery{service, *s})
		}
	})
	return out
}

// ObserveReport records the answer to a question.
func (p *Proxy) ObserveReport(q LoadQuery, r *fleet.LoadReport) {
	p.choose.Observe(q.Service, q.Server.Node, r)
}

// AnswerLoadQuery returns the load report for a node that asks for it, unless the
// measuring budget of the network is spent.
func (p *Proxy) AnswerLoadQuery() (report fleet.LoadReport, ok bool) {
	if p.local == nil || !p.local.health.budget.Bytes(p.config.Clock.Now(), probe.LoadQueryBytes) {
		return fleet.LoadReport{}, false
	}
	return p.LoadReport(), true
}
