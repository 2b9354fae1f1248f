package guard

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// leaveInterval is the time between two searches for clients that have left. A client that has
// left must be noticed within 500 ms.
const leaveInterval = 200 * time.Millisecond

// notePipelined records that the client has sent bytes behind the request that is being served.
// The HTTP server reads one byte ahead during a request in order to notice that the client
// leaves. With that byte it stops reading until the request ends, so it notices nothing more.
func (c *Conn) notePipelined(buffer, n int) {
	if buffer == 1 && n == 1 && !c.pipelined.Load() {
		c.pipelined.Store(true)
	}
}

// cancelLeft cancels the requests of clients that have left while further requests of theirs
// are unread.
func (g *Guard) cancelLeft() {
	g.mu.Lock()
	var pipelined []*Conn
	for c := range g.conns {
		if c.pipelined.Load() && !c.withoutRequest() && !c.left.Load() {
			pipelined = append(pipelined, c)
		}
	}
	g.mu.Unlock()
	for _, c := range pipelined {
		if hungUp(c.Conn) {
			c.left.Store(true)
			c.mu.Lock()
			cancel := c.cancel
			c.mu.Unlock()
			cancel() // not nil, because a request was read
		}
	}
}

// hungUp reports whether the other side has closed its sending direction or the connection was
// reset. Unlike a read it also sees an end behind unread bytes.
func hungUp(conn net.Conn) bool {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	fds := []unix.PollFd{{Events: unix.POLLRDHUP}}
	n := 0
	err = raw.Control(func(fd uintptr) {
		fds[0].Fd = int32(fd)
		n, _ = unix.Poll(fds, 0) // after an error the next search decides
	})
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
