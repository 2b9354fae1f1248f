package settings

import (
	"time"

	"bramleymill/strictjson"
)

// Limits bounds what clients can make the process hold. Zero fields have defaults that no
// ordinary client reaches.
type Limits struct {
	Memory             strictjson.Bytes    `json:"memory,omitempty"`              // memory of the machine for the process; default: all of its memory
	RequestMemory      strictjson.Bytes    `json:"request_memory,omitempty"`      // part of Memory that clients may fill; default: a quarter
	SocketMemory       strictjson.Bytes    `json:"socket_memory,omitempty"`       // part of Memory that the kernel may hold for connections; default: a quarter
	Descriptors        int                 `json:"descriptors,omitempty"`         // open descriptors of the process; default: the limit of the operating system
	CallerConnections  int                 `json:"caller_connections,omitempty"`  // connections of callers; default: 5/16 of Descriptors, fewer if RequestMemory does not hold them
	AddressConnections int                 `json:"address_connections,omitempty"` // connections of callers from one address; default: half of CallerConnections
	ControlConnections int                 `json:"control_connections,omitempty"` // connections for control messages that other nodes open; default: as many as an eighth of Memory holds
	HeaderLines        int                 `json:"header_lines,omitempty"`        // lines of the head of a request
	FirstByteTimeout   strictjson.Duration `json:"first_byte_timeout,omitempty"`  // time until the first byte of a new connection; default: the idle time that the configuration states
	BodyTimeout        strictjson.Duration `json:"body_timeout,omitempty"`        // time without a byte of a body that is being read
	AnswerTimeout      strictjson.Duration `json:"answer_timeout,omitempty"`      // time without a byte of an answer that is being sent
}

// Defaults of the limits. A head of 16 KiB has at most 5,461 lines, and a client that sends or
// reads a byte in 15 s is an ordinary client.
const (
	DefaultHeaderLines   = 6000
	DefaultBodyTimeout   = 30 * time.Second
	DefaultAnswerTimeout = 30 * time.Second
)

// Smallest values that leave room for the process itself.
const (
	minMemory      = 32 << 20
	minDescriptors = 64
)

func (l *Limits) validate(errs *strictjson.Errors) {
	if l.Memory != 0 && l.Memory < minMemory {
		errs.Add("limits.memory", int64(l.Memory), `use at least "32MiB"`)
	}
	if l.RequestMemory < 0 || l.Memory != 0 && l.RequestMemory > l.Memory {
		errs.Add("limits.request_memory", int64(l.RequestMemory), "use at most limits.memory")
	}
	if l.SocketMemory < 0 || l.Memory != 0 && l.SocketMemory > l.Memory {
		errs.Add("limits.socket_memory", int64(l.SocketMemory), "use at most limits.memory")
	}
	if l.Descriptors != 0 && l.Descriptors < minDescriptors {
		errs.Add("limits.descriptors", l.Descriptors, "use at least 64")
	}
	if l.CallerConnections < 0 || l.Descriptors != 0 && l.CallerConnections > l.Descriptors {
		errs.Add("limits.caller_connections", l.CallerConnections, "use at most limits.descriptors")
	}
	if l.AddressConnections < 0 {
		errs.Add("limits.address_connections", l.AddressConnections, "use zero or more")
	}
	if l.ControlConnections < 0 {
		errs.Add("limits.control_connections", l.ControlConnections, "use zero or more")
	}
	if l.HeaderLines < 0 {
		errs.Add("limits.header_lines", l.HeaderLines, "use zero or more")
	}
	if l.FirstByteTimeout < 0 || l.BodyTimeout < 0 || l.AnswerTimeout < 0 {
		errs.Add("limits", nil, "times must not be negative")
	}
}

func (l *Limits) setDefaults() {
	if l.HeaderLines == 0 {
		l.HeaderLines = DefaultHeaderLines
	}
	if l.BodyTimeout == 0 {
		l.BodyTimeout = strictjson.Duration(DefaultBodyTimeout)
	}
	if l.AnswerTimeout == 0 {
		l.AnswerTimeout = strictjson.Duration(DefaultAnswerTimeout)
	}
}
