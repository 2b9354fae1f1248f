package transport_test

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"bramleymill/transport"
)

// Datagrams and QUIC packets arrive on the same socket. Guards against datagrams that do
// not reach ServeDatagrams, against calls that fail while datagrams arrive, and against a
// sender address to which no reply can be sent.
func TestDatagramsAndCallsShareSocket(t *testing.T) {
	folder := newFolder(t, "a", "b")
	a, b := open(t, loadStore(t, folder, "a", nil)), open(t, loadStore(t, folder, "b", nil))
	replies := make(chan string, 1)
	serve := func(e *transport.Endpoint, f func(from string, payload []byte)) {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- e.ServeDatagrams(ctx, f) }()
		t.Cleanup(func() {
			cancel()
			if err := <-ended; !errors.Is(err, context.Canceled) {
				t.Errorf("ServeDatagrams after the end of its context returned %v, want context.Canceled", err)
			}
		})
	}
	serve(b, func(from string, payload []byte) {
		if err := b.SendDatagram(from, append([]byte("re: "), payload...)); err != nil {
			t.Error(err)
		}
	})
	serve(a, func(_ string, payload []byte) { replies <- string(payload) })
	// Datagrams may be lost, for example before ServeDatagrams runs, so send until a
	// reply arrives.
	for received := false; !received; {
		if err := a.SendDatagram(b.Address(), []byte("hello")); err != nil {
			t.Fatal(err)
		}
		var reply echo
		if err := a.Call(t.Context(), b.Address(), kindEcho, &echo{Text: "x"}, &reply); err != nil || reply.Text != "a node x" {
			t.Fatalf("call while datagrams are sent: reply %q, error %v, want reply \"a node x\"", reply.Text, err)
		}
		select {
		case text := <-replies:
			received = true
			if text != "re: hello" {
				t.Errorf("datagram in reply to \"hello\" = %q, want \"re: hello\"", text)
			}
		default:
		}
	}
}

// Guards against a datagram that is truncated or fragmented because it exceeds the size
// limit, and against a malformed address.
func TestInvalidDatagramIsNotSent(t *testing.T) {
	folder := newFolder(t, "a")
	a := open(t, loadStore(t, folder, "a", nil))
	if err := a.SendDatagram(a.Address(), bytes.Repeat([]byte{1}, transport.MaxDatagramBytes)); err == nil {
		t.Error("SendDatagram accepted a datagram above the size limit, want an error")
	}
	if err := a.SendDatagram("nowhere", []byte("x")); err == nil {
		t.Error("SendDatagram accepted a malformed address, want an error")
	}
}
