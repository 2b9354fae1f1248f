package guard

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against buffers that grow for a client that lets data wait, and against long transfers
// that stay as slow as the smallest buffer makes them.
func TestWindow(t *testing.T) {
	w := window{size: smallestBuffer}
	for range 100 { // requests and answers by turns
		if size := w.transfer(smallestBuffer); size != 0 {
			t.Fatalf("buffer grows to %d bytes by short requests, want it to stay", size)
		}
		w.turn()
	}
	for range 1000 { // a long body
		if size := w.transfer(smallestBuffer); size != 0 {
			if size > largestBuffer || size <= w.size {
				t.Fatalf("buffer of %d bytes becomes %d, want more, at most %d", w.size, size, largestBuffer)
			}
			w.size = size
		}
	}
	if w.size != largestBuffer {
		t.Errorf("buffer after a long body = %d bytes, want %d", w.size, largestBuffer)
	}
}

// pair returns both ends of a connection to a listener of s. The client has sent more than the
// kernel holds before the connection is accepted.
func pair(t *testing.T, s *Sockets) (client, server net.Conn) {
	t.Helper()
	l, err := s.Listen("127.0.0.1:0", 4)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	sendUntilBlocked(t, client)
	raw, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	server = s.Wrap(raw)
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}

// sendUntilBlocked writes until the other side has not read for a while.
func sendUntilBlocked(t *testing.T, c net.Conn) {
	t.Helper()
	const total = 64 << 20
	_ = c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := c.Write(make([]byte, total)); err == nil {
		t.Fatalf("%d bytes were written to a connection that nobody reads, want a time-out", n)
	}
	_ = c.SetWriteDeadline(time.Time{})
}

func unreadBytes(t *testing.T, c net.Conn) int {
	t.Helper()
	raw, err := tcpConn(c).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	if err := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }); err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against a client that makes the kernel hold megabytes of what the process does not read
// or of what the client itself does not read, before and after its connection is accepted.
func TestSocketHoldsLittle(t *testing.T) {
	s := NewSockets(1 << 20)
	client, server := pair(t, s)
	if n := unreadBytes(t, server); n == 0 || n > BacklogCost {
		t.Errorf("%d bytes wait in a connection that was not accepted, want at most %d", n, BacklogCost)
	}
	if _, err := io.CopyN(io.Discard, server, 1<<10); err != nil {
		t.Fatal(err)
	}
	sendUntilBlocked(t, client)
	if n := unreadBytes(t, server); n > BacklogCost {
		t.Errorf("%d bytes wait in a connection of which 1 KiB was read, want at most %d", n, BacklogCost)
	}
	sendUntilBlocked(t, server)
	if used := s.Budget().Used(); used > s.Budget().Limit() {
		t.Errorf("connection holds %d bytes of the budget, want at most its limit of %d", used, s.Budget().Limit())
	}
	_ = server.Close()
	_ = server.Close()
	if used := s.Budget().Used(); used != 0 {
		t.Errorf("closed connection holds %d bytes of the budget, want 0", used)
	}
}

// Guards against a long transfer that takes more than the budget, or that does not go on without
// it.
func TestSocketGrowsWithinBudget(t *testing.T) {
	const length = 8 << 20
	for name, c := range map[string]struct {
		budget  int64
		largest int64 // buffer in bytes
	}{
		"enough":    {4 << 20, largestBuffer},
		"exhausted": {SocketCost, smallestBuffer},
	} {
		s := NewSockets(c.budget)
		client, server := pair(t, s)
		go func() { _, _ = client.Write(make([]byte, length)) }() // an error shows as missing bytes
		if _, err := io.CopyN(io.Discard, server, length); err != nil {
			t.Fatalf("%s: long transfer: %v", name, err)
		}
		if size := server.(*Socket).receive.size; size != c.largest {
			t.Errorf("%s: buffer after a long transfer = %d bytes, want %d", name, size, c.largest)
		}
		if used := s.Budget().Used(); used > c.budget {
			t.Errorf("%s: %d bytes of the budget are used, want at most %d", name, used, c.budget)
		}
	}
}
