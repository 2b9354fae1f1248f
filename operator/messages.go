package operator

import (
	"encoding/json"
	"time"

	"bramleymill/configstate"
	"bramleymill/fleet"
)

// ApplyRequest replaces the class document.
type ApplyRequest struct {
	ChangeID string `json:"change_id"`
	Expected uint64 `json:"expected"` // version that the change replaces; 0 before the first
	Reason   string `json:"reason,omitempty"`
	Document string `json:"document"`
	DryRun   bool   `json:"dry_run,omitempty"` // validate and compare only
}

// RollbackRequest puts the document of an older version in force again.
type RollbackRequest struct {
	ChangeID string `json:"change_id"`
	Expected uint64 `json:"expected"`
	Version  uint64 `json:"version"`
	Reason   string `json:"reason,omitempty"`
}

// OrderRequest accompanies a drain or undrain.
type OrderRequest struct {
	ChangeID string `json:"change_id"`
	Reason   string `json:"reason,omitempty"`
}

// ReleaseRequest allows a crash suspect to run again.
type ReleaseRequest struct {
	ChangeID    string      `json:"change_id"`
	Service     string      `json:"service"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Reason      string      `json:"reason,omitempty"`
}

// ChangeResult is the answer to an accepted change or a dry run.
type ChangeResult struct {
	ChangeID      string `json:"change_id"`
	Version       uint64 `json:"version"`
	OrdersVersion uint64 `json:"orders_version"`
	Sequence      uint64 `json:"sequence,omitempty"` // of the audit entry
	Repeated      bool   `json:"repeated,omitempty"` // the change was made by an earlier request
	Message       string `json:"message,omitempty"`
	DryRun        bool   `json:"dry_run,omitempty"`
	Diff          string `json:"diff,omitempty"` // of a dry run
}

// Configuration is one version of the class document.
type Configuration struct {
	Version  uint64    `json:"version"`
	Time     time.Time `json:"time"`
	Operator string    `json:"operator,omitempty"`
	ChangeID string    `json:"change_id,omitempty"`
	Document string    `json:"document"`
}

// DiffResult is the difference between two versions.
type DiffResult struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	Diff string `json:"diff"` // unified; empty when the documents are equal
}

// NodeStatus is what the fleet view knows about one node.
type NodeStatus struct {
	Node          fleet.NodeID `json:"node"`
	Region        string       `json:"region,omitempty"`
	Zone          string       `json:"zone,omitempty"`
	Service       string       `json:"service,omitempty"`
	State         string       `json:"state"`
	Control       bool         `json:"control,omitempty"`
	Live          bool         `json:"live"` // its lease has not expired
	ConfigVersion uint64       `json:"config_version"`
	OrdersVersion uint64       `json:"orders_version"`
	LeaseAgeMs    int64        `json:"lease_age_ms"`
	Problem       string       `json:"problem,omitempty"` // of the control role
}

// Status is the state of the fleet as seen by one node.
type Status struct {
	Node          fleet.NodeID             `json:"node"` // that answers
	Version       uint64                   `json:"version"`
	OrdersVersion uint64                   `json:"orders_version"`
	Confirmed     bool                     `json:"confirmed"` // by a majority, just now
	Message       string                   `json:"message,omitempty"`
	Nodes         []NodeStatus             `json:"nodes"`
	Drains        []configstate.DrainOrder `json:"drains"`
}

// WaitResult tells which live nodes have not applied a version.
type WaitResult struct {
	Version       uint64         `json:"version"`
	OrdersVersion uint64         `json:"orders_version"`
	Applied       int            `json:"applied"` // number of live nodes that have it
	Lagging       []fleet.NodeID `json:"lagging"`
}

// Suspect is a request fingerprint suspected of crashing backend servers.
type Suspect struct {
	Service     string      `json:"service"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Class       string      `json:"class,omitempty"`
	Path        string      `json:"path,omitempty"`
	Crashes     int         `json:"crashes"`
	Refused     bool        `json:"refused"`
}

// Fingerprint is written in hexadecimal, because JSON numbers lose precision
// above 2^53 in common readers.
type Fingerprint uint64

// Conflict describes the state that a change lost against.
type Conflict struct {
	Version  uint64 `json:"version"`
	Document string `json:"document,omitempty"`
	Diff     string `json:"diff,omitempty"` // from the expected version to Version
}

// ErrorBody is the JSON form of an error.
type ErrorBody struct {
	Kind     string    `json:"kind"`
	Outcome  string    `json:"outcome"`
	Message  string    `json:"message"`
	Remedy   string    `json:"remedy"`
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Explanation is the record of one request as JSON.
type Explanation = json.RawMessage
