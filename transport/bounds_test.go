package transport

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"

	"bramleymill/clock"
)

// Guards against peers that fill the endpoint with connections: a connection that is in use must
// not be closed for a new one, and one without messages must not keep others out.
func TestAdmissionClosesTheMostExpendableConnection(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	closed := make(chan string, 4)
	a := newAdmission(3, k)
	open := func(name string, message bool) {
		t.Helper()
		c, err := a.enter()
		if err != nil {
			t.Fatalf("connection %s was refused: %v", name, err)
		}
		a.establish(c, func() { closed <- name })
		if message {
			a.receive(c)
		}
		k.Advance(expendableAge / 10)
	}
	expect := func(name string) {
		t.Helper()
		if got := <-closed; got != name {
			t.Errorf("connection %s was closed, want %s", got, name)
		}
	}
	open("in use", true)
	open("unused", false)
	open("unused later", false)
	open("new", true)
	expect("unused")
	open("newer", true)
	expect("unused later")
	if _, err := a.enter(); !errors.Is(err, errTooManyConnections) {
		t.Errorf("connection beside three in use: error %v, want %v", err, errTooManyConnections)
	}
	k.Advance(expendableAge)
	open("newest", true)
	expect("in use")
	if n := a.refusals(); n != 4 {
		t.Errorf("%d connections were refused or closed, want 4", n)
	}
}

// Guards against large unfinished messages that keep out small ones, and against memory that is
// not returned.
func TestMessageMemoryGivesUpTheHeaviestTransfer(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	m := newMessageMemory(64<<10, k)
	given := ""
	begin := func(name string) *message { return m.begin(func() { given += name }) }
	large, other := begin("large"), begin("other")
	if !large.grow(40<<10) || !other.grow(20<<10) {
		t.Fatal("messages that fit were refused")
	}
	k.Advance(time.Second)
	small := begin("small")
	if b, err := small.read(bytes.NewReader(make([]byte, 6<<10)), 8<<10); err != nil || len(b) != 6<<10 {
		t.Fatalf("small message beside large ones: %d bytes, error %v, want 6144 bytes", len(b), err)
	}
	if given != "large" || large.grow(1) {
		t.Errorf("given up: %q, want the largest transfer only", given)
	}
	if !other.handle() {
		t.Error("the message that was not given up cannot be handled")
	}
	if huge := begin("huge"); huge.grow(60 << 10) {
		t.Error("a message that is being handled was given up, want the new one refused")
	}
	for r := range m.messages {
		r.end()
	}
	large.end()
	if used := m.budget.Used(); used != 0 {
		t.Errorf("%d bytes are used after the last message, want 0", used)
	}
	if _, err := begin("long").read(io.LimitReader(zeros{}, 9<<10), 8<<10); !errors.Is(err, ErrTooLarge) {
		t.Errorf("message over the limit: error %v, want %v", err, ErrTooLarge)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }
