package proxy

import (
	"errors"
	"net"
	"sync"
)

var errSealed = errors.New("connection was given up before anything was written")

// countedConn knows whether anything was written to it since a point in time.
// It is the proof that a request was not sent: after Unwritten has reported
// true, no byte can be written any more.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil && c.plain() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.writes-- // the kernel has accepted no byte
		c.sealed = true
	}
	return n, err
}

// plain reports whether a write that returns no bytes has sent none. A TLS
// connection may have sent a part of a record.
func (c *countedConn) plain() bool {
	switch c.Conn.(type) {
	case *net.TCPConn, *handedOut:
		return true
	}
	return false
}

// Writes returns the number of writes that have begun and were not refused whole.
func (c *countedConn) Writes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// Unwritten reports whether no write has begun since Writes returned n, and if
// so makes every later write fail.
func (c *countedConn) Unwritten(n uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != n {
		return false
	}
	c.sealed = true
	return true
}
