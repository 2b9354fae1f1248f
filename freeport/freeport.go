// Package freeport finds loopback ports for tests and local deployments whose
// processes read their ports from settings and so cannot ask for port 0.
//
// Ports that the system hands out for port 0 and for outgoing connections lie in
// its ephemeral range. A port from that range that is free now may be taken by
// any outgoing connection before a process listens on it, so that only ports
// below the range are returned. A process keeps a lock on each port that it was
// given, so that test processes that run side by side do not get the same one.
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
	testRangeStart  = 15000 // of tests
	scriptRangeStart  = 25000 // of scripts, which cannot keep locks
	scriptRangeEnd = 32000 // the ephemeral range of Linux begins at 32768
	maxAttempts   = 2000
)

// ErrNoFreePort is returned when too many ports in a row are taken.
var ErrNoFreePort = errors.New("no free port found")

var (
	mu    sync.Mutex
	reserved = map[int]*os.File{} // locks, held until the process ends
)

// Address returns a loopback address whose port is free for TCP and UDP and was
// not returned to this process before.
func Address() (string, error) { return reserveInRange(testRangeStart, scriptRangeStart) }

// ScriptAddress is like Address for a process that ends before the port is used.
// Its ports come from a range of their own.
func ScriptAddress() (string, error) { return reserveInRange(scriptRangeStart, scriptRangeEnd) }

// Pair is like Address for two consecutive ports, the first of which it returns.
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

func reserveInRange(lowest, highest int) (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range maxAttempts {
		address, err := reserve(lowest + rand.IntN(highest-lowest))
		if address != "" || err != nil {
			return address, err
		}
	}
	return "", ErrNoFreePort
}

// reserve returns the address of a port, or nothing when the port is in use. The
// caller holds mu.
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

// lockPort takes a port for this process. It returns nil when another process has it.
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

// isFree holds the fork lock, because a process that is started meanwhile keeps a
// copy of the listening sockets until it executes its program.
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
