package proxy

import (
	"net"
	"testing"
	"time"

	"bramleymill/guard"
)

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(); _ = s.Close() })
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// A request does not run if its connection was closed before any byte of it was
// written. Guards against counting the failed write, which would make the outcome of the
// request unknown.
func TestRefusedWriteDoesNotCount(t *testing.T) {
	for _, tt := range []struct {
		name  string
		close func(c, s *net.TCPConn)
	}{
		{"reset", func(c, s *net.TCPConn) { _ = s.SetLinger(0); _ = s.Close() }},
		{"closed here", func(c, s *net.TCPConn) { _ = c.Close() }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			client, server := tcpPair(t)
			conn := newLink(client)
			if _, err := conn.Write([]byte("first")); err != nil {
				t.Fatal(err)
			}
			before := conn.Writes()
			tt.close(client, server)
			awaitUnusable(t, conn)
			if n, err := conn.Write([]byte("request")); n != 0 || err == nil {
				t.Fatalf("write on a closed connection: wrote %d bytes, error = %v; want 0 bytes and an error", n, err)
			}
			if !conn.Unwritten(before) {
				t.Error("after a write that sent no byte: Unwritten returned false, want true")
			}
			if _, err := conn.Write([]byte("late")); err == nil {
				t.Error("write to a connection for which Unwritten has returned true: no error, want an error")
			}
		})
	}
}

// Guards against treating an accepted write as not written.
func TestAcceptedWriteCounts(t *testing.T) {
	client, server := tcpPair(t)
	conn := newLink(client)
	before := conn.Writes()
	if _, err := conn.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	_ = server.Close() // resets the connection, because there are unread bytes
	awaitUnusable(t, conn)
	_, _ = conn.Write([]byte("more"))
	if conn.Unwritten(before) {
		t.Error("after an accepted write: Unwritten returned true, want false")
	}
}

func awaitUnusable(t *testing.T, l *link) {
	t.Helper()
	for l.usable() {
		if t.Context().Err() != nil {
			t.Fatal("connection closed by the peer: usable() = true until the end of the test, want false")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a connection that counts as usable after the server has closed it,
// or as closed while it is open.
func TestEndOfIdleConnectionIsDetected(t *testing.T) {
	client, server := tcpPair(t)
	conn := newLink(&usedConn{Socket: (*guard.Sockets)(nil).WrapTCP(client), spares: newSpares("", 1, nil)})
	if !conn.usable() {
		t.Error("usable() = false for an open connection, want true")
	}
	_ = server.Close()
	awaitUnusable(t, conn)
}
