package loadgen

import (
	"fmt"
	"os"
	"time"

	"bramleymill/strictjson"
)

// Plan describes a run.
type Plan struct {
	Seed           uint64              `json:"seed"`
	Duration       strictjson.Duration `json:"duration"`
	DirectDuration strictjson.Duration `json:"direct_duration,omitempty"` // baseline without nodes, before the load
	Nodes          []string            `json:"nodes"`                     // caller addresses
	Streams        []Stream            `json:"streams"`
}

// Stream is the load of one class.
type Stream struct {
	Class      string              `json:"class"`
	Method     string              `json:"method"`
	Path       string              `json:"path"`
	Rate       float64             `json:"rate"` // requests a second
	BodyBytes  int                 `json:"body_bytes,omitempty"`
	Key        bool                `json:"key,omitempty"`     // send an Idempotency-Key
	Resends    int                 `json:"resends,omitempty"` // how often an unanswered request is sent again with its key
	Idempotent bool                `json:"idempotent,omitempty"`
	Internal   []string            `json:"internal,omitempty"`   // service addresses to call instead of nodes
	TokenFile  string              `json:"token_file,omitempty"` // service token for internal calls
	Timeout    strictjson.Duration `json:"timeout,omitempty"`
	Direct     []string            `json:"direct,omitempty"` // backend servers for the baseline
}

// Limits of a plan. They keep a mistyped plan from flooding the machine.
const (
	MaxDuration    = 10 * time.Minute
	MaxRate        = 50_000
	DefaultTimeout = 10 * time.Second
)

// LoadPlan reads and validates the plan at path.
func LoadPlan(path string) (*Plan, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read plan: %w", err)
	}
	var p Plan
	if err := strictjson.Decode(b, &p); err != nil {
		return nil, fmt.Errorf("plan %s:\n%w", path, err)
	}
	if err := p.validate(); err != nil {
		return nil, fmt.Errorf("plan %s:\n%w", path, err)
	}
	return &p, nil
}

func (p *Plan) validate() error {
	var errs strictjson.Errors
	if d := p.Duration.Std(); d <= 0 || d > MaxDuration {
		errs.Add("duration", p.Duration, `use more than 0 and at most "10m"`)
	}
	if d := p.DirectDuration.Std(); d < 0 || d > MaxDuration {
		errs.Add("direct_duration", p.DirectDuration, `use 0 to "10m"`)
	}
	if len(p.Streams) == 0 {
		errs.Add("streams", nil, "list at least one stream")
	}
	for i := range p.Streams {
		p.Streams[i].validate(fmt.Sprintf("streams[%d]", i), len(p.Nodes), &errs)
	}
	return errs.Err()
}

func (s *Stream) validate(at string, nodes int, errs *strictjson.Errors) {
	if s.Class == "" || s.Method == "" || s.Path == "" {
		errs.Add(at, nil, "class, method and path are required")
	}
	if s.Rate <= 0 || s.Rate > MaxRate {
		errs.Add(at+".rate", s.Rate, fmt.Sprintf("use more than 0 and at most %d", MaxRate))
	}
	if nodes == 0 && len(s.Internal) == 0 {
		errs.Add("nodes", nil, "list the caller addresses of the nodes")
	}
	if s.Resends > 0 && !s.Key && !s.Idempotent {
		errs.Add(at+".resends", s.Resends, "only a request with a key or an idempotent one may be sent again")
	}
	if s.Timeout == 0 {
		s.Timeout = strictjson.Duration(DefaultTimeout)
	}
}
