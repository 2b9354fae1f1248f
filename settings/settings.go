package settings

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"

	"bramleymill/shutdown"
	"bramleymill/strictjson"
)

// Settings are the static settings of one node.
type Settings struct {
	Node              string              `json:"node"`
	Region            string              `json:"region"`
	Zone              string              `json:"zone"`
	CallerAddress     string              `json:"caller_address"`               // HTTP for callers
	ServiceAddress    string              `json:"service_address,omitempty"`    // HTTP for calls by the backend server of this node
	PeerAddress       string              `json:"peer_address"`                 // TCP and UDP for other nodes
	AdvertisedAddress string              `json:"advertised_address,omitempty"` // address at which other nodes reach the node; default: PeerAddress
	AdminAddress      string              `json:"admin_address"`                // operator interface and metrics
	MetricsAddress    string              `json:"metrics_address,omitempty"`    // plain HTTP, metrics only
	Backend           *Backend            `json:"backend,omitempty"`
	Control           *Control            `json:"control,omitempty"`
	Seeds             []string            `json:"seeds"` // peer addresses of control instances
	Keys              Keys                `json:"keys"`
	DrainTimeout      strictjson.Duration `json:"drain_timeout,omitempty"`
	// StopDelay is the time for which a stopping node still accepts requests from
	// callers after it has reported that it is not ready.
	StopDelay strictjson.Duration `json:"stop_delay,omitempty"`
	// StopTimeout is the time from the signal to stop after which the process has ended.
	// It includes StopDelay and DrainTimeout. Zero means that shutdown.DefaultCloseTime
	// follows them.
	StopTimeout strictjson.Duration `json:"stop_timeout,omitempty"`
	RecordFile  string              `json:"record_file,omitempty"` // file for the decision record, which package replay reads; empty: none
	// TrustedNetwork makes nodes communicate without key files and without verifying
	// each other, so a process that can reach the network can act as any node. Keys and
	// admin_address are then optional.
	TrustedNetwork bool `json:"trusted_network,omitempty"`
	// LinkMbps is the bandwidth of the link to the other nodes in Mbit/s. Large answers to other
	// nodes are then sent one after the other. Zero: not known.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// ZoneWaitPerMegabyte is the waiting time that a request accepts in its zone for each
	// megabyte that does not cross zones. Zero: pick.DefaultWaitPerMegabyte.
	ZoneWaitPerMegabyte strictjson.Duration `json:"zone_wait_per_megabyte,omitempty"`
	LogLevel            string              `json:"log_level,omitempty"` // least severe level that is logged: debug, info, warn or error
	Limits              Limits              `json:"limits,omitzero"`
}

// Backend describes the backend server of the node.
type Backend struct {
	Service      string              `json:"service"`
	Address      string              `json:"address"`
	Slots        int                 `json:"slots"`                  // requests that the backend server runs at the same time
	Connections  int                 `json:"connections"`            // connections that the backend server accepts
	QueueLength  int                 `json:"queue_length,omitempty"` // requests that may wait at the node for a slot
	HealthPath   string              `json:"health_path,omitempty"`
	LoadPath     string              `json:"load_path,omitempty"`
	CheckEvery   strictjson.Duration `json:"check_every,omitempty"`        // interval at which the node tests whether a health check is due
	ServiceToken string              `json:"service_token_file,omitempty"` // file with the token that marks calls of the backend server as internal
	// Announces states that the backend server announces its instance, state and
	// slots to the node. Slots then applies only until the first announcement.
	Announces bool `json:"announces,omitempty"`
	// UtilizationLimit is the largest share of the slots that the node uses, from 0 to 1.
	// It is meant for backend servers that become slow when nearly all slots are in use.
	// Zero means that all slots are used. The JSON name is "fill".
	UtilizationLimit float64 `json:"fill,omitempty"`
}

// Control contains the settings of a control instance. Only nodes with these settings
// have the control role.
type Control struct {
	DataFolder       string              `json:"data_folder"`
	MaxChildren      int                 `json:"max_children,omitempty"`      // largest number of children of the control instance in the membership tree
	MaxClaims        int                 `json:"max_claims,omitempty"`        // largest number of stored idempotency claims
	MaxClaimBytes    strictjson.Bytes    `json:"max_claim_bytes,omitempty"`   // largest total size of the stored idempotency claims
	ClaimRetention   strictjson.Duration `json:"claim_retention,omitempty"`   // time for which a claim is stored after its end
	SnapshotInterval int                 `json:"snapshot_interval,omitempty"` // log entries between snapshots

	// Voters is the number of voting control instances that the replicated logs need
	// before they accept a change. If it is zero, an operator starts the logs.
	Voters int `json:"voters,omitempty"`
	// Bootstrap creates the replicated logs when the fleet starts for the first time.
	// The control instances at the addresses of the seeds create them together.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// ReplaceAfter is the time without contact after which the vote of a control
	// instance passes to another control instance that waits for a vote. If it is zero,
	// an operator replaces the control instance.
	ReplaceAfter strictjson.Duration `json:"replace_after,omitempty"`
}

// Keys contains the paths of the key files of the node.
type Keys struct {
	Authority   string `json:"authority"`
	Certificate string `json:"certificate"`
	PrivateKey  string `json:"private_key"`
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Load reads and validates the settings file at path.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("settings %s:\n%w", path, err)
	}
	return s, nil
}

// Parse decodes settings from JSON, validates them and sets the defaults of optional
// settings.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	if err := strictjson.Decode(data, &s); err != nil {
		return nil, err
	}
	return &s, s.Complete()
}

