package freeport

import (
	"net"
	"strconv"
	"testing"
)

// Guards against a port that an outgoing connection may take, which made
// processes fail to start, and against giving a port twice.
func TestPortsAreBelowTheEphemeralRange(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		a, err := Address()
		if err != nil {
			t.Fatal(err)
		}
		_, text, _ := net.SplitHostPort(a)
		port, _ := strconv.Atoi(text)
		if seen[a] || port >= 32768 {
			t.Fatalf("address %s: given before %v", a, seen[a])
		}
		seen[a] = true
	}
}

// Guards against two processes that get the same port before either listens: a
// failure test could not bind a port that a test beside it was given.
func TestPortIsLocked(t *testing.T) {
	a, err := Address()
	if err != nil {
		t.Fatal(err)
	}
	_, text, _ := net.SplitHostPort(a)
	port, _ := strconv.Atoi(text)
	f, err := lock(port)
	if err != nil {
		t.Fatal(err)
	}
	if f != nil {
		f.Close()
		t.Fatalf("port %d could be locked a second time", port)
	}
}
