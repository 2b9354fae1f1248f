package proxy

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// sweepEvery is the time between two searches for idle connections that have
// ended or are too old.
const sweepEvery = 5 * time.Second

// pool keeps the connections to servers, each named by its host.
type pool struct {
	dial    func(ctx context.Context, host string) (net.Conn, error)
	maxOpen int           // of each host; zero: no limit
	maxIdle int           // of each host
	maxAge  time.Duration // of an idle connection; zero: no limit

	mu       sync.Mutex
	hosts    map[string]*hostLinks
	sweeping bool
	closed   bool
}

// hostLinks holds the connections to one host.
type hostLinks struct {
	idle    []*link // the last one was used last
	open    int     // in use, idle or being opened
	opening int
	waiters []chan opened // first come, first served
}

type opened struct {
	link *link
	err  error
}

func newPool(dial func(ctx context.Context, host string) (net.Conn, error), maxOpen, maxIdle int, maxAge time.Duration) *pool {
	return &pool{dial: dial, maxOpen: maxOpen, maxIdle: maxIdle, maxAge: maxAge, hosts: map[string]*hostLinks{}}
}

// get returns an idle connection that is still open or a new one. A caller that
// waits for a new one also takes one that becomes idle before.
func (p *pool) get(ctx context.Context, host string) (*link, error) {
	for {
		l, err := p.next(ctx, host)
		if err != nil || !l.kept || p.fresh(l) && l.usable() {
			return l, err
		}
		p.discard(host, l)
	}
}

func (p *pool) fresh(l *link) bool { return p.maxAge == 0 || time.Since(l.idle) < p.maxAge }

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
	w := make(chan opened, 1)
	h.waiters = append(h.waiters, w)
	p.openFor(host, h)
	p.mu.Unlock()
	select {
	case o := <-w:
		return o.link, o.err
	case <-ctx.Done():
		p.leave(host, w)
		return nil, ctx.Err()
	}
}

// openFor opens connections for those who wait. The caller holds mu.
func (p *pool) openFor(host string, h *hostLinks) {
	for h.opening < len(h.waiters) && (p.maxOpen == 0 || h.open < p.maxOpen) {
		h.open++
		h.opening++
		go p.opens(host, h)
	}
}

func (p *pool) opens(host string, h *hostLinks) {
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
	// A waiter for whom another connection is being opened goes on waiting.
	if len(h.waiters) > h.opening {
		h.waiters[0] <- opened{err: err}
		h.waiters = h.waiters[1:]
	}
	p.openFor(host, h)
	p.forget(host, h)
}

// leave takes back a waiter. What it was given meanwhile is for others.
func (p *pool) leave(host string, w chan opened) {
	p.mu.Lock()
	if h := p.hosts[host]; h != nil {
		h.waiters = slices.DeleteFunc(h.waiters, func(other chan opened) bool { return other == w })
	}
	p.mu.Unlock()
	select {
	case o := <-w:
		if o.link != nil {
			p.put(host, o.link)
		}
	default:
	}
}

// put hands a connection whose request has ended to a waiter or keeps it.
func (p *pool) put(host string, l *link) {
	l.idle, l.kept = time.Now(), true
	p.place(host, l, false)
}

// place does so for a new connection too, which counts as being opened until it
// has a place: otherwise another one would be opened for its waiter.
func (p *pool) place(host string, l *link, isNew bool) {
	if !p.placed(host, l, isNew) {
		p.discard(host, l)
	}
}

func (p *pool) placed(host string, l *link, isNew bool) bool {
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
		h.waiters[0] <- opened{link: l}
		h.waiters = h.waiters[1:]
		return true
	case len(h.idle) < p.maxIdle:
		l.kept = true
		h.idle = append(h.idle, l)
		p.sweepLater()
		return true
	}
	return false
}

// discard closes a connection that is not idle.
func (p *pool) discard(host string, l *link) {
	_ = l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[host]; h != nil {
		h.open--
		p.openFor(host, h)
		p.forget(host, h)
	}
}

// forget removes a host without connections. The caller holds mu.
func (p *pool) forget(host string, h *hostLinks) {
	if h.open == 0 && len(h.waiters) == 0 && p.hosts[host] == h {
		delete(p.hosts, host)
	}
}

// sweepLater arranges a sweep. The caller holds mu.
func (p *pool) sweepLater() {
	if !p.sweeping && !p.closed {
		p.sweeping = true
		time.AfterFunc(sweepEvery, p.sweep)
	}
}

// sweep closes idle connections that have ended or are too old.
func (p *pool) sweep() {
	p.remove(func(l *link) bool { return !p.fresh(l) || !l.usable() })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeping = false
	for _, h := range p.hosts {
		if len(h.idle) > 0 {
			p.sweepLater()
			return
		}
	}
}

// remove closes the idle connections that f selects.
func (p *pool) remove(f func(l *link) bool) {
	ended := map[string][]*link{}
	p.mu.Lock()
	for host, h := range p.hosts {
		h.idle = slices.DeleteFunc(h.idle, func(l *link) bool {
			if !f(l) {
				return false
			}
			ended[host] = append(ended[host], l)
			return true
		})
	}
	p.mu.Unlock()
	for host, links := range ended {
		for _, l := range links {
			p.discard(host, l)
		}
	}
}

// close closes idle connections now and all others after their requests.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.remove(func(*link) bool { return true })
}
