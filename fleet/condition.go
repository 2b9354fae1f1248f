package fleet

// Condition is what a backend server states about itself in its answers. It belongs to one
// process of the server.
type Condition struct {
	Instance  string `cbor:"1,keyasint"`           // instance of the backend server
	StartedAt int64  `cbor:"2,keyasint,omitempty"` // start of its process in Unix milliseconds; zero: unknown
	// Limited states that the server accepts at most RateLimit requests a second from all
	// nodes together.
	Limited   bool    `cbor:"3,keyasint,omitempty"`
	RateLimit float64 `cbor:"4,keyasint,omitempty"`
	Leaving   bool    `cbor:"5,keyasint,omitempty"` // the server takes no new requests and will end
}

// SameProcess reports whether c and other describe the same process of a backend server. If
// the start of one of them is unknown, only the instances are compared.
func (c *Condition) SameProcess(other *Condition) bool {
	return c.Instance == other.Instance && (c.StartedAt == other.StartedAt || c.StartedAt == 0 || other.StartedAt == 0)
}
