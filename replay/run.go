package replay

import (
	"math/rand/v2"
	"time"

	"bramleymill/admit"
	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/pick"
	"bramleymill/probe"
	"bramleymill/retry"
)

// epoch is the wall-clock time that corresponds to the start of a trace.
var epoch = time.Unix(1_700_000_000, 0)

// Options configure a replay: the policy, whether requests are hedged, and the settings of
// the packages pick, admit, retry and probe.
type Options struct {
	Policy Policy
	Hedge  bool
	Pick   pick.Config
	Admit  admit.Config // Slots, Connections and QueueLength are set from the trace
	Retry  retry.Config
	Probe  probe.Config
}

// runner holds the state of one replay.
type runner struct {
	events
	trace     *Trace
	options   Options
	servers   []*server
	byNode    map[fleet.NodeID]*server
	entries   []*entry
	inTransit map[*server][]*attempt // attempts that were sent and have not arrived yet
	nextID    uint64

	// disturbances are the disturbances of the trace by node. Those that delay load reports
	// affect all servers and are stored under the empty node id.
	disturbances map[fleet.NodeID][]*Line

	slotsFreeAt  []time.Duration // scratch buffer of server.completionTime
	queueScratch []*attempt      // scratch buffer of server.completionTime
	result       *Result
}

// Run replays a trace with the policy of o. The same trace and options give the same result.
func Run(t *Trace, o Options) *Result {
	r := &runner{
		trace: t, options: o,
		byNode:    map[fleet.NodeID]*server{},
		inTransit: map[*server][]*attempt{},
		result:    &Result{Trace: t, Policy: o.Policy},

		disturbances: map[fleet.NodeID][]*Line{},
	}
	for i := range t.Disturbances {
		e := &t.Disturbances[i]
		r.disturbances[e.Node] = append(r.disturbances[e.Node], e)
	}
	r.options.Probe = o.Probe.WithDefaults()
	r.addServers()
	r.addEntries()
	r.schedule()
	r.scheduleArrivals(t.arrivals())
	r.run()
	r.result.collect(r)
	return r.result
}

// scheduleArrivals schedules the first arrival. Each arrival schedules the next one when it is
// processed, so the event queue stays short.
func (r *runner) scheduleArrivals(next []arrival) {
	if len(next) == 0 {
		return
	}
	r.at(next[0].at, func() {
		r.entries[next[0].entry].startRequest(next[0])
		r.scheduleArrivals(next[1:])
	})
}

func (r *runner) time() time.Time                  { return epoch.Add(r.now) }
func (r *runner) timeAt(t time.Duration) time.Time { return epoch.Add(t) }

func (r *runner) addServers() {
	for i := range r.trace.Servers {
		l := &r.trace.Servers[i]
		c := r.options.Admit
		c.Slots, c.Connections, c.QueueLength = l.Slots, l.Connections, 2*l.Slots
		s := &server{
			run: r, line: l, controller: admit.NewController(c),
			budget:   probe.NewBudget(epoch, probe.Limits{ProbesPerSecond: r.trace.Deployment.ProbesPerSecond, BytesPerSecond: r.trace.Deployment.BytesPerSecond}),
			attempts: map[uint64]*attempt{}, drainAt: -1,
			announcement: fleet.Server{
				Node: l.Node, Incarnation: 1, Sequence: 1, Service: l.Service, Zone: l.Zone,
				State: fleet.Ready, Slots: l.Slots, ReadySince: epoch.Add(-time.Hour).UnixMilli(),
			},
		}
		r.servers = append(r.servers, s)
		r.byNode[l.Node] = s
	}
	for _, e := range r.trace.Disturbances {
		if e.Kind == KindCold {
			r.byNode[e.Node].announcement.State = fleet.Starting
		}
	}
}

func (r *runner) addEntries() {
	for i := range r.trace.Deployment.Entries {
		e := &entry{
			run: r, localServer: r.servers[i%len(r.servers)], zone: r.servers[i%len(r.servers)].line.Zone,
			rng:       rand.New(rand.NewPCG(r.trace.Deployment.Seed, 1000+uint64(i))),
			balancers: map[string]*pick.Balancer{}, ready: map[string][]*server{}, queryLimiter: probe.NewLoadQueryLimiter(r.options.Probe),
			lastUse: map[string]time.Duration{}, nextIndex: map[string]int{}, inFlight: map[*server]int{},
		}
		for range r.trace.Classes {
			e.policies = append(e.policies, retry.New(epoch, r.options.Retry))
		}
		for _, s := range r.servers {
			if e.balancers[s.line.Service] == nil {
				e.balancers[s.line.Service] = pick.New(r.options.Pick)
			}
		}
		if e.localServer.localEntry == nil {
			e.localServer.localEntry = e
		}
		r.entries = append(r.entries, e)
		e.updateServers()
	}
}

// updateServers applies the current announcements of all servers to the entry node.
func (e *entry) updateServers() {
	for service, b := range e.balancers {
		var list []fleet.Server
		e.ready[service] = nil
		for _, s := range e.run.servers {
			if s.line.Service != service {
				continue
			}
			list = append(list, s.announcement)
			if s.announcement.State == fleet.Ready {
				e.ready[service] = append(e.ready[service], s)
			}
		}
		b.Update(e.run.time(), list, e.zone)
	}
}

// Shortest and longest delay until an entry node receives a change of a server's state. The
// delays of the entry nodes are spread evenly between them.
const (
	minUpdateDelay = 100 * time.Millisecond
	maxUpdateDelay = 1500 * time.Millisecond
)

// announce changes the announced state of a server and schedules its delivery to the entry
// nodes.
func (r *runner) announce(s *server, state fleet.ServerState) {
	s.announcement.State = state
	s.announcement.Sequence++
	s.announcement.ReadySince = r.time().UnixMilli()
	for i, e := range r.entries {
		spread := maxUpdateDelay - minUpdateDelay
		r.after(minUpdateDelay+spread*time.Duration(i)/time.Duration(len(r.entries)), e.updateServers)
	}
}

// schedule adds the drains and joins of the trace and the periodic measurements to the event
// queue.
func (r *runner) schedule() {
	for i := range r.trace.Disturbances {
		e := &r.trace.Disturbances[i]
		switch e.Kind {
		case KindDrain:
			s := r.byNode[e.Node]
			r.at(e.At.Std(), func() {
				s.drainAt = r.now
				s.applyActions(s.controller.Close(errkind.Draining))
				r.announce(s, fleet.Draining)
			})
		case KindCold:
			r.at(e.At.Std(), func() { r.announce(r.byNode[e.Node], fleet.Ready) })
		}
	}
	for t := checkInterval; t < r.trace.Deployment.Duration.Std(); t += checkInterval {
		r.at(t, r.measure)
	}
}

// reportDelay returns how long load reports are delayed at the current time.
func (r *runner) reportDelay() time.Duration {
	for _, e := range r.disturbances[""] {
		if e.active(r.now) {
			return e.Delay.Std()
		}
	}
	return 0
}

func (r *runner) removeInTransit(s *server, a *attempt) {
	list := r.inTransit[s]
	for i := range list {
		if list[i] == a {
			r.inTransit[s] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}
