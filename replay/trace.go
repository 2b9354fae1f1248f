package replay

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"time"

	"bramleymill/fleet"
	"bramleymill/strictjson"
)

// Kind is the kind of a line of a trace. It determines which fields of Line the line uses.
type Kind string

// The kinds of lines with the fields that they use. A disturbance begins at At and, where its
// kind uses Duration, lasts for that time. The rate of KindLoad holds until the next load line
// of the class. KindSwing and KindStraggler multiply the service time by Factor. With KindCold
// the node joins at At, and the factor that multiplies its service time falls from Factor to 1
// over Duration. With KindFail the share Factor of the requests fails immediately.
const (
	KindDeployment Kind = "deployment" // Name, Seed, Entries, Duration, ZoneDelay, ProbesPerSecond, BytesPerSecond
	KindServer     Kind = "server"     // Node, Service, Zone, Slots, Connections
	KindClass      Kind = "class"      // Name, Service, Urgency, Idempotent, Internal, Deadline, ServiceTime, Spread
	KindLoad       Kind = "load"       // At, Name (of a class), PerSecond
	KindSwing      Kind = "swing"      // At, Duration, Node, Factor
	KindStraggler  Kind = "straggler"  // At, Duration, Node, Factor
	KindDrain      Kind = "drain"      // At, Node
	KindCold       Kind = "cold"       // At, Duration, Node, Factor
	KindFail       Kind = "fail"       // At, Duration, Node, Factor
	KindLate       Kind = "late"       // At, Duration, Delay; load reports arrive later by Delay
)

// Line is one line of a trace, a JSON object. Fields that its kind does not use are empty.
type Line struct {
	Kind            Kind                `json:"kind"`
	Name            string              `json:"name,omitempty"`
	Seed            uint64              `json:"seed,omitempty"`
	Entries         int                 `json:"entries,omitempty"` // number of entry nodes
	At              strictjson.Duration `json:"at,omitempty"`
	Duration        strictjson.Duration `json:"for,omitempty"`
	ZoneDelay       strictjson.Duration `json:"zone_delay,omitempty"`        // added to the one-way delay between availability zones
	ProbesPerSecond float64             `json:"probes_per_second,omitempty"` // budget of each server for probes
	BytesPerSecond  int64               `json:"bytes_per_second,omitempty"`  // budget of each server for probes and load queries
	Node            fleet.NodeID        `json:"node,omitempty"`
	Service         string              `json:"service,omitempty"`
	Zone            string              `json:"zone,omitempty"`
	Slots           int                 `json:"slots,omitempty"`
	Connections     int                 `json:"connections,omitempty"`
	Urgency         fleet.Urgency       `json:"urgency,omitempty"`
	Idempotent      bool                `json:"idempotent,omitempty"`
	Internal        bool                `json:"internal,omitempty"`
	Deadline        strictjson.Duration `json:"deadline,omitempty"`
	ServiceTime     strictjson.Duration `json:"service_time,omitempty"` // mean
	Spread          float64             `json:"spread,omitempty"`       // standard deviation of the logarithm of the service time
	PerSecond       float64             `json:"per_second,omitempty"`
	Factor          float64             `json:"factor,omitempty"`
	Delay           strictjson.Duration `json:"delay,omitempty"`
}

// active reports whether a disturbance is in effect at a time of the trace.
func (l *Line) active(t time.Duration) bool {
	return t >= l.At.Std() && t < l.At.Std()+l.Duration.Std()
}

// Trace is a parsed trace with its lines grouped by kind.
type Trace struct {
	Deployment   Line
	Servers      []Line
	Classes      []Line
	Loads        []Line
	Disturbances []Line
}

// Limits of a trace. They keep a mistyped number in a file from exhausting memory.
const (
	maxEntries  = 1000
	maxRequests = 2_000_000
	maxDuration = 10 * time.Minute
)

// Load parses the trace file at path.
func Load(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open trace: %w", err)
	}
	defer f.Close()
	t, err := Parse(f)
	if err != nil {
		return nil, fmt.Errorf("parse trace %s: %w", path, err)
	}
	return t, nil
}

// Parse reads a trace with one JSON object per line. It checks that load lines refer to a
// class of an earlier line, that disturbances except KindLate refer to a server of an earlier
// line, and that the numbers are within limits.
func Parse(r io.Reader) (*Trace, error) {
	t := &Trace{}
	s := bufio.NewScanner(r)
	for n := 1; s.Scan(); n++ {
		var l Line
		if err := strictjson.Decode(s.Bytes(), &l); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if err := t.add(l); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	return t, t.validate()
}

func (t *Trace) add(l Line) error {
	switch l.Kind {
	case KindDeployment:
		t.Deployment = l
	case KindServer:
		t.Servers = append(t.Servers, l)
	case KindClass:
		t.Classes = append(t.Classes, l)
	case KindLoad:
		if t.classIndex(l.Name) < 0 {
			return fmt.Errorf("load line refers to unknown class %q", l.Name)
		}
		t.Loads = append(t.Loads, l)
	case KindLate:
		t.Disturbances = append(t.Disturbances, l)
	case KindSwing, KindStraggler, KindDrain, KindCold, KindFail:
		if t.serverIndex(l.Node) < 0 {
			return fmt.Errorf("%s line refers to unknown server %q", l.Kind, l.Node)
		}
		t.Disturbances = append(t.Disturbances, l)
	default:
		return fmt.Errorf("unknown kind of line %q", l.Kind)
	}
	return nil
}

func (t *Trace) validate() error {
	d := t.Deployment
	if d.Entries < 1 || d.Entries > maxEntries || d.Duration <= 0 || d.Duration.Std() > maxDuration {
		return fmt.Errorf("deployment: entries must be from 1 to %d, and for must be positive and at most %v", maxEntries, maxDuration)
	}
	expected := 0.0
	for _, l := range t.Loads {
		expected += l.PerSecond * d.Duration.Std().Seconds()
	}
	if expected > maxRequests {
		return fmt.Errorf("trace has about %.0f requests, more than the limit of %d", expected, maxRequests)
	}
	for _, c := range t.Classes {
		if c.ServiceTime <= 0 || c.Deadline <= 0 || c.Spread < 0 {
			return fmt.Errorf("class %s: service_time and deadline must be positive and spread must not be negative", c.Name)
		}
	}
	return nil
}

// classIndex returns the index of a class, or -1.
func (t *Trace) classIndex(name string) int {
	for i := range t.Classes {
		if t.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// serverIndex returns the index of a server, or -1.
func (t *Trace) serverIndex(node fleet.NodeID) int {
	for i := range t.Servers {
		if t.Servers[i].Node == node {
			return i
		}
	}
	return -1
}
