package faultlink

import (
	"io"
	"net"
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
	if got := f.plan("a", Forward); len(got) != 0 {
		t.Errorf("cut sender: %d copies", len(got))
	}
	if got := f.plan("a", Backward); len(got) != 1 {
		t.Errorf("other direction: %d copies", len(got))
	}
	if got := f.plan("b", Forward); len(got) != 1 {
		t.Errorf("other sender: %d copies", len(got))
	}
	f.set("", Forward, Faults{Duplicate: 1, Delay: time.Second})
	if got := f.plan("b", Forward); len(got) != 2 || got[0] != time.Second {
		t.Errorf("duplicated: %v", got)
	}
	f.clear()
	if got := f.plan("a", Forward); len(got) != 1 || got[0] != 0 {
		t.Errorf("healed: %v", got)
	}
}
