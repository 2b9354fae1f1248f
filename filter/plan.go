package filter

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"bramleymill/class"
	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/explain"
	"bramleymill/fleet"
	"bramleymill/pick"
	"bramleymill/quota"
)

// QuotaView states what this node knows about the quota of a customer. It changes nothing.
type QuotaView interface {
	Stock(customer string) quota.Stock
}

// planDraws is the number of selections of a plan. The candidates of each are random, so that one
// selection would not show how likely its result is.
const planDraws = 200

// planSeed determines the random choices of the selections of a plan.
const planSeed = 1

// Planner states where a request would go, by the decisions of the filters of the entry chain. It
// sends nothing, takes no permit and changes no count, trial or sequence of shares. Like a
// request, it applies announcements of servers that the directory has received.
type Planner struct {
	Classifier    *Classifier
	Configuration Configuration
	Selection     *ServerSelection
	Quotas        QuotaView // nil: there are no quotas
	Clock         clock.Clock
	Node          fleet.NodeID
}

// Plan returns where the request r would go now. Its error states what is missing: a
// configuration, the host, a class, the customer, or a server.
func (p *Planner) Plan(r *explain.PlanRequest) (*explain.Plan, error) {
	plan := &explain.Plan{Entry: p.Node, Zone: p.Selection.zone, ConfirmedAgo: p.Configuration.ConfirmationAge(),
		Assumed: []string{"first attempt of a caller's request without a body"}}
	c, err := p.call(r, plan)
	if err != nil {
		return nil, err
	}
	plan.ConfigVersion, plan.Class, plan.Service = c.Config.Version, c.Class.Name, c.Class.Service
	checks := NewConfirmed(NewInternalOnly(HandlerFunc(func(*Call) error { return nil })), p.Configuration)
	plan.Refuse(checks.Serve(c))
	if err := p.findCustomer(c, r.Customer, plan); err != nil {
		return nil, err
	}
	plan.Customer, plan.Urgency = c.Meta.Customer, class.UrgencyName(c.Meta.Urgency)
	p.checkQuota(c, plan)
	if err := p.Selection.plan(c, rand.New(rand.NewPCG(planSeed, planSeed)), planDraws, plan); err != nil {
		return nil, err
	}
	return plan, nil
}

// call returns a classified call for the request r, as a dry run.
func (p *Planner) call(r *explain.PlanRequest, plan *explain.Plan) (*Call, error) {
	if r.Host == "" || !strings.HasPrefix(r.Path, "/") {
		return nil, errkind.New(errkind.BadRequest, "host %q, path %q: a host and a path that begins with a slash are needed", r.Host, r.Path)
	}
	request, err := http.NewRequestWithContext(context.Background(), r.Method, "http://"+r.Host+r.Path, http.NoBody)
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "%w", err)
	}
	now := p.Clock.Now()
	c := &Call{Ctx: context.Background(), Request: request, Started: now, Record: explain.NewRecord(explain.Entry, "", now), Body: NewBody(request), dryRun: true}
	err = p.Classifier.classify(c)
	if errkind.Of(err).Kind == errkind.KeyRequired {
		plan.Assumed = append(plan.Assumed, "it has an idempotency key")
		request.Header.Set(fleet.HeaderIdempotencyKey, "dry-run")
		err = p.Classifier.classify(c)
	}
	switch set := c.Config; {
	case err == nil:
		c.Meta.Fingerprint = fingerprintOf(c)
		return c, nil
	case errkind.Of(err).Kind == errkind.NoClass && !set.KnowsHost(r.Host):
		return nil, errkind.New(errkind.NotFound, "configuration %d of node %s has no class for host %s", set.Version, p.Node, r.Host)
	case errkind.Of(err).Kind == errkind.NoClass:
		return nil, errkind.New(errkind.NotFound, "configuration %d of node %s has no class for %s %s at host %s", set.Version, p.Node, r.Method, r.Path, r.Host)
	}
	return nil, err
}

// findCustomer sets the customer of c. name is empty if the request has no key.
func (p *Planner) findCustomer(c *Call, name string, plan *explain.Plan) error {
	customers := c.Config.Customers()
	if name == "" {
		if customers.Len() > 0 && !c.Class.Anonymous {
			_, err := (&customerFilter{config: p.Configuration}).recheck(c, "", false)
			plan.Refuse(err)
		}
		return nil
	}
	found := customers.Named(name)
	if found == nil {
		return errkind.New(errkind.NotFound, "configuration %d of node %s has no customer %q", c.Config.Version, p.Node, name)
	}
	c.setCustomer(found)
	return nil
}

