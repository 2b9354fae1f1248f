package freeport

import (
	"net"
	"os/exec"
	"strconv"
	"sync"
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
	f, err := lockPort(port)
	if err != nil {
		t.Fatal(err)
	}
	if f != nil {
		f.Close()
		t.Fatalf("port %d could be locked a second time", port)
	}
}

// Guards against a port that cannot be bound because a process that was started
// during the check still holds the sockets of the check.
func TestPortsCanBeBoundWhileProcessesStart(t *testing.T) {
	// Before the first process, package os starts one without the fork lock to
	// find out what the system supports.
	if err := exec.Command("true").Run(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	var starting sync.WaitGroup
	for range 4 {
		starting.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					exec.Command("true").Run()
				}
			}
		})
	}
	for range 400 {
		a, err := Address()
		if err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", a)
		if err != nil {
			t.Error(err)
			break
		}
		l.Close()
	}
	close(done)
	starting.Wait()
}

// Guards against a pair whose second port is given to someone else.
func TestPairTakesBothPorts(t *testing.T) {
	first, err := Pair()
	if err != nil {
		t.Fatal(err)
	}
	_, text, err := net.SplitHostPort(first)
	if err != nil {
		t.Fatal(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	defer mu.Unlock()
	if reserved[port] == nil || reserved[port+1] == nil {
		t.Errorf("ports %d and %d are not both taken", port, port+1)
	}
}
