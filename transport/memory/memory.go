// Package memory connects transport.Muxes inside one process. Tests of other packages
// use it to run without sockets and with the same faults on each run.
//
// A call runs the handler on the goroutine of the caller. A call whose request or
// reply is lost fails immediately instead of at its deadline, so that tests can
// control time with a manual clock.
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

// ErrLost is returned when a request or its reply was lost. Like an exceeded
// deadline, which it wraps, it does not show whether the handler ran.
var ErrLost = fmt.Errorf("message lost: %w", context.DeadlineExceeded)

// Faults configures the faults of a Network.
type Faults struct {
	Drop      float64       // probability that a request or a reply is lost
	Duplicate float64       // probability that a request is handled twice
	MinDelay  time.Duration // minimum delay of each request and each reply
	MaxDelay  time.Duration // upper bound of the delay; if not above MinDelay, every delay is MinDelay
}

// Config configures a Network.
type Config struct {
	Seed uint64
	// Sleep waits for the delay of a message. If nil, it waits on the system clock.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Network connects the Muxes that joined it.
type Network struct {
	sleep func(ctx context.Context, d time.Duration) error

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	nodes    map[string]*node // by address
	cuts     map[path]bool
	received map[string]uint64 // number of requests that arrived, by address
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
		sleep:    c.Sleep,
		random:   rand.New(rand.NewPCG(c.Seed, 0)),
		nodes:    map[string]*node{},
		cuts:     map[path]bool{},
		received: map[string]uint64{},
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

// Join connects a Mux at the address of peer and returns a Client that sends as peer.
// It replaces a Mux that joined earlier at the same address.
func (n *Network) Join(peer transport.Peer, m *transport.Mux) transport.Client {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[peer.Address] = &node{peer: peer, mux: m}
	return &client{network: n, peer: peer}
}

// Leave disconnects the Mux at an address. Calls to the address then fail with
// transport.ErrNotSent.
func (n *Network) Leave(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, address)
}

// SetFaults replaces the faults of the network.
func (n *Network) SetFaults(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

// Cut makes the network lose every request and every reply that is sent from the address
// from to the address to. Messages in the other direction still pass.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[path{from, to}] = true
}

// Heal undoes a Cut in the same direction.
func (n *Network) Heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, path{from, to})
}

// Isolate cuts an address off from every other connected address, in both directions.
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

// Reconnect undoes every cut from or to an address, including those of Isolate.
func (n *Network) Reconnect(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.cuts {
		if p.from == address || p.to == address {
			delete(n.cuts, p)
		}
	}
}

// Received returns the number of requests that arrived at an address. A duplicated
// request counts once.
func (n *Network) Received(address string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.received[address]
}

type client struct {
	network *Network
	peer    transport.Peer
}

// Call implements transport.Client. It runs the remote handler before it returns.
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
	receiver, duplicate, err := c.network.receive(address)
	if err != nil {
		return err
	}
	encodedReply := transport.EncodeReply(receiver.mux.Dispatch(ctx, c.peer, kind, payload))
	if duplicate {
		_, _ = receiver.mux.Dispatch(ctx, c.peer, kind, payload)
	}
	if err := c.network.transmit(ctx, address, c.peer.Address); err != nil {
		return err
	}
	return transport.DecodeReply(encodedReply, reply)
}

// transmit passes one request or reply from one address to another: it returns ErrLost
// if the message is lost, and otherwise returns after its delay.
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

// receive counts a request at an address and returns the node there. duplicate states
// whether the request is handled twice.
func (n *Network) receive(address string) (receiver *node, duplicate bool, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t, ok := n.nodes[address]
	if !ok {
		return nil, false, fmt.Errorf("%w: no node has joined at %s", transport.ErrNotSent, address)
	}
	n.received[address]++
	return t, n.random.Float64() < n.faults.Duplicate, nil
}
