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

// checkedGeneration is the context key for the generation of the keys with which
// the peer of a connection was checked last.
type checkedGeneration struct{}

// withCheckedGeneration prepares the context of a connection for recheckPeers. Its
// handshake, which follows, uses the keys in use now or later ones.
func withCheckedGeneration(store *keys.Store) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, _ net.Conn) context.Context {
		checked := new(atomic.Uint64)
		checked.Store(store.LastGeneration())
		return context.WithValue(ctx, checkedGeneration{}, checked)
	}
}

// recheckPeers refuses requests on connections whose peer is no longer trusted
// with the keys in use now. A connection can last as long as it is used, so that
// without it a dropped authority would stay trusted.
func recheckPeers(next http.Handler, store *keys.Store) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		checked := r.Context().Value(checkedGeneration{}).(*atomic.Uint64)
		if g := store.LastGeneration(); checked.Load() != g {
			if store.Recheck(*r.TLS) != nil {
				refusePeer(w)
				return
			}
			checked.Store(g)
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
	_ = json.NewEncoder(w).Encode(map[string]errkind.Kind{"kind": errkind.Unauthorized}) // the peer may have gone
}
