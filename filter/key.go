package filter

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// MaxKeyBytes is the maximum length of an idempotency key.
const MaxKeyBytes = 255

// keyOf returns the idempotency key of a request. Keys of idempotent classes are ignored.
// Classes that are configured as items have no setting for keys; there the header belongs to
// callers and backend servers and is only passed on.
func keyOf(c *Call) (string, error) {
	if c.Class.Idempotent || c.Class.ConfiguredAsItem {
		return "", nil
	}
	values := c.Request.Header.Values(fleet.HeaderIdempotencyKey)
	switch {
	case len(values) == 0 && c.Class.KeyRequired:
		return "", errkind.New(errkind.KeyRequired, "class %s requires the header %s", c.Class.Name, fleet.HeaderIdempotencyKey)
	case len(values) == 0:
		return "", nil
	case len(values) > 1 || values[0] == "" || len(values[0]) > MaxKeyBytes:
		return "", errkind.New(errkind.BadRequest, "request must have one header %s of 1 to %d bytes", fleet.HeaderIdempotencyKey, MaxKeyBytes)
	}
	return values[0], nil
}

// claimKey returns the key of the claim for a request with an idempotency key. Keys of one
// class are shared by all callers without a customer, whom nothing permanent distinguishes,
// and are separate for each customer. A nested call is not separated by its customer: if the
// backend server sends it again after its parent has ended, it has none.
func claimKey(c *Call) string {
	key := c.Class.Name + "/" + c.Key
	if c.Origin != FromCaller || c.Meta.Customer == "" {
		return key
	}
	h := sha256.New()
	writeFields(h, c.Meta.Customer, key)
	return hex.EncodeToString(h.Sum(nil)) // has no slash and so differs from every key above
}

// requestHeaders are the headers that can make two requests with equal bodies different, or
// show that they come from different callers.
var requestHeaders = []string{"Authorization", "Cookie", "Content-Type", "Content-Encoding"}

// hashRequest returns a hash of what a request must have in common with an earlier one to get
// its stored answer: method, path, query, body, and what is known about the caller. A request
// with the key of another one is rejected if this hash differs. The host is not included,
// because callers may address each node under another name.
func hashRequest(c *Call) (sum [32]byte) {
	h := sha256.New()
	writeFields(h, c.Request.Method, c.Request.URL.RequestURI())
	for _, name := range requestHeaders {
		writeFields(h, c.Request.Header.Values(name)...)
	}
	service := ""
	if c.Origin == FromService {
		service = c.Meta.EntryService
	}
	writeFields(h, service, c.Meta.Customer)
	_, _ = h.Write(c.Body.prefix)
	h.Sum(sum[:0])
	return sum
}

// writeFields writes fields so that no other list of fields gives the same bytes: the number
// of fields, then each with its length.
func writeFields(h hash.Hash, fields ...string) {
	var n [4]byte
	binary.BigEndian.PutUint32(n[:], uint32(len(fields)))
	_, _ = h.Write(n[:])
	for _, f := range fields {
		binary.BigEndian.PutUint32(n[:], uint32(len(f)))
		_, _ = h.Write(n[:])
		_, _ = io.WriteString(h, f)
	}
}
