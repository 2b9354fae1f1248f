// Package memory connects Muxes inside one process, so that tests of other
// packages run without sockets and see the same faults on each run.
//
// Calls run the handler on the goroutine of the caller. A lost message fails at
// once instead of waiting for its deadline, which leaves the passing of time to
// the clock of the test.
package memory

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleymill/transport"
)

// ErrLost is returned when a request or its reply was lost. It leaves open
// whether the handler ran, like the end of a deadline.
var ErrLost = fmt.Errorf("message lost: %w", context.DeadlineExceeded)

// Faults tell what happens to messages.
type Faults struct {
	Drop      float64 // probability that a request or a reply is lost
	Duplicate float64 // probability that a request is handled twice
	MinDelay  time.Duration
	MaxDelay  time.Duration // of a request and of a reply; zero: none
}

// Config configures a Network.
type Config struct {
	Seed uint64
	// Sleep passes the delay of a message. Nil: by the system clock.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Network connects the Muxes that have joined it.
type Network struct {
	sleep func(ctx context.Context, d time.Duration) error

	mu     sync.Mutex
	random *rand.Rand
	faults Faults
	nodes  map[string]*node
	cuts   map[path]bool
	received  map[string]uint64
}

type node struct {
	peer transport.Peer
	mux  *transport.Mux
}

type path struct{ from, to string }

// New returns an empty Network without faults.
func New(c Config) *Network {
	if c.Sleep == nil {
		c.Sleep = sleep
	}
	return &Network{
		sleep:  c.Sleep,
		random: rand.New(rand.NewPCG(c.Seed, 0)),
		nodes:  map[string]*node{},
		cuts:   map[path]bool{},
		received:  map[string]uint64{},
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Join connects a Mux at the address of peer and returns its Client. A Mux that
// joined at the address before is replaced.
func (n *Network) Join(peer transport.Peer, m *transport.Mux) transport.Client {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[peer.Address] = &node{peer: peer, mux: m}
	return &client{network: n, peer: peer}
}

// Leave disconnects an address. Calls to it fail without having been sent.
func (n *Network) Leave(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, address)
}

// SetFaults replaces the faults.
func (n *Network) SetFaults(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

// Cut loses everything sent from one address to another, in this direction only:
// requests of from, and replies of from to requests of to.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[path{from, to}] = true
}

// Heal undoes Cut.
func (n *Network) Heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, path{from, to})
}

// Isolate cuts an address from every other one in both directions.
func (n *Network) Isolate(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for a := range n.nodes {
		if a != address {
			n.cuts[path{a, address}] = true
			n.cuts[path{address, a}] = true
		}
	}
}

// Reconnect undoes every cut from and to an address.
func (n *Network) Reconnect(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.cuts {
		if p.from == address || p.to == address {
			delete(n.cuts, p)
		}
	}
}

// Received returns how many requests were handled at an address.
func (n *Network) Received(address string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.received[address]
}

type client struct {
	network *Network
	peer    transport.Peer
}

// Call implements transport.Client.
func (c *client) Call(ctx context.Context, address string, kind transport.Kind, request, reply any) error {
	payload, err := cbor.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode message kind %d: %w", kind, err)
	}
	if len(payload) > transport.MaxMessageBytes {
		return fmt.Errorf("%w: %w", transport.ErrNotSent, transport.ErrTooLarge)
	}
	if err := c.network.transmit(ctx, c.peer.Address, address); err != nil {
		return err
	}
	target, twice, err := c.network.receive(address)
	if err != nil {
		return err
	}
	answer := transport.EncodeReply(target.mux.Dispatch(ctx, c.peer, kind, payload))
	if twice {
		_, _ = target.mux.Dispatch(ctx, c.peer, kind, payload)
	}
	if err := c.network.transmit(ctx, address, c.peer.Address); err != nil {
		return err
	}
	return transport.DecodeReply(answer, reply)
}

// transmit carries one message in one direction.
func (n *Network) transmit(ctx context.Context, from, to string) error {
	n.mu.Lock()
	lost := n.cuts[path{from, to}] || n.random.Float64() < n.faults.Drop
	delay := n.faults.MinDelay
	if span := n.faults.MaxDelay - n.faults.MinDelay; span > 0 {
		delay += time.Duration(n.random.Int64N(int64(span)))
	}
	n.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	if lost {
		return ErrLost
	}
	if delay > 0 {
		return n.sleep(ctx, delay)
	}
	return nil
}

func (n *Network) receive(address string) (target *node, twice bool, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t, ok := n.nodes[address]
	if !ok {
		return nil, false, fmt.Errorf("%w: nobody at %s", transport.ErrNotSent, address)
	}
	n.received[address]++
	return t, n.random.Float64() < n.faults.Duplicate, nil
}
