package filter

import (
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"bramleymill/class"
	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Classifier is the filter that finds the class of a request.
type Classifier struct {
	next      Handler
	config    Configuration
	seed      uint64
	sequences sync.Map // class name -> *shareSequence
}

// NewClassify returns the filter that finds the class of a request. It also selects the
// service of a request whose class is shared among services; seed determines where the
// sequences of these selections begin.
func NewClassify(next Handler, config Configuration, seed uint64) *Classifier {
	return &Classifier{next: next, config: config, seed: seed}
}

// shareSequence generates evenly spread points from 0 to below 1. Successive points differ
// by the golden ratio (modulo 1), so that each service gets its share of a class within few
// requests of one node.
type shareSequence struct {
	start float64
	next  atomic.Uint64
}

func (s *shareSequence) point() float64 { return s.at(s.next.Add(1)) }

// peek returns the point that the next call of point returns.
func (s *shareSequence) peek() float64 { return s.at(s.next.Load() + 1) }

func (s *shareSequence) at(i uint64) float64 {
	_, frac := math.Modf(s.start + float64(i%shareCycle)*math.Phi)
	return frac
}

// shareCycle bounds the number that point multiplies by the golden ratio. The fraction of a
// larger product would be too imprecise.
const shareCycle = 1 << 24

// selectService selects the service of a request whose class is shared among services. A dry run
// gets the service of the next request and leaves it to that request.
func (f *Classifier) selectService(r *class.Resolved, dryRun bool) *class.Resolved {
	if !r.IsSplit() {
		return r
	}
	s, ok := f.sequences.Load(r.Name)
	if !ok {
		s = &shareSequence{start: rand.New(rand.NewPCG(f.seed, uint64(len(r.Name)))).Float64()}
		if !dryRun {
			s, _ = f.sequences.LoadOrStore(r.Name, s)
		}
	}
	if dryRun {
		return r.SelectShare(s.(*shareSequence).peek())
	}
	return r.SelectShare(s.(*shareSequence).point())
}

// Serve classifies c and passes it on.
func (f *Classifier) Serve(c *Call) error {
	if err := f.classify(c); err != nil {
		return err
	}
	return f.next.Serve(c)
}

// classify sets the class of c and what follows from it.
func (f *Classifier) classify(c *Call) error {
	if err := rejectUnsupported(c.Request); err != nil {
		return err
	}
	set := f.config.Current()
	if set == nil {
		return errkind.New(errkind.ConfigAbsent, "the node has no confirmed configuration yet")
	}
	c.Config = set
	c.Class = set.MatchHost(c.Request.Host, c.Request.Method, c.Request.URL.EscapedPath())
	c.Record.ConfigVersion = set.Version
	if c.Class == nil {
		return errkind.New(errkind.NoClass, "no class matches %s %s", c.Request.Method, c.Request.URL.Path)
	}
	c.Class = f.selectService(c.Class, c.dryRun)
	key, err := keyOf(c)
	if err != nil {
		return err
	}
	c.Key = key
	c.Meta.Class, c.Meta.ConfigVersion = c.Class.Name, set.Version
	c.Meta.Idempotent, c.Meta.Urgency = c.Class.Idempotent, c.Class.Urgency
	if c.Parent != nil && c.Class.ConfiguredAsItem {
		// A refusal of the call would waste the slot and the work of the request that made it.
		// A class that is configured as an item has no setting that marks it as internal.
		c.Meta.Urgency = fleet.UrgencyCritical
	}
	c.Record.Class = c.Class.Name
	return nil
}

// rejectUnsupported rejects requests that would turn the connection into a tunnel, and
// TRACE, because its answer would reveal headers that are sent only between nodes.
func rejectUnsupported(r *http.Request) error {
	switch {
	case r.Method == http.MethodConnect:
		return errkind.New(errkind.BadRequest, "CONNECT is not served")
	case r.Method == http.MethodTrace:
		return errkind.New(errkind.BadRequest, "TRACE is not served")
	case r.Header.Get("Upgrade") != "":
		return errkind.New(errkind.BadRequest, "protocol upgrades are not served")
	}
	return nil
}
