package explain

import (
	"time"

	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/transport"
)

// KindPlan is the kind of PlanRequest.
const KindPlan = transport.FirstExplainKind + 3

// PlanRequest asks an entry node where a request would go.
type PlanRequest struct {
	Entry    fleet.NodeID `cbor:"1,keyasint,omitempty"` // empty: the node that receives the message
	Method   string       `cbor:"2,keyasint"`
	Host     string       `cbor:"3,keyasint"`
	Path     string       `cbor:"4,keyasint"`           // with the query, if there is one
	Customer string       `cbor:"5,keyasint,omitempty"` // name of the customer; empty: the request has no key
}

// MaxPlanCandidates is the maximum number of candidates of a Plan.
const MaxPlanCandidates = 64

// Plan states where a request would go now, and why. Nothing was sent for it.
type Plan struct {
	Entry         fleet.NodeID  `cbor:"1,keyasint" json:"entry"`
	Zone          string        `cbor:"2,keyasint,omitempty" json:"zone,omitempty"` // of the entry node
	ConfigVersion uint64        `cbor:"3,keyasint" json:"config_version"`
	ConfirmedAgo  time.Duration `cbor:"4,keyasint" json:"confirmed_ago_ns"`
	Class         string        `cbor:"5,keyasint" json:"class"`
	Service       string        `cbor:"6,keyasint" json:"service"`
	Urgency       string        `cbor:"7,keyasint" json:"urgency"`
	Customer      string        `cbor:"8,keyasint,omitempty" json:"customer,omitempty"`
	Quota         *PlanQuota    `cbor:"9,keyasint,omitempty" json:"quota,omitempty"` // nil: the request needs no permit

	// Refusals are the refusals that the entry node would give now, the first one first.
	// The rest of the plan states what would happen without them.
	Refusals []PlanRefusal `cbor:"10,keyasint,omitempty" json:"refusals,omitempty"`

	Bytes   float64      `cbor:"11,keyasint" json:"mean_bytes"` // of requests and answers of the class at the entry node
	Targets []PlanTarget `cbor:"12,keyasint" json:"targets"`    // the most likely first
	// Candidates are the announced servers: those that may be selected before the others, the
	// cheaper ones first.
	Candidates []PlanCandidate `cbor:"13,keyasint" json:"candidates"`
	Omitted    int             `cbor:"14,keyasint,omitempty" json:"omitted_candidates,omitempty"` // beyond MaxPlanCandidates
	Assumed    []string        `cbor:"15,keyasint,omitempty" json:"assumed,omitempty"`            // about the request
}

// Refuse adds the refusal that err states, unless err is nil.
func (p *Plan) Refuse(err error) {
	if err != nil {
		p.Refusals = append(p.Refusals, PlanRefusal{Kind: errkind.Of(err).Kind, Reason: err.Error()})
	}
}

// PlanQuota is what the entry node knows about the quota of the customer.
type PlanQuota struct {
	Rate    float64       `cbor:"1,keyasint" json:"rate"`
	Burst   float64       `cbor:"2,keyasint" json:"burst"`
	Permits uint32        `cbor:"3,keyasint" json:"permits"`           // in stock at the entry node
	Verdict string        `cbor:"4,keyasint" json:"verdict"`           // granted, ask_control, exceeded or unavailable
	Wait    time.Duration `cbor:"5,keyasint" json:"wait_ns,omitempty"` // if exceeded, until a permit is expected
}

// PlanRefusal is a refusal.
type PlanRefusal struct {
	Kind   errkind.Kind `cbor:"1,keyasint" json:"kind"`
	Reason string       `cbor:"2,keyasint" json:"reason"`
}

// PlanTarget is a server that the first attempt may be sent to.
type PlanTarget struct {
	Node     fleet.NodeID `cbor:"1,keyasint" json:"node"`
	Zone     string       `cbor:"2,keyasint,omitempty" json:"zone,omitempty"`
	Share    float64      `cbor:"3,keyasint" json:"share"`                         // of the selections that were tried
	LeftZone string       `cbor:"4,keyasint,omitempty" json:"left_zone,omitempty"` // why it is in another zone; empty if it is not
}

// PlanCandidate is an announced server.
type PlanCandidate struct {
	Node        fleet.NodeID  `cbor:"1,keyasint" json:"node"`
	Zone        string        `cbor:"2,keyasint,omitempty" json:"zone,omitempty"`
	Cost        time.Duration `cbor:"3,keyasint" json:"cost_ns"` // expected completion time
	Requests    float64       `cbor:"4,keyasint" json:"expected_requests"`
	Slots       int           `cbor:"5,keyasint" json:"slots"`
	Outstanding int           `cbor:"6,keyasint" json:"outstanding"`
	Age         time.Duration `cbor:"7,keyasint" json:"load_age_ns"` // of the newest load report; negative if there is none
	FailureRate float64       `cbor:"8,keyasint" json:"failure_rate"`
	PermitWait  time.Duration `cbor:"9,keyasint" json:"permit_wait_ns,omitempty"`
	LinkBacklog time.Duration `cbor:"10,keyasint" json:"link_backlog_ns,omitempty"`
	Full        bool          `cbor:"11,keyasint" json:"full,omitempty"`
	Excluded    string        `cbor:"12,keyasint,omitempty" json:"excluded,omitempty"` // why it is not selected; empty if it may be
	TrialDue    bool          `cbor:"13,keyasint,omitempty" json:"trial_due,omitempty"`
	Cold        bool          `cbor:"14,keyasint,omitempty" json:"cold,omitempty"`
}
