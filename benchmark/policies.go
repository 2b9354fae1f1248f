package benchmark

import (
	"path/filepath"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"bramleymill/errkind"
	"bramleymill/replay"
)

const (
	// replaySeeds is the number of replays whose requests are pooled, because
	// p99 of one replay varies by a tenth between seeds.
	replaySeeds = 3
	seedStep    = 100
	// replayWorkers bounds the replays that run at the same time, so that the
	// machine stays usable for others.
	replayWorkers = 3
	// PooledTrace names the figures over all traces of a deployment without
	// those of overload, whose latency is that of a full queue.
	PooledTrace  = "pooled"
	overloadMark = "overload"
)

// AsRun names the current policy with hedging, as nodes run it.
const AsRun = "current+hedge"

// Variant is a policy with options and a budget.
type Variant struct {
	Name    string         `json:"name"`
	Options replay.Options `json:"-"`
	Budget  float64        `json:"budget"` // multiple of the budget that the trace states
}

// PolicyVariants returns every policy with the budget of the trace.
func PolicyVariants() []Variant {
	var out []Variant
	for _, p := range replay.Policies() {
		out = append(out, Variant{Name: string(p), Options: replay.Options{Policy: p}, Budget: 1})
	}
	return append(out, asRunVariant(1))
}

// BudgetVariants returns the current policy with several budgets.
func BudgetVariants() []Variant {
	var out []Variant
	for _, b := range []float64{0, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2} {
		out = append(out, asRunVariant(b))
	}
	return out
}

func asRunVariant(budget float64) Variant {
	return Variant{Name: AsRun, Options: replay.Options{Policy: replay.Current, Hedge: true}, Budget: budget}
}

// Figures are those of one class under one variant on one trace, over all seeds.
type Figures struct {
	Deployment string               `json:"deployment"`
	Trace      string               `json:"trace"`
	Policy     string               `json:"policy"`
	Budget     float64              `json:"budget"`
	Class      string               `json:"class"`
	Requests   int                  `json:"requests"`
	Answered   int                  `json:"answered"`
	Unanswered map[errkind.Kind]int `json:"unanswered,omitempty"`
	Goodput    float64              `json:"goodput_per_second"`
	P50        float64              `json:"p50_ms"`
	P99        float64              `json:"p99_ms"`
	P999       float64              `json:"p999_ms"`
	Cost       Cost                 `json:"cost"`
}

// Cost is what measuring put on backend servers and the network. Shares are the
// largest of any server.
type Cost struct {
	ProbesPerServer float64 `json:"probes_per_server_per_second"`
	BytesPerServer  float64 `json:"bytes_per_server_per_second"`
	ProbeShare      float64 `json:"largest_share_of_probe_budget"`
	ByteShare       float64 `json:"largest_share_of_byte_budget"`
}

// Ratio compares p99 of the current policy with those of other policies.
type Ratio struct {
	Deployment   string  `json:"deployment"`
	Trace        string  `json:"trace"`
	Class        string  `json:"class"`
	ToRoundRobin float64 `json:"p99_to_round_robin"`
	ToAllKnowing float64 `json:"p99_to_all_knowing"`
}

// Policies holds the figures of the replays.
type Policies struct {
	Run     Run       `json:"run"`
	Seeds   []uint64  `json:"added_to_seed_of_trace"`
	Figures []Figures `json:"figures"`
	Ratios  []Ratio   `json:"ratios"`
	Budgets []Figures `json:"budgets"`
}

// RunPolicies replays all traces of a folder with every variant.
func RunPolicies(folder string, run Run) (*Policies, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.jsonl"))
	if err != nil {
		return nil, err
	}
	out := &Policies{Run: run}
	for i := range uint64(replaySeeds) {
		out.Seeds = append(out.Seeds, run.Seed+i*seedStep)
	}
	if out.Figures, err = replayAll(files, PolicyVariants(), out.Seeds); err != nil {
		return nil, err
	}
	calm := slices.DeleteFunc(slices.Clone(files), func(f string) bool { return strings.Contains(f, overloadMark) })
	budgets, err := replayAll(calm, BudgetVariants(), out.Seeds)
	if err != nil {
		return nil, err
	}
	out.Budgets = slices.DeleteFunc(budgets, func(f Figures) bool { return f.Trace != PooledTrace })
	out.Ratios = ratios(out.Figures)
	return out, nil
}

