package proxy

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// sweepInterval is the interval between searches for idle connections that have been
// closed or are too old.
const sweepInterval = 5 * time.Second

// pool holds the connections to servers, grouped by host. For connections to other
// nodes, the host is a name from addresses.poolName.
type pool struct {
	dial    func(ctx context.Context, host string) (net.Conn, error)
	maxOpen int           // largest number of connections to a host; zero: no limit
	maxIdle int           // largest number of idle connections to a host
	maxAge  time.Duration // largest age of an idle connection; zero: no limit

	mu       sync.Mutex
	hosts    map[string]*hostLinks
	sweeping bool
	closed   bool
}

// hostLinks holds the connections to one host.
type hostLinks struct {
	idle    []*link           // most recently used last
	open    int               // number of connections in use, idle or being opened
	opening int               // number of connections being opened
	waiters []chan openResult // longest wait first
}

type openResult struct {
	link *link
	err  error
}

func newPool(dial func(ctx context.Context, host string) (net.Conn, error), maxOpen, maxIdle int, maxAge time.Duration) *pool {
	return &pool{dial: dial, maxOpen: maxOpen, maxIdle: maxIdle, maxAge: maxAge, hosts: map[string]*hostLinks{}}
}

// get returns an idle connection that is still open, or a new one. If another
// connection becomes idle before the new one is open, get returns that one.
func (p *pool) get(ctx context.Context, host string) (*link, error) {
	for {
		l, err := p.next(ctx, host)
		if err != nil || !l.mayBeClosed || p.fresh(l) && l.usable() {
			return l, err
		}
		p.discard(host, l)
	}
}

func (p *pool) fresh(l *link) bool { return p.maxAge == 0 || time.Since(l.lastUsed) < p.maxAge }

func (p *pool) next(ctx context.Context, host string) (*link, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	h := p.hosts[host]
	if h == nil {
		h = &hostLinks{}
		p.hosts[host] = h
	}
	if last := len(h.idle) - 1; last >= 0 {
		l := h.idle[last]
		h.idle = h.idle[:last]
		p.mu.Unlock()
		return l, nil
	}
	w := make(chan openResult, 1)
	h.waiters = append(h.waiters, w)
	p.openForWaiters(host, h)
	p.mu.Unlock()
	select {
	case result := <-w:
		return result.link, result.err
	case <-ctx.Done():
		p.abandon(host, w)
		return nil, ctx.Err()
	}
}

// openForWaiters opens connections for the waiters, up to maxOpen. The caller holds
// mu.
func (p *pool) openForWaiters(host string, h *hostLinks) {
	for h.opening < len(h.waiters) && (p.maxOpen == 0 || h.open < p.maxOpen) {
		h.open++
		h.opening++
		go p.openOne(host, h)
	}
}

func (p *pool) openOne(host string, h *hostLinks) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, host)
	if err == nil {
		p.place(host, newLink(conn), true)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h.opening--
	h.open--
	// Each connection that is still being opened will serve one waiter. The first waiter
	// receives the error only if there are more waiters than such connections.
	if len(h.waiters) > h.opening {
		h.waiters[0] <- openResult{err: err}
		h.waiters = h.waiters[1:]
	}
	p.openForWaiters(host, h)
	p.forget(host, h)
}

// abandon removes a waiter. If it has received a connection in the meantime, the
// connection returns to the pool.
func (p *pool) abandon(host string, w chan openResult) {
	p.mu.Lock()
	if h := p.hosts[host]; h != nil {
		h.waiters = slices.DeleteFunc(h.waiters, func(other chan openResult) bool { return other == w })
	}
	p.mu.Unlock()
	select {
	case result := <-w:
		if result.link != nil {
			p.put(host, result.link)
		}
	default:
	}
}

// put is called when the request on a connection has ended. It passes the connection to
// a waiter, or keeps it as idle.
func (p *pool) put(host string, l *link) {
	l.lastUsed, l.mayBeClosed = time.Now(), true
	p.place(host, l, false)
}

// place passes a connection to a waiter, keeps it as idle, or closes it. A new
// connection counts as being opened until it is placed, because otherwise another one
// would be opened for its waiter.
func (p *pool) place(host string, l *link, isNew bool) {
	if !p.tryPlace(host, l, isNew) {
		p.discard(host, l)
	}
}

func (p *pool) tryPlace(host string, l *link, isNew bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[host]
	if h == nil {
		return false
	}
	if isNew {
		h.opening--
	}
	switch {
	case p.closed:
	case len(h.waiters) > 0:
		h.waiters[0] <- openResult{link: l}
		h.waiters = h.waiters[1:]
		return true
	case len(h.idle) < p.maxIdle:
		l.mayBeClosed = true
		h.idle = append(h.idle, l)
		p.scheduleSweep()
		return true
	}
	return false
}

// discard closes a connection that is not in the idle list.
func (p *pool) discard(host string, l *link) {
	_ = l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[host]; h != nil {
		h.open--
		p.openForWaiters(host, h)
		p.forget(host, h)
	}
}

// forget removes a host that has neither connections nor waiters. The caller holds
// mu.
func (p *pool) forget(host string, h *hostLinks) {
	if h.open == 0 && len(h.waiters) == 0 && p.hosts[host] == h {
		delete(p.hosts, host)
	}
}

// scheduleSweep schedules a sweep if none is scheduled. The caller holds mu.
func (p *pool) scheduleSweep() {
	if !p.sweeping && !p.closed {
		p.sweeping = true
		time.AfterFunc(sweepInterval, p.sweep)
	}
}

// sweep closes idle connections that the server has closed or that are too old.
func (p *pool) sweep() {
	p.remove(func(l *link) bool { return !p.fresh(l) || !l.usable() })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeping = false
	for _, h := range p.hosts {
		if len(h.idle) > 0 {
			p.scheduleSweep()
			return
		}
	}
}

// remove closes the idle connections for which f returns true.
func (p *pool) remove(f func(l *link) bool) {
	removed := map[string][]*link{}
	p.mu.Lock()
	for host, h := range p.hosts {
		h.idle = slices.DeleteFunc(h.idle, func(l *link) bool {
			if !f(l) {
				return false
			}
			removed[host] = append(removed[host], l)
			return true
		})
	}
	p.mu.Unlock()
	for host, links := range removed {
		for _, l := range links {
			p.discard(host, l)
		}
	}
}

// close closes idle connections immediately and all others after their requests.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.remove(func(*link) bool { return true })
}
