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
	return c.Conn.Write(p)
}

// Writes returns the number of writes that have begun.
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
