package faultlink

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Direction is the direction of traffic through a Link.
type Direction uint8

// The directions, as seen by the sender of the first datagram or the opener of the
// connection.
const (
	Forward  Direction = iota // to the node behind the link
	Backward                  // from the node behind the link
)

// Faults configures the faults of datagrams.
type Faults struct {
	Drop      float64       // probability that a datagram is dropped
	Duplicate float64       // probability that a datagram is sent twice
	Delay     time.Duration // delay of each copy
	Jitter    time.Duration // upper bound of a random, uniformly distributed addition to Delay
}

// Cut drops all datagrams.
var Cut = Faults{Drop: 1}

type rule struct {
	source    string // empty for all senders without a separate rule
	direction Direction
}

// datagramFaults contains the faults of datagrams by sender and direction.
type datagramFaults struct {
	mu    sync.Mutex
	rng   *rand.Rand
	rules map[rule]Faults
}

func newDatagramFaults(seed uint64) *datagramFaults {
	return &datagramFaults{rng: rand.New(rand.NewPCG(seed, 0)), rules: map[rule]Faults{}}
}

func (f *datagramFaults) set(source string, d Direction, v Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rules[rule{source, d}] = v
}

func (f *datagramFaults) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.rules)
}

// copyDelays returns the delay of each copy of one datagram that is to be sent: none if
// it is dropped, and two if it is duplicated.
func (f *datagramFaults) copyDelays(source string, d Direction) []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.rules[rule{source, d}]
	if !ok {
		v = f.rules[rule{"", d}]
	}
	if f.rng.Float64() < v.Drop {
		return nil
	}
	delays := []time.Duration{f.delay(v)}
	if f.rng.Float64() < v.Duplicate {
		delays = append(delays, f.delay(v))
	}
	return delays
}

func (f *datagramFaults) delay(v Faults) time.Duration {
	if v.Jitter <= 0 {
		return v.Delay
	}
	return v.Delay + time.Duration(f.rng.Int64N(int64(v.Jitter)))
}

// isCut reports whether a direction drops all datagrams of senders without a separate
// rule.
func (f *datagramFaults) isCut(d Direction) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rules[rule{"", d}].Drop >= 1
}