// checkQuota states the quota of the customer of c and whether it would refuse the request.
func (p *Planner) checkQuota(c *Call, plan *explain.Plan) {
	if p.Quotas == nil || !needsPermit(c) {
		return
	}
	s := p.Quotas.Stock(c.Customer.Name)
	plan.Quota = &explain.PlanQuota{Rate: c.Customer.Rate, Burst: c.Customer.Burst, Permits: s.Permits, Verdict: "ask_control", Wait: s.Wait}
	switch s.Verdict {
	case quota.Granted:
		plan.Quota.Verdict = "granted"
	case quota.Exceeded:
		plan.Quota.Verdict = "exceeded"
		plan.Refuse(errkind.New(errkind.QuotaExceeded, "quota of customer %q: the next permit is expected in %v", c.Customer.Name, s.Wait))
	case quota.Unavailable:
		plan.Quota.Verdict = "unavailable"
		plan.Refuse(errkind.New(errkind.QuotaUnavailable, "quota of customer %q: no control instance issues permits", c.Customer.Name))
	}
}

// plan adds the servers and the result of the selection to out. It returns an error if no server
// is announced.
func (f *ServerSelection) plan(c *Call, rng *rand.Rand, draws int, out *explain.Plan) error {
	now, service := f.clock.Now(), c.Class.Service
	b := f.planBalancer(service)
	candidates := b.Candidates(now)
	if len(candidates) == 0 {
		return errkind.New(errkind.NotFound, "node %s knows no server of service %s: none is announced, or the node has not sent a request to the service yet", out.Entry, service)
	}
	out.Bytes = f.sizes.mean(c.Class.Name)
	f.planTargets(c, b, rng, draws, out)
	slices.SortFunc(candidates, func(a, b pick.Candidate) int {
		return cmp.Or(cmp.Compare(a.Exclusion, b.Exclusion), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Server.Node, b.Server.Node))
	})
	for i := range candidates {
		if i == explain.MaxPlanCandidates {
			out.Omitted = len(candidates) - i
			break
		}
		c := planCandidate(&candidates[i])
		if f.zones.Load().Out(c.Zone) {
			c.Excluded = zoneOutOfUse
		}
		out.Candidates = append(out.Candidates, c)
	}
	return nil
}

// zoneOutOfUse is the exclusion of the servers of a zone that was taken out of use.
const zoneOutOfUse = "zone_out_of_use"

// planTargets adds the targets of the given number of selections to out.
func (f *ServerSelection) planTargets(c *Call, b *pick.Balancer, rng *rand.Rand, draws int, out *explain.Plan) {
	now := f.clock.Now()
	var copies int32
	if !f.AnyPlacement && f.restrictsPlacement(c, now) {
		copies = f.running.count(c.Meta.Fingerprint) + 1
	}
	shares := map[explain.PlanTarget]int{}
	for range draws {
		e, reason := f.pick(rng, c, b, now, &pick.NodeSet{}, copies)
		if e == nil {
			out.Refuse(f.errNoServer(c.Class.Service))
			return
		}
		t := explain.PlanTarget{Node: e.Server.Node, Zone: e.Server.Zone}
		if f.inOtherZone(&e.Server) {
			t.LeftZone = reason.String()
		}
		shares[t]++
	}
	for t, n := range shares {
		t.Share = float64(n) / float64(draws)
		out.Targets = append(out.Targets, t)
	}
	slices.SortFunc(out.Targets, func(a, b explain.PlanTarget) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Node, b.Node), cmp.Compare(a.LeftZone, b.LeftZone))
	})
}

// planBalancer returns the balancer of a service. If this node has not used the service, the
// balancer is a new one that is not kept.
func (f *ServerSelection) planBalancer(service string) *pick.Balancer {
	if _, ok := f.services.Load(service); ok {
		return f.pool(service).balancer
	}
	b := pick.New(pick.Config{WaitPerMegabyte: f.WaitPerMegabyte})
	b.Update(f.clock.Now(), f.zones.Load().Apply(f.directory.Servers(service)), f.zone)
	return b
}

func planCandidate(c *pick.Candidate) explain.PlanCandidate {
	return explain.PlanCandidate{Node: c.Server.Node, Zone: c.Server.Zone, Cost: c.Cost, Requests: c.Requests, Slots: c.Slots,
		Outstanding: c.Outstanding, Age: c.ReportAge, FailureRate: c.FailureRate, PermitWait: c.PermitWait, LinkBacklog: c.LinkBacklog, Cold: c.Cold,
		Full: c.Full, Excluded: string(c.Exclusion), TrialDue: c.TrialDue}
}
