// Package freeport finds loopback ports for tests and local deployments whose
// processes read their ports from settings and so cannot ask for port 0.
//
// Ports that the system hands out for port 0 and for outgoing connections lie in
// its ephemeral range. A port from that range that is free now may be taken by
// any outgoing connection before a process listens on it, so that only ports
// below the range are returned.
package freeport

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	lowest  = 15000
	highest = 32000 // the ephemeral range of Linux begins at 32768
	tries   = 2000
)

// ErrNone is returned when too many ports in a row are taken.
var ErrNone = errors.New("no free port found")

var (
	mu    sync.Mutex
	given = map[int]bool{}
)

// Address returns a loopback address whose port is free for TCP and UDP and was
// not returned to this process before.
func Address() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range tries {
		port := lowest + rand.IntN(highest-lowest)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if given[port] || !free(address) {
			continue
		}
		given[port] = true
		return address, nil
	}
	return "", ErrNone
}

func free(address string) bool {
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
