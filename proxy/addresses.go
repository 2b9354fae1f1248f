package proxy

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bramleymill/fleet"
)

// Times of the eviction of addresses.
const (
	// addressKept is far above the time between the naming of a pool and the
	// opening of a connection for the same request.
	addressKept = 10 * time.Minute
	// addressSweep bounds how often all addresses are looked through, so that
	// learning the addresses of a large fleet takes linear time.
	addressSweep = time.Minute
)

// addresses holds the peer addresses of nodes by the name of their connection
// pool. It forgets those that no request has used lately, such as the addresses
// of earlier incarnations.
type addresses struct {
	byName sync.Map // pool name -> *peerAddress

	mu    sync.Mutex
	swept time.Time
}

type peerAddress struct {
	address string
	used    atomic.Int64 // Unix nanoseconds, to the precision of addressSweep
}

// poolName names the connections that were made to one incarnation of a node with
// one generation of the keys, so that those to an earlier incarnation, or made with
// earlier keys, are not used. It keeps the address to open them.
func (a *addresses) poolName(s *fleet.Server, generation uint64, now time.Time) string {
	name := string(s.Node) + "." + strconv.FormatUint(uint64(s.Incarnation), 36) + "." + strconv.FormatUint(generation, 36) + ":0"
	if known, ok := a.byName.Load(name); ok {
		if p := known.(*peerAddress); p.address == s.PeerAddress {
			if now.UnixNano()-p.used.Load() >= int64(addressSweep) {
				p.used.Store(now.UnixNano())
			}
			return name
		}
	}
	p := &peerAddress{address: s.PeerAddress}
	p.used.Store(now.UnixNano())
	a.byName.Store(name, p)
	a.sweep(now)
	return name
}

func (a *addresses) address(poolName string) (string, bool) {
	known, ok := a.byName.Load(poolName)
	if !ok {
		return "", false
	}
	return known.(*peerAddress).address, true
}

// sweep forgets the addresses that were not used for addressKept. The map grows
// only by additions, after which sweep is called.
func (a *addresses) sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.swept) < addressSweep {
		return
	}
	a.swept = now
	a.byName.Range(func(name, p any) bool {
		if now.UnixNano()-p.(*peerAddress).used.Load() >= int64(addressKept) {
			a.byName.Delete(name)
		}
		return true
	})
}
