package freeport

import (
	"net"
	"os/exec"
	"strconv"
	"sync"
	"testing"
)

// Guards against a port in the ephemeral range, which may be assigned to an outgoing
// connection, so that a process fails to start, and against returning a port twice.
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
			t.Fatalf("address %s: returned before = %v, want a new port below 32768", a, seen[a])
		}
		seen[a] = true
	}
}

// Guards against two processes that get the same port before either of them listens on
// it. A failure test could not bind a port that a concurrent test had been given.
func TestReturnedPortIsLocked(t *testing.T) {
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
		t.Fatalf("port %d could be locked a second time, want it to be locked", port)
	}
}

// Guards against a port that cannot be bound because a child process that was started
// during the check still has copies of the sockets of the check.
func TestPortsCanBeBoundWhileProcessesStart(t *testing.T) {
	// Before the first child process, package os starts one without the fork lock to
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

// Guards against a pair whose second port is also returned to another caller.
func TestPairReservesBothPorts(t *testing.T) {
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
		t.Errorf("ports %d and %d are not both reserved", port, port+1)
	}
}
