package proxy

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/hex"
	"sync"

	"bramleymill/filter"
)

// tokenBytes is the size of a call token.
const tokenBytes = 16

// tokens maps the call token of each request in flight at the backend server to the
// limits that its nested calls inherit. Nested calls are those that the backend server
// makes while it runs the request. In a dialect the id that the caller chose is used as
// the token.
type tokens struct {
	mu       sync.RWMutex
	inFlight map[string]*filter.Parent
}

func newTokens() *tokens { return &tokens{inFlight: map[string]*filter.Parent{}} }

// issue returns a new token. Until it is revoked, a call with this token counts as a
// nested call of the request.
func (t *tokens) issue(p *filter.Parent) string {
	var b [tokenBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	token := hex.EncodeToString(b[:])
	t.register(token, p)
	return token
}

// register makes token valid until it is revoked.
func (t *tokens) register(token string, p *filter.Parent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[token] = p
}

func (t *tokens) revoke(token string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, token)
}

// parent returns the request in flight that a token belongs to, or nil.
func (t *tokens) parent(token string) *filter.Parent {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.inFlight[token]
}

func sameToken(a, b string) bool {
	return a != "" && subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