func replayAll(files []string, variants []Variant, seeds []uint64) ([]Figures, error) {
	parts := make([]*pool, len(variants))
	var group errgroup.Group
	group.SetLimit(replayWorkers)
	for i, v := range variants {
		parts[i] = newPool(v)
		group.Go(func() error { return parts[i].replay(files, seeds) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var out []Figures
	for _, p := range parts {
		out = append(out, p.figures()...)
	}
	return out, nil
}

// replay runs the variant on every trace and seed.
func (p *pool) replay(files []string, seeds []uint64) error {
	for _, file := range files {
		for _, seed := range seeds {
			t, err := replay.Load(file)
			if err != nil {
				return err
			}
			t.Deployment.Seed += seed
			t.Deployment.ProbesPerSecond *= p.variant.Budget
			t.Deployment.BytesPerSecond = int64(float64(t.Deployment.BytesPerSecond) * p.variant.Budget)
			p.add(strings.TrimSuffix(filepath.Base(file), ".jsonl"), replay.Run(t, p.variant.Options))
		}
	}
	return nil
}

// ratios compares p99 of AsRun on each trace with the other policies.
func ratios(all []Figures) []Ratio {
	var out []Ratio
	for _, f := range all {
		if f.Policy != AsRun {
			continue
		}
		to := func(policy replay.Policy) float64 {
			i := slices.IndexFunc(all, func(g Figures) bool {
				return g.Policy == string(policy) && g.Deployment == f.Deployment && g.Trace == f.Trace && g.Class == f.Class
			})
			if i < 0 || all[i].P99 == 0 {
				return 0
			}
			return f.P99 / all[i].P99
		}
		out = append(out, Ratio{
			Deployment: f.Deployment, Trace: f.Trace, Class: f.Class,
			ToRoundRobin: to(replay.RoundRobin), ToAllKnowing: to(replay.AllKnowing),
		})
	}
	return out
}

// pool collects the results of one variant.
type pool struct {
	variant Variant
	order   []poolKey
	sums    map[poolKey]*sum
}

type poolKey struct{ deployment, trace, class string }

type sum struct {
	records       []replay.Record
	seconds       float64
	serverSeconds float64
	probes, bytes uint64
	cost          Cost
}

func newPool(v Variant) *pool { return &pool{variant: v, sums: map[poolKey]*sum{}} }

func (p *pool) add(trace string, r *replay.Result) {
	for _, c := range r.Trace.Classes {
		p.sum(poolKey{r.Trace.Deployment.Name, trace, c.Name}).add(r, c.Name)
		if !strings.Contains(trace, overloadMark) {
			p.sum(poolKey{r.Trace.Deployment.Name, PooledTrace, c.Name}).add(r, c.Name)
		}
	}
}

func (p *pool) sum(k poolKey) *sum {
	if p.sums[k] == nil {
		p.sums[k] = &sum{}
		p.order = append(p.order, k)
	}
	return p.sums[k]
}

func (s *sum) add(r *replay.Result, class string) {
	lasted := r.Trace.Deployment.For.Std().Seconds()
	s.records = append(s.records, r.Of(class)...)
	s.seconds += lasted
	for _, server := range r.Servers {
		s.serverSeconds += lasted
		s.probes += server.Spent.Probes
		s.bytes += server.Spent.Bytes
		s.cost.ProbeShare = max(s.cost.ProbeShare, server.Spent.ProbeShare)
		s.cost.ByteShare = max(s.cost.ByteShare, server.Spent.ByteShare)
	}
}

func (p *pool) figures() []Figures {
	out := make([]Figures, 0, len(p.order))
	for _, k := range p.order {
		f := p.sums[k].figures()
		f.Deployment, f.Trace, f.Class = k.deployment, k.trace, k.class
		f.Policy, f.Budget = p.variant.Name, p.variant.Budget
		out = append(out, f)
	}
	return out
}

func (s *sum) figures() Figures {
	quantile := func(q float64) float64 { return millis(replay.Quantile(s.records, q).Round(time.Microsecond)) }
	f := Figures{
		Requests: len(s.records), Answered: replay.Answered(s.records), Unanswered: map[errkind.Kind]int{},
		P50: quantile(0.5), P99: quantile(0.99), P999: quantile(0.999), Cost: s.cost,
	}
	for _, r := range s.records {
		if r.Kind != "" {
			f.Unanswered[r.Kind]++
		}
	}
	if s.seconds > 0 {
		f.Goodput = float64(f.Answered) / s.seconds
	}
	if s.serverSeconds > 0 {
		f.Cost.ProbesPerServer = float64(s.probes) / s.serverSeconds
		f.Cost.BytesPerServer = float64(s.bytes) / s.serverSeconds
	}
	return f
}
