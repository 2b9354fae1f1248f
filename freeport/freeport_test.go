package freeport

import (
	"net"
	"os/exec"
	"strconv"
	"sync"
	"testing"
)

// Guards against a port in the ephemeral range. The system may assign it to an outgoing
// connection, and the process that is to listen on it then fails to start. Also guards
// against a port that is returned twice.
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
// it. The later one then cannot bind the port.
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
		t.Fatalf("returned port %d could be locked a second time, want it to be locked", port)
	}
}

// Guards against a port that cannot be bound after isFree has checked it. A child process
// that is started during the check may still have copies of the listening sockets.
func TestPortsCanBeBoundWhileProcessesStart(t *testing.T) {
	// Before the first child process, package os starts another one without the fork lock to
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
		t.Errorf("after Pair: ports %d and %d are not both reserved, want both reserved", port, port+1)
	}
}
