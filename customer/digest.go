package customer

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest identifies a key without revealing it.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key. It does not allocate for keys of usual length.
func DigestOf(key string) Digest {
	var buf [64]byte
	if len(key) > len(buf) {
		return sha256.Sum256([]byte(key))
	}
	return sha256.Sum256(buf[:copy(buf[:], key)])
}

// String returns the hexadecimal form of d.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest returns the Digest with a hexadecimal form, and false if text is none.
func ParseDigest(text string) (d Digest, ok bool) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(d) {
		return Digest{}, false
	}
	return Digest(b), true
}

// digests returns the digests of all keys of c.
func (c *Customer) digests() []Digest {
	out := make([]Digest, 0, len(c.Keys)+len(c.KeyDigests))
	for _, k := range c.Keys {
		out = append(out, DigestOf(k))
	}
	for _, text := range c.KeyDigests {
		if d, ok := ParseDigest(text); ok {
			out = append(out, d)
		}
	}
	return out
}
