package standin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener closes connections above the limit. It delays the first read of each
// other connection to imitate a slow connection setup. The handshake itself cannot be
// delayed, because the kernel completes it before Accept returns. A caller therefore
// notices the delay only by a late answer to its first request.
type limitedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
	delay time.Duration
}

func newLimitedListener(l net.Listener, limit int, delay time.Duration) *limitedListener {
	return &limitedListener{Listener: l, limit: int64(limit), delay: delay}
}

// Accept returns the next connection within the limit and closes those above it.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.limit {
			l.open.Add(-1)
			c.Close()
			continue
		}
		return &limitedConn{Conn: c, listener: l, delay: l.delay}, nil
	}
}

type limitedConn struct {
	net.Conn
	listener  *limitedListener
	delay     time.Duration
	delayOnce sync.Once
	closeOnce sync.Once
}

// Read reads from the connection. The first call waits for the open delay.
func (c *limitedConn) Read(b []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(c.delay) })
	return c.Conn.Read(b)
}

// Close closes the connection and no longer counts it against the limit.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
