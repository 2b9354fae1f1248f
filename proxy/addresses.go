package proxy

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bramleymill/fleet"
)

const (
	// addressRetention is the time for which an unused address is kept. It is far
	// longer than the time between the call of poolName for a request and the opening
	// of a connection for it.
	addressRetention = 10 * time.Minute
	// addressSweepInterval is the minimum time between two scans of all addresses, so
	// that adding the addresses of a large fleet takes linear time.
	addressSweepInterval = time.Minute
)

// addresses maps the names of connection pools to the peer addresses of their
// nodes. It evicts addresses that no request has used for addressRetention, such as
// those of earlier incarnations.
type addresses struct {
	byName sync.Map // pool name -> *peerAddress

	mu        sync.Mutex
	lastSweep time.Time
}

type peerAddress struct {
	address  string
	lastUsed atomic.Int64 // Unix nanoseconds, with the precision of addressSweepInterval
}

// poolName returns the pool name for connections to one incarnation of a node with
// one generation of the keys. Connections to an earlier incarnation, or opened with
// earlier keys, are in a pool with another name, so that they are not used. poolName
// also stores the address of the server for the method address, which is called when a
// connection is opened.
func (a *addresses) poolName(s *fleet.Server, keyGeneration uint64, now time.Time) string {
	name := string(s.Node) + "." + strconv.FormatUint(uint64(s.Incarnation), 36) + "." + strconv.FormatUint(keyGeneration, 36) + ":0"
	if stored, ok := a.byName.Load(name); ok {
		if p := stored.(*peerAddress); p.address == s.PeerAddress {
			if now.UnixNano()-p.lastUsed.Load() >= int64(addressSweepInterval) {
				p.lastUsed.Store(now.UnixNano())
			}
			return name
		}
	}
	p := &peerAddress{address: s.PeerAddress}
	p.lastUsed.Store(now.UnixNano())
	a.byName.Store(name, p)
	a.sweep(now)
	return name
}

func (a *addresses) address(poolName string) (string, bool) {
	stored, ok := a.byName.Load(poolName)
	if !ok {
		return "", false
	}
	return stored.(*peerAddress).address, true
}

// sweep evicts the addresses that have not been used for addressRetention. It is
// called after each addition, since only additions make the map grow.
func (a *addresses) sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.lastSweep) < addressSweepInterval {
		return
	}
	a.lastSweep = now
	a.byName.Range(func(name, p any) bool {
		if now.UnixNano()-p.(*peerAddress).lastUsed.Load() >= int64(addressRetention) {
			a.byName.Delete(name)
		}
		return true
	})
}
