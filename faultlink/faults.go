package faultlink

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Direction is the way a datagram travels.
type Direction uint8

// The directions, as seen from the sender that began.
const (
	Forward  Direction = iota // to the node behind the link
	Backward                  // from the node behind the link
)

// Faults states what happens to datagrams.
type Faults struct {
	Drop      float64 // probability
	Duplicate float64 // probability
	Delay     time.Duration
	Jitter    time.Duration // added to Delay, uniformly distributed
}

// Cut drops everything.
var Cut = Faults{Drop: 1}

type rule struct {
	source    string // empty: any
	direction Direction
}

type faults struct {
	mu    sync.Mutex
	rng   *rand.Rand
	rules map[rule]Faults
}

func newFaults(seed uint64) *faults {
	return &faults{rng: rand.New(rand.NewPCG(seed, 0)), rules: map[rule]Faults{}}
}

func (f *faults) set(source string, d Direction, v Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rules[rule{source, d}] = v
}

func (f *faults) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.rules)
}

// copyDelays returns the delays of the copies of one datagram. No copy is sent when it
// is dropped.
func (f *faults) copyDelays(source string, d Direction) []time.Duration {
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

func (f *faults) delay(v Faults) time.Duration {
	if v.Jitter <= 0 {
		return v.Delay
	}
	return v.Delay + time.Duration(f.rng.Int64N(int64(v.Jitter)))
}

// isCut reports whether a direction drops everything for any sender.
func (f *faults) isCut(d Direction) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rules[rule{"", d}].Drop >= 1
}
