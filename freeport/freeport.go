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
	lowest  = 15000 // of tests
	middle  = 25000 // of scripts, which cannot keep locks
	highest = 32000 // the ephemeral range of Linux begins at 32768
	tries   = 2000
)

// ErrNone is returned when too many ports in a row are taken.
var ErrNone = errors.New("no free port found")

var (
	mu    sync.Mutex
	given = map[int]*os.File{} // locks, held until the process ends
)

// Address returns a loopback address whose port is free for TCP and UDP and was
// not returned to this process before.
func Address() (string, error) { return between(lowest, middle) }

// ScriptAddress is like Address for a process that ends before the port is used.
// Its ports come from a range of their own.
func ScriptAddress() (string, error) { return between(middle, highest) }

// Pair is like Address for two consecutive ports, the first of which it returns.
func Pair() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range tries {
		port := lowest + rand.IntN(middle-1-lowest)
		first, err := take(port)
		if err != nil {
			return "", err
		}
		if first == "" {
			continue
		}
		second, err := take(port + 1)
		if err != nil {
			return "", err
		}
		if second != "" {
			return first, nil
		}
	}
	return "", ErrNone
}

func between(lowest, highest int) (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range tries {
		address, err := take(lowest + rand.IntN(highest-lowest))
		if address != "" || err != nil {
			return address, err
		}
	}
	return "", ErrNone
}

// take returns the address of a port, or nothing when the port is in use. The
// caller holds mu.
func take(port int) (string, error) {
	address := fmt.Sprintf("127.0.0.1:%d", port)
	if given[port] != nil {
		return "", nil
	}
	f, err := lock(port)
	if f == nil || err != nil {
		return "", err
	}
	if !free(address) {
		return "", f.Close()
	}
	given[port] = f
	return address, nil
}

// lock takes a port for this process. It returns nil when another process has it.
func lock(port int) (*os.File, error) {
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

// free holds the fork lock, because a process that is started meanwhile keeps a
// copy of the listening sockets until it executes its program.
func free(address string) bool {
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
