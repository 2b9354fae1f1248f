package guard

import "bytes"

// Bound names a limit that a client has reached. The names are used in metrics and log lines.
type Bound string

// The bounds.
const (
	HeadBytes          Bound = "head_bytes"          // size of a head
	HeadLines          Bound = "head_lines"          // lines of a head
	EmptyLines         Bound = "empty_lines"         // empty lines before a request
	HeadTime           Bound = "head_time"           // time from the first byte of a head to its end
	IdleTime           Bound = "idle_time"           // time without a request
	BodyTime           Bound = "body_time"           // time without a byte of a body that is being read
	AnswerTime         Bound = "answer_time"         // time for which the end of an answer is not read
	SlotTime           Bound = "slot_time"           // time for which a client lets a request wait while others are refused for lack of slots
	Connections        Bound = "connections"         // connections of a door
	AddressConnections Bound = "address_connections" // connections of a door from one address
	Memory             Bound = "memory"              // memory budget of the process
)

// Bounds lists all bounds.
var Bounds = []Bound{HeadBytes, HeadLines, EmptyLines, HeadTime, IdleTime, BodyTime, AnswerTime, SlotTime, Connections, AddressConnections, Memory}

// HeadLimits are the limits of one head. Zero lines means no limit of lines.
type HeadLimits struct {
	Bytes      int64
	Lines      int
	EmptyLines int
}

// HeadReader follows the bytes of a connection until the head of a request is complete.
// The zero value is at the beginning of a head.
type HeadReader struct {
	bytes    int64
	lines    int
	empty    int  // empty lines before the first other line
	partial  bool // the last line has at least one byte that is not its end
	cr       bool // the last byte is a carriage return that may belong to the end of the line
	complete bool
}

// Begun reports whether a byte was read.
func (h *HeadReader) Begun() bool { return h.bytes > 0 }

// Complete reports whether the head is complete.
func (h *HeadReader) Complete() bool { return h.complete }

// Feed reads further bytes of the connection. It returns the number of bytes up to the end of
// the head, which is len(p) if the head is not complete, and the bound that the head exceeds,
// if any.
func (h *HeadReader) Feed(p []byte, limits HeadLimits) (int, Bound) {
	n := 0
	for n < len(p) && !h.complete {
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			h.partLine(p[n:])
			n = len(p)
			break
		}
		h.partLine(p[n : n+end])
		h.endLine()
		n += end + 1
		if h.tooManyLines(limits) || h.empty > limits.EmptyLines {
			break
		}
	}
	h.bytes += int64(n)
	switch {
	case h.bytes > limits.Bytes:
		return n, HeadBytes
	case h.tooManyLines(limits):
		return n, HeadLines
	case h.empty > limits.EmptyLines:
		return n, EmptyLines
	}
	return n, ""
}

func (h *HeadReader) tooManyLines(limits HeadLimits) bool {
	return limits.Lines > 0 && h.lines > limits.Lines
}

// partLine reads bytes of a line without its line feed.
func (h *HeadReader) partLine(p []byte) {
	if len(p) == 0 {
		return
	}
	last := p[len(p)-1] == '\r'
	h.partial = h.partial || h.cr || len(p) > 1 || !last
	h.cr = last
}

func (h *HeadReader) endLine() {
	switch {
	case h.partial:
		h.lines++
	case h.lines > 0:
		h.complete = true
	default:
		h.empty++
	}
	h.partial, h.cr = false, false
}

// Costs of a head in memory beyond its bytes, which the request that is passed on repeats.
const (
	headByteCost = 2
	headLineCost = 64 // the slice and the string of a value, twice
	headFree     = 12 << 10
)

// Cost returns the memory that the head takes beyond what every request takes.
func (h *HeadReader) Cost() int64 {
	return max(0, h.bytes*headByteCost+int64(h.lines)*headLineCost-headFree)
}
