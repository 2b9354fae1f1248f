package class

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"

	"bramleymill/customer"
	"bramleymill/fleet"
	"bramleymill/strictjson"
)

// Document is the class document as operators write it.
type Document struct {
	Classes []Class `json:"classes"`
	// MeasuringBytesPerSecond limits the network traffic of probes for each backend
	// server.
	MeasuringBytesPerSecond int64 `json:"measuring_bytes_per_second,omitempty"`
	// Customers are those whose callers identify themselves by a key. If there are any,
	// requests on classes that are not anonymous need a key of one of them.
	Customers []customer.Customer `json:"customers,omitempty"`
}

// Class is one class of work: the requests that match it and how they are served.
type Class struct {
	Name            string              `cbor:"1,keyasint,omitempty" json:"name"`
	Service         string              `cbor:"2,keyasint,omitempty" json:"service"`
	Match           Match               `cbor:"3,keyasint,omitempty" json:"match"`
	Idempotent      bool                `cbor:"4,keyasint,omitempty" json:"idempotent"`
	InternalOnly    bool                `cbor:"5,keyasint,omitempty" json:"internal_only,omitempty"`
	LatencyTarget   strictjson.Duration `cbor:"6,keyasint,omitempty" json:"latency_target"` // to be met by 99 % of the requests
	Deadline        strictjson.Duration `cbor:"7,keyasint,omitempty" json:"deadline"`
	Urgency         string              `cbor:"8,keyasint,omitempty" json:"urgency"`
	ProbesPerSecond float64             `cbor:"9,keyasint,omitempty" json:"probes_per_second,omitempty"` // probe budget for each backend server
	MaxBody         strictjson.Bytes    `cbor:"10,keyasint,omitempty" json:"max_body,omitempty"`         // bodies up to this size are buffered for a retry or an idempotency claim
	Key             string              `cbor:"11,keyasint,omitempty" json:"key,omitempty"`              // in a class that is not idempotent: KeyRequired or KeyOptional (also if empty)
	WhenUnconfirmed string              `cbor:"12,keyasint,omitempty" json:"when_unconfirmed,omitempty"` // while the configuration is not confirmed: Refuse (also if empty) or Serve requests

	Anonymous bool `cbor:"15,keyasint,omitempty" json:"anonymous,omitempty"` // requests need no key of a customer

	// Shares and MaxAttempts are only allowed in classes that are configured as items.
	Shares      []Share `cbor:"13,keyasint,omitempty" json:"shares,omitempty"`   // replaces Service
	MaxAttempts int     `cbor:"14,keyasint,omitempty" json:"attempts,omitempty"` // maximum number of backend servers that one request may be sent to
}

// Match states which requests belong to a class. If several classes match a request,
// the one with the longest path prefix wins.
type Match struct {
	Hosts      []string `cbor:"1,keyasint,omitempty" json:"hosts,omitempty"` // only in classes that are configured as items
	Methods    []string `cbor:"2,keyasint,omitempty" json:"methods"`
	PathPrefix string   `cbor:"3,keyasint,omitempty" json:"path_prefix"`
}

// Limits and defaults of a class document.
const (
	MaxClasses     = 2000
	MaxDeadline    = 10 * time.Minute
	DefaultMaxBody = 1 << 20
	LargestMaxBody = 16 << 20
	KeyRequired    = "required" // requests without an idempotency key are rejected
	KeyOptional    = "optional" // requests may have an idempotency key
	Refuse         = "refuse"   // requests are refused while the configuration is not confirmed
	Serve          = "serve"    // requests are served while the configuration is not confirmed
)

var urgencies = map[string]fleet.Urgency{
	"low":      fleet.UrgencyLow,
	"normal":   fleet.UrgencyNormal,
	"high":     fleet.UrgencyHigh,
	"critical": fleet.UrgencyCritical,
}

// ParseUrgency returns the urgency with a name, and false if there is none.
func ParseUrgency(name string) (fleet.Urgency, bool) {
	u, ok := urgencies[name]
	return u, ok
}

// UrgencyName returns the name of an urgency, or an empty string if it has none.
func UrgencyName(u fleet.Urgency) string {
	for name, v := range urgencies {
		if v == u && name != "" {
			return name
		}
	}
	return ""
}

// forbiddenField matches names of fields with which operators would choose servers. Servers
// are chosen by the fleet.
var forbiddenField = regexp.MustCompile(`(?i)(weight|address|host|port|endpoint|backend|server|upstream)`)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

var methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)

// Parse decodes and validates a class document.
func Parse(data []byte) (*Document, error) {
	var d Document
	if err := strictjson.Decode(data, &d); err != nil {
		return nil, explain(err)
	}
	if err := d.validate(); err != nil {
		return nil, err
	}
	return &d, nil
}

