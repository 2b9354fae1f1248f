package faultlink

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// echo starts a UDP and TCP server that sends back what it receives, and returns its
// address.
func echo(t *testing.T) string {
	t.Helper()
	u, l := listenBoth(t)
	go func() {
		b := make([]byte, 100)
		for {
			n, from, err := u.ReadFrom(b)
			if err != nil {
				return
			}
			u.WriteTo(b[:n], from)
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	return u.LocalAddr().String()
}

// listenBoth listens on the same port for UDP and TCP.
func listenBoth(t *testing.T) (net.PacketConn, net.Listener) {
	t.Helper()
	for {
		u, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", u.LocalAddr().String())
		if err != nil {
			u.Close()
			continue
		}
		t.Cleanup(func() { u.Close(); l.Close() })
		return u, l
	}
}

func open(t *testing.T) *Link {
	t.Helper()
	l, err := Open("127.0.0.1:0", echo(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// Guards against a link without faults that loses or changes UDP or TCP traffic.
func TestForwardsTraffic(t *testing.T) {
	l := open(t)
	for _, network := range []string{"udp", "tcp"} {
		c, err := net.Dial(network, l.Address())
		if err != nil {
			t.Fatal(err)
		}
		c.Write([]byte("hello"))
		b := make([]byte, 5)
		if _, err := io.ReadFull(c, b); err != nil || string(b) != "hello" {
			t.Errorf("%s through a link without faults: received %q, error %v, want \"hello\"", network, b, err)
		}
		c.Close()
	}
}

// Guards against a cut of one sender that also affects other senders or the other
// direction.
func TestCutAffectsOnlyItsSenderAndDirection(t *testing.T) {
	f := newDatagramFaults(1)
	f.set("a", Forward, Cut)
	if got := f.copyDelays("a", Forward); len(got) != 0 {
		t.Errorf("datagram of the cut sender: %d copies sent, want 0", len(got))
	}
	if got := f.copyDelays("a", Backward); len(got) != 1 {
		t.Errorf("datagram to the cut sender, in the other direction: %d copies sent, want 1", len(got))
	}
	if got := f.copyDelays("b", Forward); len(got) != 1 {
		t.Errorf("datagram of another sender: %d copies sent, want 1", len(got))
	}
	f.set("", Forward, Faults{Duplicate: 1, Delay: time.Second})
	if got := f.copyDelays("b", Forward); len(got) != 2 || got[0] != time.Second {
		t.Errorf("duplicated and delayed datagram: delays of its copies = %v, want 2 copies after 1s", got)
	}
	f.clear()
	if got := f.copyDelays("a", Forward); len(got) != 1 || got[0] != 0 {
		t.Errorf("datagram after clear: delays of its copies = %v, want 1 copy after 0s", got)
	}
}

// Guards against a held direction that closes connections or loses their data, and
// against a reset that leaves connections open.
func TestHeldDirectionDeliversAfterHeal(t *testing.T) {
	l := open(t)
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	l.Hold(Forward)
	c.Write([]byte("hello"))
	if err := c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 5)
	if n, err := c.Read(b); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read through a held link: %d bytes, error %v, want 0 bytes and a timeout", n, err)
	}
	l.Heal()
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "hello" {
		t.Errorf("read after Heal: received %q, error %v, want \"hello\"", b, err)
	}
	l.Reset()
	if _, err := c.Read(b); err == nil {
		t.Error("read after Reset: no error, want one because the connection is closed")
	}
}
