package faultlink

import (
	"io"
	"net"
	"sync"
)

// accept passes connections on. A cut in any direction closes connections and
// refuses new ones, because part of a TCP stream cannot be dropped.
func (l *Link) accept() {
	for {
		c, err := l.tcp.Accept()
		if err != nil {
			return
		}
		if l.faults.cut(Forward) || l.faults.cut(Backward) {
			c.Close()
			continue
		}
		l.done.Go(func() { l.carry(c) })
	}
}

func (l *Link) carry(c net.Conn) {
	t, err := net.Dial("tcp", l.target)
	if err != nil {
		c.Close()
		return
	}
	if !l.track(c, t) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { copyHalf(t, c) })
	both.Go(func() { copyHalf(c, t) })
	both.Wait()
	l.forget(c, t)
}

// copyHalf copies one direction and passes the end of the stream on.
func copyHalf(to, from net.Conn) {
	_, err := io.Copy(to, from)
	if half, ok := to.(*net.TCPConn); ok && err == nil {
		half.CloseWrite()
		return
	}
	to.Close()
	from.Close()
}

func (l *Link) track(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		if l.closed {
			c.Close()
			continue
		}
		l.conns[c] = struct{}{}
	}
	return !l.closed
}

func (l *Link) forget(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(l.conns, c)
	}
}

func (l *Link) closeConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
}
