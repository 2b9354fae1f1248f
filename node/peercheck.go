package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"

	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/keys"
)

// checkedGeneration is the context key for the generation of the keys with which the
// peer of a connection was verified last.
type checkedGeneration struct{}

// withCheckedGeneration returns a function that stores the current generation of the
// keys in the context of a new connection, for recheckPeers. The TLS handshake comes
// afterwards and therefore uses keys of this generation or of a later one, so the stored
// generation is never newer than the keys that verified the peer.
func withCheckedGeneration(store *keys.Store) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, _ net.Conn) context.Context {
		generation := new(atomic.Uint64)
		generation.Store(store.CachedGeneration())
		return context.WithValue(ctx, checkedGeneration{}, generation)
	}
}

// recheckPeers refuses a request if the certificate of its peer is no longer valid under
// the current keys. A connection stays open as long as it is used. Without this check, a
// node would continue to accept peers of an authority that was removed.
func recheckPeers(next http.Handler, store *keys.Store) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		generation := r.Context().Value(checkedGeneration{}).(*atomic.Uint64)
		if g := store.CachedGeneration(); generation.Load() != g {
			if store.Recheck(*r.TLS) != nil {
				refusePeer(w)
				return
			}
			generation.Store(g)
		}
		next.ServeHTTP(w, r)
	})
}

func refusePeer(w http.ResponseWriter) {
	a := errkind.Lookup(errkind.Unauthorized)
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Type", "application/json")
	h.Set(fleet.HeaderKind, string(errkind.Unauthorized))
	h.Set(fleet.HeaderOutcome, string(a.Outcome))
	w.WriteHeader(a.Status)
	_ = json.NewEncoder(w).Encode(map[string]errkind.Kind{"kind": errkind.Unauthorized}) // the peer may have disconnected
}
