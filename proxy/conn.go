package proxy

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"bramleymill/guard"
)

var errSealed = errors.New("connection was abandoned before anything was written")

// countedConn counts the writes to a connection, so that a request that was not sent
// can be recognized. After Unwritten has reported true, every write fails.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool // every further write fails

	writing  sync.Mutex // held during a write
	wasReset bool       // a write found that the peer has reset the connection; guarded by writing
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	c.writing.Lock()
	n, err := c.Conn.Write(p)
	c.wasReset = c.wasReset || errors.Is(err, syscall.ECONNRESET)
	c.writing.Unlock()
	if n == 0 && err != nil && c.zeroMeansUnsent() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.writes-- // the kernel accepted no bytes
		c.sealed = true
	}
	return n, err
}

// resetDuringWrite ends a write that is in progress, makes later writes fail, and reports whether
// a write has found that the peer reset the connection. The operating system reports a reset once,
// to the read or write that comes first; later reads end as at a regular close. If the peer closed
// its direction before the reset, a write gets EPIPE instead: what was read until then is whole.
func (c *countedConn) resetDuringWrite() bool {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // it fails only for a closed connection, whose writes fail too
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.wasReset
}

// zeroMeansUnsent reports whether a write that returns zero bytes is known to have sent
// nothing. A TLS connection may have sent part of a record.
func (c *countedConn) zeroMeansUnsent() bool {
	switch c.Conn.(type) {
	case *net.TCPConn, *guard.Socket, *usedConn:
		return true
	}
	return false
}

// Writes returns the number of writes that were started. Writes that are known to have
// sent no byte are not counted.
func (c *countedConn) Writes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// Unwritten reports whether the number of writes is still n, a value that Writes
// returned earlier. If so, Unwritten makes every later write fail.
func (c *countedConn) Unwritten(n uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != n {
		return false
	}
	c.sealed = true
	return true
}
