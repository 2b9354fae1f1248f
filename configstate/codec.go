package configstate

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/fxamacker/cbor/v2"
)

// encMode is deterministic, because encoded values are hashed.
var encMode = mustEncMode()

var decMode = mustDecMode()

func mustEncMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	m, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// mustEncode encodes v, which must consist of types whose encoding cannot fail, such
// as integers, text, bytes and times.
func mustEncode(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Hash is a SHA-256 hash. Its text form is hexadecimal.
type Hash [sha256.Size]byte

// HashOf returns the hash of b.
func HashOf(b []byte) Hash { return sha256.Sum256(b) }

// String returns h in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText returns h in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText parses the form that MarshalText returns.
func (h *Hash) UnmarshalText(b []byte) error {
	if len(b) != hex.EncodedLen(len(h)) {
		return hex.ErrLength
	}
	_, err := hex.Decode(h[:], b)
	return err
}
