package guard

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Guard bounds what the clients of all listeners of a process can make it hold.
type Guard struct {
	budget  *Budget
	sockets *Sockets
	log     *slog.Logger

	mu    sync.Mutex
	conns map[*Conn]struct{}

	reached  []atomic.Int64 // by the index in Bounds
	logged   []atomic.Int64 // time of the last log line in Unix nanoseconds
	relieved atomic.Int64   // time of the last Relieve in Unix nanoseconds
}

func indexOf(b Bound) int {
	for i, v := range Bounds {
		if v == b {
			return i
		}
	}
	return 0
}

// New returns a Guard with a memory budget of the given size. sockets bounds the buffers of the
// connections of its doors; nil leaves them to the kernel.
func New(memory int64, sockets *Sockets, log *slog.Logger) *Guard {
	return &Guard{budget: NewBudget(memory), sockets: sockets, log: log, conns: map[*Conn]struct{}{},
		reached: make([]atomic.Int64, len(Bounds)), logged: make([]atomic.Int64, len(Bounds))}
}

// Budget returns the budget of the memory that the process itself holds.
func (g *Guard) Budget() *Budget { return g.budget }

// Sockets returns the bounds of what the kernel holds for connections.
func (g *Guard) Sockets() *Sockets { return g.sockets }

// Reached returns how often clients have reached a bound.
func (g *Guard) Reached(b Bound) int64 { return g.reached[indexOf(b)].Load() }

// Connections returns the number of open connections of all doors.
func (g *Guard) Connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// logInterval is the time between two log lines about the same bound.
const logInterval = 10 * time.Second

// report counts that a client has reached a bound and logs it, at most once in logInterval.
func (g *Guard) report(b Bound, d *Door, address string) {
	i, now := indexOf(b), time.Now().UnixNano()
	total := g.reached[i].Add(1)
	if b == IdleTime {
		return // ordinary clients leave connections idle
	}
	last := g.logged[i].Load()
	if last != 0 && now-last < int64(logInterval) || !g.logged[i].CompareAndSwap(last, now) {
		return
	}
	g.log.Warn("client reached a bound", "bound", string(b), "address", address, "listener", d.config.Name, "total", total,
		"memory_used", g.budget.Used(), "memory_limit", g.budget.Limit())
}

// makeRoom closes the connection that holds the most for the longest time, if it is heavier
// than c with n more bytes. It reports whether there was one.
func (g *Guard) makeRoom(c *Conn, n int64) bool {
	now := time.Now().UnixNano()
	heaviest, _ := c.holder(now)
	heaviest.Bytes += n
	var victim *Conn
	g.mu.Lock()
	for other := range g.conns {
		if other == c {
			continue
		}
		if h, may := other.holder(now); may && h.Heavier(heaviest) {
			heaviest, victim = h, other
		}
	}
	g.mu.Unlock()
	if victim == nil {
		return false
	}
	victim.evict(Memory, func() bool { _, may := victim.holderLocked(now); return may })
	return true
}

// Watch closes connections whose clients neither send the body that is read nor read the end
// of their answer, and cancels the requests of clients that have left. It returns when done is
// closed.
func (g *Guard) Watch(done <-chan struct{}) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	leave := time.NewTicker(leaveInterval)
	defer leave.Stop()
	for {
		select {
		case <-done:
			return
		case <-leave.C:
			g.cancelLeft()
		case now := <-t.C:
			g.closeAll(func(c *Conn) Bound { return c.stalled(now.UnixNano()) })
		}
	}
}

const watchInterval = time.Second

// reliefInterval is the least time between two searches by Relieve.
const reliefInterval = 100 * time.Millisecond

// Relieve closes connections whose clients let a request wait that may hold a slot of a backend
// server. It is called when a request was refused because no slot is free.
func (g *Guard) Relieve() {
	now := time.Now().UnixNano()
	last := g.relieved.Load()
	if now-last < int64(reliefInterval) || !g.relieved.CompareAndSwap(last, now) {
		return
	}
	g.closeAll(func(c *Conn) Bound {
		if c.slow(now) {
			return SlotTime
		}
		return ""
	})
}

// closeAll closes the connections for which reached returns a bound.
func (g *Guard) closeAll(reached func(c *Conn) Bound) {
	g.mu.Lock()
	var found []*Conn
	for c := range g.conns {
		if reached(c) != "" {
			found = append(found, c)
		}
	}
	g.mu.Unlock()
	for _, c := range found {
		if b := reached(c); b != "" {
			c.evict(b, func() bool { return reached(c) == b })
		}
	}
}
