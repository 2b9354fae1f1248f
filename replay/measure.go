package replay

import (
	"bramleymill/fleet"
	"bramleymill/probe"
)

const (
	// checkInterval is how often the nodes check whether probes and load queries are needed.
	checkInterval = probe.LoadQueryInterval
)

// measure lets every node collect load data that it does not get from regular traffic: it
// probes idle backend servers and sends load queries to servers whose last report is too old.
func (r *runner) measure() {
	if r.options.Policy != Current {
		return
	}
	for _, s := range r.servers {
		if r.options.Probe.ProbeNeeded(r.time(), r.timeAt(s.lastAnswer)) {
			if s.budget.Probe(r.time()) {
				s.lastAnswer = r.now
			}
		}
	}
	for _, e := range r.entries {
		e.measure()
	}
}

// measure sends the load queries of one entry node. The load of the backend server of the same
// node is read directly. Servers of services that the node has not used recently are not queried.
func (e *entry) measure() {
	for _, s := range e.run.servers {
		lastUse, ok := e.lastUse[s.line.Service]
		if !ok || s.announcement.State != fleet.Ready {
			continue
		}
		b := e.balancers[s.line.Service]
		p := b.Endpoint(s.line.Node)
		if p == nil || !e.run.options.Probe.LoadQueryNeeded(p.ReportAge(e.run.time()), e.run.now-lastUse) {
			continue
		}
		if s == e.localServer {
			b.Observe(s.line.Node, e.run.time(), s.report())
			continue
		}
		if !e.queryLimiter.Allow(e.run.time(), s.line.Node) {
			continue
		}
		if !s.budget.Bytes(e.run.time(), probe.LoadQueryBytes) {
			continue
		}
		e.run.after(e.hop(s), func() {
			report := s.report()
			e.run.after(e.hop(s), func() { b.Observe(s.line.Node, e.run.time(), report) })
		})
	}
}