// explain replaces the remedies of fields that operators may expect but that are not accepted.
func explain(err error) error {
	var errs strictjson.Errors
	if !errors.As(err, &errs) {
		return err
	}
	for _, e := range errs {
		withoutKeys(e)
		if strings.HasPrefix(e.Remedy, "unknown field") && forbiddenField.MatchString(lastPart(e.Field)) {
			e.Remedy = "classes state targets only; the fleet chooses servers, so weights and addresses are not accepted; remove the field"
		}
	}
	return errs
}

func lastPart(field string) string {
	return field[strings.LastIndexByte(field, '.')+1:]
}

func (d *Document) validate() error {
	var errs strictjson.Errors
	if len(d.Classes) > MaxClasses {
		errs.Add("classes", len(d.Classes), fmt.Sprintf("state at most %d classes", MaxClasses))
		return errs
	}
	if d.MeasuringBytesPerSecond < 0 {
		errs.Add("measuring_bytes_per_second", d.MeasuringBytesPerSecond, "write zero or more")
	}
	d.validateCustomers(&errs)
	names := map[string]int{}
	routes := map[string]string{}
	for i := range d.Classes {
		c := &d.Classes[i]
		field := fmt.Sprintf("classes[%d]", i)
		c.validate(field, &errs)
		if j, ok := names[c.Name]; ok {
			errs.Add(field+".name", c.Name, fmt.Sprintf("classes[%d] has the same name; choose another", j))
		}
		names[c.Name] = i
		for _, m := range c.Match.Methods {
			route := m + " " + NormalizePath(c.Match.PathPrefix)
			if other, ok := routes[route]; ok {
				errs.Add(field+".match", route, "class "+other+" already takes these requests")
			}
			routes[route] = c.Name
		}
	}
	return errs.Err()
}

func (c *Class) validate(field string, errs *strictjson.Errors) {
	if !namePattern.MatchString(c.Name) {
		errs.Add(field+".name", c.Name, "use 1 to 63 lower-case letters, digits and hyphens, starting with a letter")
	}
	if !namePattern.MatchString(c.Service) {
		errs.Add(field+".service", c.Service, "name the service in lower-case letters, digits and hyphens")
	}
	c.validateMatch(field, errs)
	c.validateTimes(field, errs)
	if _, ok := urgencies[c.Urgency]; !ok {
		errs.Add(field+".urgency", c.Urgency, "use low, normal, high or critical")
	}
	if c.Urgency == "critical" && !c.InternalOnly {
		errs.Add(field+".urgency", c.Urgency, "critical is for classes with internal_only true, because it may use the reserved slots")
	}
	if len(c.Shares) > 0 || c.MaxAttempts != 0 || len(c.Match.Hosts) > 0 {
		errs.Add(field, c.Name, "shares, attempts and hosts are for classes that are configured as items; remove them")
	}
	if c.ProbesPerSecond < 0 || c.ProbesPerSecond > 100 {
		errs.Add(field+".probes_per_second", c.ProbesPerSecond, "write a number from 0 to 100")
	}
	if c.MaxBody < 0 || c.MaxBody > LargestMaxBody {
		errs.Add(field+".max_body", c.MaxBody, `use a size up to "16MiB"`)
	}
	switch c.Key {
	case "", KeyOptional, KeyRequired:
	default:
		errs.Add(field+".key", c.Key, "use required or optional")
	}
	if c.Key != "" && c.Idempotent {
		errs.Add(field+".key", c.Key, "an idempotent class takes no idempotency key; remove the field")
	}
	switch c.WhenUnconfirmed {
	case "", Refuse:
	case Serve:
		if !c.Idempotent || c.InternalOnly {
			errs.Add(field+".when_unconfirmed", c.WhenUnconfirmed, "only an idempotent class that is not internal_only may be served under an unconfirmed configuration")
		}
	default:
		errs.Add(field+".when_unconfirmed", c.WhenUnconfirmed, "use refuse or serve")
	}
}

func (c *Class) validateMatch(field string, errs *strictjson.Errors) {
	if len(c.Match.Methods) == 0 {
		errs.Add(field+".match.methods", nil, `list at least one method, such as ["GET","HEAD"]`)
	}
	for _, m := range c.Match.Methods {
		if !methodPattern.MatchString(m) || m == "CONNECT" {
			errs.Add(field+".match.methods", m, "use HTTP methods in capitals; CONNECT is not served")
		}
	}
	if !strings.HasPrefix(c.Match.PathPrefix, "/") {
		errs.Add(field+".match.path_prefix", c.Match.PathPrefix, "start the prefix with /")
	}
}

func (c *Class) validateTimes(field string, errs *strictjson.Errors) {
	deadline, target := c.Deadline.Std(), c.LatencyTarget.Std()
	if deadline <= 0 || deadline > MaxDeadline {
		errs.Add(field+".deadline", c.Deadline, `use more than 0 and at most "10m"`)
	}
	if target <= 0 || target > deadline {
		errs.Add(field+".latency_target", c.LatencyTarget, "use more than 0 and at most the deadline")
	}
}

// Encode returns the canonical JSON form of d, which ends with a newline.
func (d *Document) Encode() ([]byte, error) {
	b, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode class document: %w", err)
	}
	return append(b, '\n'), nil
}
