package operator

import (
	"encoding/json"
	"time"

	"bramleymill/configstate"
	"bramleymill/fleet"
)

// ApplyRequest is the body of a request that replaces the class document.
type ApplyRequest struct {
	ChangeID        string `json:"change_id"`
	ExpectedVersion uint64 `json:"expected"` // version that the change replaces; 0 if there is none yet
	Reason          string `json:"reason,omitempty"`
	Document        string `json:"document"`
	DryRun          bool   `json:"dry_run,omitempty"` // only validate and return the difference
}

// RollbackRequest is the body of a request that reactivates the document of an older
// version.
type RollbackRequest struct {
	ChangeID        string `json:"change_id"`
	ExpectedVersion uint64 `json:"expected"` // version that the change replaces
	Version         uint64 `json:"version"`  // version whose document is reactivated
	Reason          string `json:"reason,omitempty"`
}

// OrderRequest is the body of a request that drains or undrains a node, takes a zone out of use
// or returns it to use. The path names the node or the zone.
type OrderRequest struct {
	ChangeID string `json:"change_id"`
	Reason   string `json:"reason,omitempty"`
}

// ReleaseRequest is the body of a request that allows the requests of a crash suspect
// to run again.
type ReleaseRequest struct {
	ChangeID    string      `json:"change_id"`
	Service     string      `json:"service"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Reason      string      `json:"reason,omitempty"`
}

// ChangeResult is the answer to an accepted change or a successful dry run.
type ChangeResult struct {
	ChangeID      string `json:"change_id"`
	Version       uint64 `json:"version"`
	OrdersVersion uint64 `json:"orders_version"`     // version of the operator orders
	Sequence      uint64 `json:"sequence,omitempty"` // number of the entry in the audit trail
	Repeated      bool   `json:"repeated,omitempty"` // an earlier request made this change
	Message       string `json:"message,omitempty"`
	DryRun        bool   `json:"dry_run,omitempty"`
	Diff          string `json:"diff,omitempty"` // only set for a dry run
}

// Configuration is one version of the class document.
type Configuration struct {
	Version  uint64    `json:"version"`
	Time     time.Time `json:"time"`
	Operator string    `json:"operator,omitempty"`
	ChangeID string    `json:"change_id,omitempty"`
	Document string    `json:"document"`
}

// DiffResult is the difference between two versions of the class document.
type DiffResult struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	Diff string `json:"diff"` // unified diff; empty if the documents are equal
}

// NodeStatus is the state of one node in the fleet view.
type NodeStatus struct {
	Node           fleet.NodeID `json:"node"`
	Region         string       `json:"region,omitempty"`
	Zone           string       `json:"zone,omitempty"`
	Service        string       `json:"service,omitempty"`
	State          string       `json:"state"`
	Control        bool         `json:"control,omitempty"` // the node has the control role
	Live           bool         `json:"live"`              // its lease has not expired and it has not left
	ConfigVersion  uint64       `json:"config_version"`
	OrdersVersion  uint64       `json:"orders_version"`
	LeaseAgeMs     int64        `json:"lease_age_ms"`      // time since the last contact with the node
	ControlProblem string       `json:"problem,omitempty"` // fault of its control role
}

// ZoneStatus is a zone that is out of use.
type ZoneStatus struct {
	configstate.ZoneOrder
	Nodes int `json:"nodes"` // live nodes with a backend server in the zone
}

// Status is the state of the fleet as seen by one node.
type Status struct {
	Node          fleet.NodeID             `json:"node"` // the node that answers
	Version       uint64                   `json:"version"`
	OrdersVersion uint64                   `json:"orders_version"`
	Confirmed     bool                     `json:"confirmed"`         // a majority confirmed the versions during this request
	Message       string                   `json:"message,omitempty"` // why the versions are not confirmed
	Nodes         []NodeStatus             `json:"nodes"`
	Drains        []configstate.DrainOrder `json:"drains"`
	Zones         []ZoneStatus             `json:"zones,omitempty"`     // zones that are out of use
	Unserved      []string                 `json:"unserved,omitempty"`  // services whose live nodes are all in zones out of use; their requests get 503
	Customers     int                      `json:"customers,omitempty"` // number of customers; if there are any, requests need a key
}

// WaitResult reports how many live nodes have applied a version of the configuration and
// of the operator orders, and which have not.
type WaitResult struct {
	Version       uint64         `json:"version"`
	OrdersVersion uint64         `json:"orders_version"`
	Applied       int            `json:"applied"` // number of live nodes that have applied both versions
	Lagging       []fleet.NodeID `json:"lagging"` // live nodes that have not applied both versions
}

// Suspect is a request fingerprint suspected of crashing backend servers.
type Suspect struct {
	Service     string      `json:"service"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Class       string      `json:"class,omitempty"`
	Path        string      `json:"path,omitempty"`
	Crashes     int         `json:"crashes"`
	Refused     bool        `json:"refused"` // requests with this fingerprint are refused
}

// Fingerprint identifies similar requests. Its text form is hexadecimal, because
// many JSON parsers lose the precision of numbers above 2^53.
type Fingerprint uint64

// Conflict describes the configuration in force when a change was refused because
// it expected another version.
type Conflict struct {
	Version  uint64 `json:"version"`
	Document string `json:"document,omitempty"`
	Diff     string `json:"diff,omitempty"` // from the expected version to Document; empty if that version is no longer kept
}

// ErrorBody is the JSON form of an Error.
type ErrorBody struct {
	Kind     string    `json:"kind"`
	Outcome  string    `json:"outcome"`
	Message  string    `json:"message"`
	Remedy   string    `json:"remedy"`
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Explanation is the JSON record of one request.
type Explanation = json.RawMessage