// StopLimits returns the times that a graceful stop may take.
func (s *Settings) StopLimits() shutdown.Limits {
	drain := s.DrainTimeout
	if drain == 0 {
		drain = strictjson.Duration(DefaultDrainTimeout)
	}
	return shutdown.Limits{Accept: s.StopDelay.Std(), Drain: drain.Std(), Total: s.StopTimeout.Std()}
}

// Complete validates s and sets the defaults of optional settings.
func (s *Settings) Complete() error {
	if err := s.validate(); err != nil {
		return err
	}
	s.setDefaults()
	return nil
}

func (s *Settings) validate() error {
	var errs strictjson.Errors
	checkName(&errs, "node", s.Node)
	checkName(&errs, "region", s.Region)
	checkName(&errs, "zone", s.Zone)
	checkAddress(&errs, "caller_address", s.CallerAddress, !s.TrustedNetwork || s.Backend != nil)
	checkAddress(&errs, "peer_address", s.PeerAddress, true)
	checkAddress(&errs, "admin_address", s.AdminAddress, !s.TrustedNetwork)
	checkAddress(&errs, "advertised_address", s.AdvertisedAddress, false)
	checkAddress(&errs, "service_address", s.ServiceAddress, false)
	checkAddress(&errs, "metrics_address", s.MetricsAddress, false)
	s.checkDistinct(&errs)
	if len(s.Seeds) == 0 {
		errs.Add("seeds", nil, "list the peer addresses of the control instances")
	}
	for i, a := range s.Seeds {
		checkAddress(&errs, fmt.Sprintf("seeds[%d]", i), a, true)
	}
	if !s.TrustedNetwork {
		checkFile(&errs, "keys.authority", s.Keys.Authority)
		checkFile(&errs, "keys.certificate", s.Keys.Certificate)
		checkFile(&errs, "keys.private_key", s.Keys.PrivateKey)
	}
	if s.StopDelay < 0 {
		errs.Add("stop_delay", s.StopDelay, `use a positive time such as "2s"`)
	}
	if s.DrainTimeout < 0 {
		errs.Add("drain_timeout", s.DrainTimeout, `use a positive time such as "10s"`)
	}
	if s.StopTimeout < 0 {
		errs.Add("stop_timeout", s.StopTimeout, `use a positive time such as "20s"`)
	} else if err := s.StopLimits().Validate(); err != nil {
		errs.Add("stop_timeout", s.StopTimeout, "use a longer time, or a shorter stop_delay or drain_timeout: "+err.Error())
	}
	if s.ZoneWaitPerMegabyte < 0 {
		errs.Add("zone_wait_per_megabyte", s.ZoneWaitPerMegabyte, `use a positive time such as "1s"`)
	}
	switch s.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		errs.Add("log_level", s.LogLevel, "use debug, info, warn or error")
	}
	s.Backend.validate(&errs)
	s.Control.validate(&errs)
	s.Limits.validate(&errs)
	return errs.Err()
}

func (s *Settings) checkDistinct(errs *strictjson.Errors) {
	seen := map[string]string{}
	for _, f := range []struct{ field, address string }{
		{"caller_address", s.CallerAddress},
		{"service_address", s.ServiceAddress},
		{"peer_address", s.PeerAddress},
		{"admin_address", s.AdminAddress},
		{"metrics_address", s.MetricsAddress},
	} {
		if f.address == "" {
			continue
		}
		if other, ok := seen[f.address]; ok {
			errs.Add(f.field, f.address, other+" uses the same address; choose another port")
		}
		seen[f.address] = f.field
	}
}

func (b *Backend) validate(errs *strictjson.Errors) {
	if b == nil {
		return
	}
	checkName(errs, "backend.service", b.Service)
	checkAddress(errs, "backend.address", b.Address, true)
	if b.Slots < 1 || b.Slots > 10000 {
		errs.Add("backend.slots", b.Slots, "use 1 to 10000")
	}
	if b.Connections < b.Slots || b.Connections > 100000 {
		errs.Add("backend.connections", b.Connections, "use at least the number of slots and at most 100000")
	}
	if b.UtilizationLimit < 0 || b.UtilizationLimit > 1 {
		errs.Add("backend.fill", b.UtilizationLimit, "use a share from 0 to 1")
	}
	if b.QueueLength < 0 {
		errs.Add("backend.queue_length", b.QueueLength, "use zero or more")
	}
	if b.CheckEvery < 0 {
		errs.Add("backend.check_every", b.CheckEvery, `use a positive time such as "1s"`)
	}
}

func (c *Control) validate(errs *strictjson.Errors) {
	if c == nil {
		return
	}
	if c.DataFolder == "" {
		errs.Add("control.data_folder", nil, "state the folder for the replicated logs")
	}
	if c.Voters < 0 || c.ReplaceAfter < 0 {
		errs.Add("control", nil, "voters and replace_after must not be negative")
	}
	if c.MaxChildren < 0 || c.MaxClaims < 0 || c.MaxClaimBytes < 0 || c.ClaimRetention < 0 || c.SnapshotInterval < 0 {
		errs.Add("control", nil, "limits must not be negative")
	}
}

func checkName(errs *strictjson.Errors, field, v string) {
	if !namePattern.MatchString(v) {
		errs.Add(field, v, "use 1 to 63 lower-case letters, digits and hyphens, starting with a letter")
	}
}

func checkFile(errs *strictjson.Errors, field, v string) {
	if v == "" {
		errs.Add(field, nil, "state the path of the file that 'bramleymillctl keys' creates")
	}
}

func checkAddress(errs *strictjson.Errors, field, v string, required bool) {
	if v == "" && !required {
		return
	}
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		errs.Add(field, v, `use an IP address and port, such as "127.0.0.1:7001"`)
		return
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		errs.Add(field, v, "use a port from 1 to 65535")
	}
}
