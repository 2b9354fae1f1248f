package loadgen

import (
	"fmt"
	"os"
	"time"

	"bramleymill/strictjson"
)

// Plan describes the load of one run. It is read from a JSON file.
type Plan struct {
	Seed           uint64              `json:"seed"`
	Duration       strictjson.Duration `json:"duration"`
	DirectDuration strictjson.Duration `json:"direct_duration,omitempty"` // duration of the baseline: calls to backend servers without nodes, before the load
	Nodes          []string            `json:"nodes"`                     // addresses at which nodes accept callers
	Streams        []Stream            `json:"streams"`
}

// Stream describes the requests of one class of work.
type Stream struct {
	Class             string              `json:"class"`
	Method            string              `json:"method"`
	Path              string              `json:"path"`
	Rate              float64             `json:"rate"` // mean number of requests per second
	BodyBytes         int                 `json:"body_bytes,omitempty"`
	SendKey           bool                `json:"key,omitempty"`        // send the work id in the header Idempotency-Key
	Resends           int                 `json:"resends,omitempty"`    // how often a request is sent again after the verdict NotRun or Unknown
	Idempotent        bool                `json:"idempotent,omitempty"` // running it more than once is no violation
	InternalAddresses []string            `json:"internal,omitempty"`   // addresses at which nodes accept services; used instead of nodes
	TokenFile         string              `json:"token_file,omitempty"` // file with the service token for internal calls
	Timeout           strictjson.Duration `json:"timeout,omitempty"`    // time limit of each attempt; DefaultTimeout if zero
	DirectAddresses   []string            `json:"direct,omitempty"`     // addresses of backend servers for the baseline
}

// Limits and defaults of a plan. The limits keep a mistyped plan from flooding
// the machine.
const (
	MaxDuration    = 10 * time.Minute
	MaxRate        = 50_000 // requests per second of one stream
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
		return nil, fmt.Errorf("decode plan %s:\n%w", path, err)
	}
	if err := p.validate(); err != nil {
		return nil, fmt.Errorf("invalid plan %s:\n%w", path, err)
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

func (s *Stream) validate(path string, nodes int, errs *strictjson.Errors) {
	if s.Class == "" || s.Method == "" || s.Path == "" {
		errs.Add(path, nil, "class, method and path are required")
	}
	if s.Rate <= 0 || s.Rate > MaxRate {
		errs.Add(path+".rate", s.Rate, fmt.Sprintf("use more than 0 and at most %d", MaxRate))
	}
	if nodes == 0 && len(s.InternalAddresses) == 0 {
		errs.Add("nodes", nil, "list the caller addresses of the nodes")
	}
	if s.Resends > 0 && !s.SendKey && !s.Idempotent {
		errs.Add(path+".resends", s.Resends, "only an idempotent request or one with a key may be sent again")
	}
	if s.Timeout == 0 {
		s.Timeout = strictjson.Duration(DefaultTimeout)
	}
}
