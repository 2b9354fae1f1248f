package faultlink

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

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

// listenBoth binds one port for both protocols.
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

// Guards against a link that loses or changes traffic without faults, for both
// protocols.
func TestPassesTraffic(t *testing.T) {
	l := open(t)
	for _, network := range []string{"udp", "tcp"} {
		c, err := net.Dial(network, l.Address())
		if err != nil {
			t.Fatal(err)
		}
		c.Write([]byte("hello"))
		b := make([]byte, 5)
		if _, err := io.ReadFull(c, b); err != nil || string(b) != "hello" {
			t.Errorf("%s: %q %v", network, b, err)
		}
		c.Close()
	}
}

// Guards against a cut that also stops senders it was not meant for.
func TestCutOfOneSender(t *testing.T) {
	f := newFaults(1)
	f.set("a", Forward, Cut)
	if got := f.copyDelays("a", Forward); len(got) != 0 {
		t.Errorf("cut sender: %d copies", len(got))
	}
	if got := f.copyDelays("a", Backward); len(got) != 1 {
		t.Errorf("other direction: %d copies", len(got))
	}
	if got := f.copyDelays("b", Forward); len(got) != 1 {
		t.Errorf("other sender: %d copies", len(got))
	}
	f.set("", Forward, Faults{Duplicate: 1, Delay: time.Second})
	if got := f.copyDelays("b", Forward); len(got) != 2 || got[0] != time.Second {
		t.Errorf("duplicated: %v", got)
	}
	f.clear()
	if got := f.copyDelays("a", Forward); len(got) != 1 || got[0] != 0 {
		t.Errorf("healed: %v", got)
	}
}

// Guards against a silent direction that ends connections, loses what they carry
// or silences the other direction too.
func TestHeldDirectionDeliversAfterItHeals(t *testing.T) {
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
		t.Fatalf("read %d bytes, error %v through a silent link", n, err)
	}
	l.Heal()
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "hello" {
		t.Errorf("after the end of the silence: %q %v", b, err)
	}
	l.Reset()
	if _, err := c.Read(b); err == nil {
		t.Error("the connection is not closed by a reset")
	}
}
