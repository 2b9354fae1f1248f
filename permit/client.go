package permit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"bramleymill/customer"
	"bramleymill/quota"
)

const (
	// controlsInterval is the time between two reads of the known control instances.
	controlsInterval = time.Second
	// logInterval is the shortest time between two log lines about requests without a decision.
	logInterval = 10 * time.Second
)

// ClientConfig configures a Client.
type ClientConfig struct {
	ID       uint64 // random number of the start of the process
	Zone     string
	Seed     uint64
	Controls func() []string // peer addresses of the known control instances
	// Send sends a request to a control instance. It must not block. The reply, if there is
	// one, is passed to Client.Receive.
	Send   func(address string, r *quota.Request)
	Logger *slog.Logger
}

// Decision is the decision on a request. The permit is set if the verdict is Granted. The
// verdict is zero if the context of the request ended first.
type Decision struct {
	Verdict quota.Verdict
	Permit  quota.Permit
	Wait    time.Duration // with Exceeded, the time after which a permit is expected
	Asked   []string      // unless granted: the control instances that did not issue a permit
}

// Client obtains permits for the requests of an entry node. Its methods are safe for concurrent
// use.
type Client struct {
	config ClientConfig
	begin  time.Time

	mu         sync.Mutex
	core       *quota.Client
	timer      *time.Timer
	timerAt    time.Duration
	controlsAt time.Duration // when the control instances are read again
	logAt      time.Duration
	unlogged   int // requests without a decision since the last log line
	closed     bool
}

// NewClient returns a Client. It sends nothing until the first request of a customer with a
// rate.
func NewClient(c ClientConfig) *Client {
	p := &Client{config: c, begin: time.Now(), core: quota.NewClient(c.ID, c.Zone, c.Seed), timerAt: quota.Never}
	p.timer = time.AfterFunc(time.Hour, p.tick)
	p.timer.Stop()
	return p
}

func (c *Client) now() time.Duration { return time.Since(c.begin) }

// Take takes a permit for a request of a customer with a rate. Without a permit in stock it
// waits until an issuer has decided, for a bounded time, or until ctx ends.
func (c *Client) Take(ctx context.Context, r *customer.Resolved) Decision {
	c.mu.Lock()
	now := c.now()
	permit, ok, refill := c.core.Take(now, r.Name)
	if ok {
		if !refill {
			c.mu.Unlock()
			return Decision{Verdict: quota.Granted, Permit: permit}
		}
		c.finish(now, c.core.Refill(now, r.Name))
		return Decision{Verdict: quota.Granted, Permit: permit}
	}
	c.updateControls(now)
	w := &quota.Waiter{Done: make(chan struct{})}
	c.finish(now, c.core.Ask(now, w, r.Name, r.Rate))
	select {
	case <-w.Done:
	case <-ctx.Done():
		c.mu.Lock()
		cancelled := c.core.Cancel(w)
		c.mu.Unlock()
		if cancelled {
			return Decision{}
		}
		<-w.Done
	}
	return Decision{Verdict: w.Verdict, Permit: w.Permit, Wait: w.Wait, Asked: w.Asked}
}

// Return takes back the permit of a request that did not run.
func (c *Client) Return(p quota.Permit) {
	c.mu.Lock()
	now := c.now()
	c.finish(now, c.core.Return(now, p))
}

// Receive processes a reply.
func (c *Client) Receive(r *quota.Reply) {
	c.mu.Lock()
	now := c.now()
	c.finish(now, c.core.Receive(now, r))
}

// Stats returns the counters of the client.
func (c *Client) Stats() quota.ClientStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Stats()
}

// Close stops the timer. Requests that wait are decided only by replies from then on.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.timer.Stop()
}

// updateControls is called with c.mu held.
func (c *Client) updateControls(now time.Duration) {
	if now >= c.controlsAt {
		c.controlsAt = now + controlsInterval
		c.core.SetControls(c.config.Controls())
	}
}

func (c *Client) tick() {
	c.mu.Lock()
	now := c.now()
	c.timerAt = quota.Never
	c.updateControls(now)
	c.finish(now, c.core.Tick(now))
}

// finish sets the timer, unlocks c.mu and performs the actions.
func (c *Client) finish(now time.Duration, a quota.Actions) {
	if next := c.core.Next(); next < c.timerAt && !c.closed {
		c.timerAt = next
		c.timer.Reset(max(0, next-now))
	}
	undecided := 0
	for _, w := range a.Decided {
		if w.Verdict == quota.Unavailable {
			undecided++
		}
	}
	c.unlogged += undecided
	logged := 0
	if undecided > 0 && now >= c.logAt {
		c.logAt, logged, c.unlogged = now+logInterval, c.unlogged, 0
	}
	c.mu.Unlock()
	for _, m := range a.Send {
		c.config.Send(m.Address, m.Request)
	}
	for _, w := range a.Decided {
		close(w.Done)
	}
	if logged > 0 {
		c.config.Logger.Warn("no control instance decides on quotas; requests of customers with a quota are refused", "requests", logged)
	}
}
