// Package freeport finds free loopback ports for tests and local deployments whose
// processes read their ports from settings and therefore cannot listen on port 0.
//
// The system assigns ports from its ephemeral range to listeners on port 0 and to
// outgoing connections. A free port of that range may be assigned to an outgoing
// connection before a process listens on it. This package therefore returns only
// ports below the range. The process keeps a file lock on each port returned to it, so
// that test processes that run at the same time do not get the same port.
package freeport

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
)

const (
	testRangeStart   = 15000 // first port for tests
	scriptRangeStart = 25000 // first port for scripts, which cannot keep file locks
	scriptRangeEnd   = 32000 // the ephemeral range of Linux begins at 32768
	maxAttempts      = 2000
)

// ErrNoFreePort is returned when maxAttempts randomly chosen ports were all in use.
var ErrNoFreePort = errors.New("no free port found")

var (
	mu       sync.Mutex
	reserved = map[int]*os.File{} // file locks by port, kept until the process ends
)

// Address returns a loopback address whose port is free for both TCP and UDP and was
// not returned earlier to this process or another one that still runs.
func Address() (string, error) { return reserveInRange(testRangeStart, scriptRangeStart) }

// ScriptAddress is like Address, but for a process that ends before the port is used. The
// end of the process releases its file locks, so the ports are from a separate range.
func ScriptAddress() (string, error) { return reserveInRange(scriptRangeStart, scriptRangeEnd) }

// Pair is like Address, but reserves two consecutive ports. It returns the address of
// the first one.
func Pair() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range maxAttempts {
		port := testRangeStart + rand.IntN(scriptRangeStart-1-testRangeStart)
		first, err := reserve(port)
		if err != nil {
			return "", err
		}
		if first == "" {
			continue
		}
		second, err := reserve(port + 1)
		if err != nil {
			return "", err
		}
		if second != "" {
			return first, nil
		}
	}
	return "", ErrNoFreePort
}

func reserveInRange(start, end int) (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range maxAttempts {
		address, err := reserve(start + rand.IntN(end-start))
		if address != "" || err != nil {
			return address, err
		}
	}
	return "", ErrNoFreePort
}

// reserve locks a port and returns its address, or an empty string if the port is in
// use. The caller must hold mu.
func reserve(port int) (string, error) {
	address := fmt.Sprintf("127.0.0.1:%d", port)
	if reserved[port] != nil {
		return "", nil
	}
	f, err := lockPort(port)
	if f == nil || err != nil {
		return "", err
	}
	if !isFree(address) {
		return "", f.Close()
	}
	reserved[port] = f
	return address, nil
}

// lockPort locks a port for this process and returns the lock file, or nil if the port
// is already locked.
func lockPort(port int) (*os.File, error) {
	folder := filepath.Join(os.TempDir(), "bramleymill-ports")
	if err := os.MkdirAll(folder, 0o777); err != nil {
		return nil, fmt.Errorf("lock port: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(folder, strconv.Itoa(port)), os.O_CREATE|os.O_RDWR, 0o666)
	if err != nil {
		return nil, fmt.Errorf("lock port: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, nil
	}
	return f, nil
}

// isFree reports whether an address is free for TCP and UDP. It checks this by listening
// on the address and holds the fork lock during the check. Otherwise a child process that
// is started at that time would keep copies of the listening sockets until it executes
// its program.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer l.Close()
	u, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	u.Close()
	return true
}
