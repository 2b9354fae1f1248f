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
	// replaySeeds is the number of replays of a trace, each with a different seed, whose
	// requests are pooled. The p99 of a single replay depends too much on its seed: it
	// differs by about a tenth.
	replaySeeds = 3
	seedStep    = 100 // difference between the seeds of consecutive replays
	// replayWorkers limits the number of concurrent replays, so that other users of
	// the machine are not slowed down.
	replayWorkers = 3
	// PooledTrace is the value of Figures.Trace for the results over all traces of a
	// deployment.
	// Overload traces are left out, because a full queue determines their latency.
	PooledTrace    = "pooled"
	overloadMarker = "overload" // part of the names of overload traces
)

// ProductionPolicy is the name of the variant that nodes run: the current policy with
// hedging.
const ProductionPolicy = "current+hedge"

// Variant is a policy with options and a budget for probes and load queries.
type Variant struct {
	Name    string         `json:"name"`
	Options replay.Options `json:"-"`
	Budget  float64        `json:"budget"` // multiple of the budget of the trace
}

// PolicyVariants returns every policy, and ProductionPolicy, with the budget of the
// trace.
func PolicyVariants() []Variant {
	var out []Variant
	for _, p := range replay.Policies() {
		out = append(out, Variant{Name: string(p), Options: replay.Options{Policy: p}, Budget: 1})
	}
	return append(out, productionVariant(1))
}

// BudgetVariants returns ProductionPolicy with different budgets.
func BudgetVariants() []Variant {
	var out []Variant
	for _, b := range []float64{0, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2} {
		out = append(out, productionVariant(b))
	}
	return out
}

func productionVariant(budget float64) Variant {
	return Variant{Name: ProductionPolicy, Options: replay.Options{Policy: replay.Current, Hedge: true}, Budget: budget}
}

// Figures are the results of one class of work with one variant on one trace, over all
// seeds. Policy is the name of the variant. Trace is PooledTrace for the results over
// several traces.
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

// Cost is the load that probes and load queries put on backend servers and the network.
// ProbeShare and ByteShare are the largest share of its budget that a server used.
type Cost struct {
	ProbesPerServer float64 `json:"probes_per_server_per_second"`
	BytesPerServer  float64 `json:"bytes_per_server_per_second"`
	ProbeShare      float64 `json:"largest_share_of_probe_budget"`
	ByteShare       float64 `json:"largest_share_of_byte_budget"`
}

// Ratio compares p99 of ProductionPolicy with those of other policies. A ratio is zero
// if the other policy has no p99 for the trace and class.
type Ratio struct {
	Deployment   string  `json:"deployment"`
	Trace        string  `json:"trace"`
	Class        string  `json:"class"`
	ToRoundRobin float64 `json:"p99_to_round_robin"`
	ToAllKnowing float64 `json:"p99_to_all_knowing"`
}

// Policies is the content of the results file PoliciesFile: the figures of the
// replays with every policy and, for the pooled traces, with every budget.
type Policies struct {
	Run     Run       `json:"run"`
	Seeds   []uint64  `json:"added_to_seed_of_trace"`
	Figures []Figures `json:"figures"`
	Ratios  []Ratio   `json:"ratios"`
	Budgets []Figures `json:"budgets"`
}

// RunPolicies replays all traces (*.jsonl) of a folder with every variant.
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
	withoutOverload := slices.DeleteFunc(slices.Clone(files), func(f string) bool { return strings.Contains(f, overloadMarker) })
	budgets, err := replayAll(withoutOverload, BudgetVariants(), out.Seeds)
	if err != nil {
		return nil, err
	}
	out.Budgets = slices.DeleteFunc(budgets, func(f Figures) bool { return f.Trace != PooledTrace })
	out.Ratios = ratios(out.Figures)
	return out, nil
}

// replayAll replays the traces with every variant and returns the figures in the order
// of the variants.
func replayAll(files []string, variants []Variant, seeds []uint64) ([]Figures, error) {
	totals := make([]*variantTotals, len(variants))
	var group errgroup.Group
	group.SetLimit(replayWorkers)
	for i, v := range variants {
		totals[i] = newVariantTotals(v)
		group.Go(func() error { return totals[i].replay(files, seeds) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var out []Figures
	for _, p := range totals {
		out = append(out, p.figures()...)
	}
	return out, nil
}

// replay replays every trace with the variant and every seed.
func (p *variantTotals) replay(files []string, seeds []uint64) error {
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

// ratios compares p99 of ProductionPolicy on each trace with those of round robin and
// of the all-knowing policy.
func ratios(all []Figures) []Ratio {
	var out []Ratio
	for _, f := range all {
		if f.Policy != ProductionPolicy {
			continue
		}
		ratioTo := func(policy replay.Policy) float64 {
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
			ToRoundRobin: ratioTo(replay.RoundRobin), ToAllKnowing: ratioTo(replay.AllKnowing),
		})
	}
	return out
}

// variantTotals collects the results of one variant.
type variantTotals struct {
	variant Variant
	order   []totalsKey
	totals  map[totalsKey]*classTotals
}

// totalsKey identifies a row of the figures of a variant.
type totalsKey struct{ deployment, trace, class string }

type classTotals struct {
	records       []replay.Record
	seconds       float64
	serverSeconds float64
	probes, bytes uint64
	cost          Cost
}

func newVariantTotals(v Variant) *variantTotals {
	return &variantTotals{variant: v, totals: map[totalsKey]*classTotals{}}
}

// add adds the result of one replay to the totals of its trace and, unless it is an
// overload trace, to those of the pooled traces.
func (p *variantTotals) add(trace string, r *replay.Result) {
	for _, c := range r.Trace.Classes {
		p.totalsOf(totalsKey{r.Trace.Deployment.Name, trace, c.Name}).add(r, c.Name)
		if !strings.Contains(trace, overloadMarker) {
			p.totalsOf(totalsKey{r.Trace.Deployment.Name, PooledTrace, c.Name}).add(r, c.Name)
		}
	}
}

func (p *variantTotals) totalsOf(k totalsKey) *classTotals {
	if p.totals[k] == nil {
		p.totals[k] = &classTotals{}
		p.order = append(p.order, k)
	}
	return p.totals[k]
}

func (s *classTotals) add(r *replay.Result, class string) {
	seconds := r.Trace.Deployment.Duration.Std().Seconds()
	s.records = append(s.records, r.RecordsOf(class)...)
	s.seconds += seconds
	for _, server := range r.Servers {
		s.serverSeconds += seconds
		s.probes += server.Usage.Probes
		s.bytes += server.Usage.Bytes
		s.cost.ProbeShare = max(s.cost.ProbeShare, server.Usage.ProbeShare)
		s.cost.ByteShare = max(s.cost.ByteShare, server.Usage.ByteShare)
	}
}

func (p *variantTotals) figures() []Figures {
	out := make([]Figures, 0, len(p.order))
	for _, k := range p.order {
		f := p.totals[k].figures()
		f.Deployment, f.Trace, f.Class = k.deployment, k.trace, k.class
		f.Policy, f.Budget = p.variant.Name, p.variant.Budget
		out = append(out, f)
	}
	return out
}

func (s *classTotals) figures() Figures {
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
