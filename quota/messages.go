package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a customer in messages. It has the same size for every name.
type ID uint64

// IDOf returns the ID of a customer. If two names had the same ID, their customers would share
// the lower of their quotas.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// MaxItems bounds the wants and the returns of one message, so that a request and its reply
// each fit into a datagram.
const MaxItems = 20

// Request asks an issuer for permits. A client that does not know the issuer yet sends one
// without wants.
type Request struct {
	Client  uint64   `cbor:"1,keyasint"` // random number of the start of the entry node
	Number  uint64   `cbor:"2,keyasint"` // increases with every message of the client
	Wants   []Want   `cbor:"3,keyasint,omitempty"`
	Returns []Return `cbor:"4,keyasint,omitempty"`
	Issuer  uint64   `cbor:"5,keyasint,omitempty"` // start of the issuer as far as the client knows; Returns belong to it
	Voters  uint64   `cbor:"6,keyasint,omitempty"` // digest of the addresses of the voters that the client knows
}

// Want is the demand for permits of one customer.
type Want struct {
	Customer ID     `cbor:"1,keyasint"`
	Now      uint32 `cbor:"2,keyasint,omitempty"` // requests that wait
	Ahead    uint32 `cbor:"3,keyasint,omitempty"` // further permits that are expected to be used soon
	Last     bool   `cbor:"4,keyasint,omitempty"` // no other issuer has permits
}

// Return gives back permits that the client will not use.
type Return struct {
	Customer ID     `cbor:"1,keyasint"`
	Slot     uint64 `cbor:"2,keyasint"` // as in Grant
	Count    uint32 `cbor:"3,keyasint"`
}

// Reply answers a Request.
type Reply struct {
	Client uint64  `cbor:"1,keyasint"`
	Number uint64  `cbor:"2,keyasint"`
	Issuer uint64  `cbor:"3,keyasint"`           // random number of the start of the issuer
	Refuse string  `cbor:"4,keyasint,omitempty"` // why the issuer has no right to issue; empty: it has
	Grants []Grant `cbor:"5,keyasint,omitempty"` // one for each want, in their order

	// Only set if the request states another start of the issuer.
	Node string `cbor:"6,keyasint,omitempty"`
	Zone string `cbor:"7,keyasint,omitempty"`
	// Only set if the request states another digest.
	Voters []string `cbor:"8,keyasint,omitempty"` // peer addresses of all voters, sorted
}

// Grant states the permits of one customer.
type Grant struct {
	Count       uint32 `cbor:"1,keyasint,omitempty"`
	LeaseMillis uint32 `cbor:"2,keyasint,omitempty"` // counted from the sending of the request
	Slot        uint64 `cbor:"3,keyasint,omitempty"` // when the permits were issued, for their return
	// WaitMillis is the time until a permit is expected. It is set if fewer permits were
	// granted than requests wait.
	WaitMillis uint32 `cbor:"4,keyasint,omitempty"`
	Unlimited  bool   `cbor:"5,keyasint,omitempty"` // the customer has no quota in the configuration of the issuer
	Unknown    bool   `cbor:"6,keyasint,omitempty"` // the configuration of the issuer lacks the customer
}

func ceilMillis(d time.Duration) uint32 {
	return uint32((max(d, 0) + time.Millisecond - 1) / time.Millisecond)
}

// VotersDigest returns the value of Request.Voters for sorted addresses.
func VotersDigest(addresses []string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, a := range addresses {
		_, _ = d.WriteString(a)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
