package guard

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Sockets bounds the memory that the kernel holds for the TCP connections of a process: bytes
// that have arrived and were not read, and bytes that were written and not received. Without a
// bound the kernel holds megabytes for a connection, and a process that gets little processor
// time does not read them. A connection begins with small buffers; larger ones for a long
// transfer draw on a common budget. A nil *Sockets leaves the sizes to the kernel.
type Sockets struct {
	budget *Budget
}

// NewSockets returns a Sockets with a budget of the given number of bytes.
func NewSockets(memory int64) *Sockets { return &Sockets{budget: NewBudget(memory)} }

// Budget returns the memory budget.
func (s *Sockets) Budget() *Budget { return s.budget }

// Listen opens a TCP listener. At most backlog connections wait to be accepted; the kernel
// ignores the opening packets of further ones, which their clients send again.
func (s *Sockets) Listen(address string, backlog int) (net.Listener, error) {
	if s == nil {
		return net.Listen("tcp", address)
	}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return s.Control(raw) }}
	config.SetMultipathTCP(false) // its sockets do not support SO_BUF_LOCK
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := limitBacklog(l, backlog); err != nil {
		return nil, errors.Join(fmt.Errorf("limit the queue of connections that were not accepted: %w", err), l.Close())
	}
	return l, nil
}

func limitBacklog(l net.Listener, backlog int) error {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), backlog) })
	return errors.Join(err, listenErr)
}

// Control sets the smallest buffers on a socket before it connects or listens. Accepted
// connections inherit them.
func (s *Sockets) Control(raw syscall.RawConn) error {
	if s == nil {
		return nil
	}
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallestBuffer),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, smallestBuffer))
		// The handshake would otherwise limit the receive window to the smallest buffer for good.
		// Linux before 5.14 lacks the option; long transfers are slower there.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BUF_LOCK, 0)
	})
	return errors.Join(err, setErr)
}

// Wrap bounds the buffers of a connection that was accepted from a listener of Listen, or opened
// with Control. Other connections are returned as they are.
func (s *Sockets) Wrap(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if s == nil || !ok {
		return conn
	}
	return s.WrapTCP(tcp)
}

// WrapTCP is Wrap for a TCP connection.
func (s *Sockets) WrapTCP(tcp *net.TCPConn) *Socket {
	c := &Socket{TCPConn: tcp, sockets: s}
	if s == nil {
		c.closed = true // it holds nothing of a budget
		return c
	}
	c.receive.size, c.send.size, c.held = smallestBuffer, smallestBuffer, SocketCost
	s.budget.Force(SocketCost) // the number of connections is bounded
	_ = tcp.SetReadBuffer(smallestBuffer)
	_ = tcp.SetWriteBuffer(smallestBuffer) // a broken connection fails at its next use
	return c
}

// Socket is a TCP connection with bounded buffers in the kernel.
type Socket struct {
	*net.TCPConn
	sockets       *Sockets
	receive, send window

	mu     sync.Mutex
	held   int64 // of the budget
	closed bool  // nothing is held any more
}

// Read reads from the connection.
func (c *Socket) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.send.turn()
		c.grow(&c.receive, n, c.SetReadBuffer)
	}
	return n, err
}

// Write writes to the connection. It writes long data piece by piece, so that the buffer grows
// with what the other side has received.
func (c *Socket) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:]
		if limit := int(2 * c.send.size); limit > 0 && len(piece) > limit {
			piece = piece[:limit]
		}
		n, err := c.TCPConn.Write(piece)
		written += n
		if n > 0 {
			c.receive.turn()
			c.grow(&c.send, n, c.SetWriteBuffer)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// grow enlarges a buffer after a transfer of n bytes, if the budget holds the larger one.
func (c *Socket) grow(w *window, n int, resize func(bytes int) error) {
	if c.sockets == nil {
		return
	}
	size := w.transfer(n)
	if size == 0 {
		return
	}
	cost := (size - w.size) * kernelFactor
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.sockets.budget.Take(cost) {
		return
	}
	c.held += cost
	w.size = size
	_ = resize(int(size)) // a broken connection fails at its next use
}

// Close closes the connection and returns what it holds of the budget.
func (c *Socket) Close() error {
	c.mu.Lock()
	held := c.held
	c.held, c.closed = 0, true
	c.mu.Unlock()
	if c.sockets != nil {
		c.sockets.budget.Release(held)
	}
	return c.TCPConn.Close()
}

// tcpConn returns the TCP connection below a connection, or nil.
func tcpConn(conn net.Conn) *net.TCPConn {
	switch c := conn.(type) {
	case *net.TCPConn:
		return c
	case *Socket:
		return c.TCPConn
	}
	return nil
}
