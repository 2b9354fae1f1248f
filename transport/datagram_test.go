package transport_test

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"bramleymill/transport"
)

// Guards against datagrams that are lost among the packets of QUIC on the same
// socket, or that disturb them, and against the address of a sender that cannot be
// answered.
func TestDatagramsShareTheSocketOfCalls(t *testing.T) {
	folder := newFolder(t, "a", "b")
	a, b := open(t, loadStore(t, folder, "a", nil)), open(t, loadStore(t, folder, "b", nil))
	got := make(chan string, 1)
	serve := func(e *transport.Endpoint, f func(from string, payload []byte)) {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- e.ServeDatagrams(ctx, f) }()
		t.Cleanup(func() {
			cancel()
			if err := <-ended; !errors.Is(err, context.Canceled) {
				t.Errorf("serving datagrams ended with %v", err)
			}
		})
	}
	serve(b, func(from string, payload []byte) {
		if err := b.SendDatagram(from, append([]byte("re: "), payload...)); err != nil {
			t.Error(err)
		}
	})
	serve(a, func(_ string, payload []byte) { got <- string(payload) })
	// A datagram may be lost, also one that arrives before the receiver serves.
	for received := false; !received; {
		if err := a.SendDatagram(b.Address(), []byte("hello")); err != nil {
			t.Fatal(err)
		}
		var reply echo
		if err := a.Call(t.Context(), b.Address(), kindEcho, &echo{Text: "x"}, &reply); err != nil || reply.Text != "a node x" {
			t.Fatalf("call beside datagrams: %q, %v", reply.Text, err)
		}
		select {
		case text := <-got:
			received = true
			if text != "re: hello" {
				t.Errorf("received %q", text)
			}
		default:
		}
	}
}

// Guards against a datagram that is cut off or split on its way.
func TestDatagramTooLargeIsNotSent(t *testing.T) {
	folder := newFolder(t, "a")
	a := open(t, loadStore(t, folder, "a", nil))
	if err := a.SendDatagram(a.Address(), bytes.Repeat([]byte{1}, transport.MaxDatagramBytes)); err == nil {
		t.Error("a datagram over the limit was sent")
	}
	if err := a.SendDatagram("nowhere", []byte("x")); err == nil {
		t.Error("a datagram to a malformed address was sent")
	}
}
