package memory_test

import (
	"context"
	"errors"
	"testing"

	"bramleymill/errkind"
	"bramleymill/transport"
	"bramleymill/transport/memory"
)

type number struct {
	N int `cbor:"1,keyasint"`
}

// pair connects "a" and "b"; b counts the messages that it handles.
func pair(seed uint64) (*memory.Network, transport.Client, *int) {
	handled := 0
	m := transport.NewMux()
	transport.Handle(m, 1, func(_ context.Context, from transport.Peer, r *number) (*number, error) {
		handled++
		if r.N < 0 {
			return nil, errkind.New(errkind.QueueFull, "from %s", from.Node)
		}
		return &number{r.N + 1}, nil
	})
	n := memory.New(memory.Config{Seed: seed})
	a := n.Join(transport.Peer{Node: "a", Address: "a"}, transport.NewMux())
	n.Join(transport.Peer{Node: "b", Address: "b"}, m)
	return n, a, &handled
}

func call(c transport.Client, n int) (int, error) {
	var reply number
	err := c.Call(context.Background(), "b", 1, &number{n}, &reply)
	return reply.N, err
}

// Guards against faults that tests cannot tell apart: a lost request did not run,
// a lost reply did.
func TestOneWayCuts(t *testing.T) {
	n, a, handled := pair(1)
	if got, err := call(a, 1); got != 2 || err != nil {
		t.Fatalf("reply %d, error %v", got, err)
	}
	n.Cut("a", "b")
	if _, err := call(a, 1); !errors.Is(err, memory.ErrLost) || *handled != 1 {
		t.Errorf("request cut: error %v, %d handled", err, *handled)
	}
	n.Heal("a", "b")
	n.Cut("b", "a")
	if _, err := call(a, 1); !errors.Is(err, memory.ErrLost) || *handled != 2 {
		t.Errorf("reply cut: error %v, %d handled", err, *handled)
	}
	n.Reconnect("a")
	var kind *errkind.Error
	if _, err := call(a, -1); !errors.As(err, &kind) || kind.Kind != errkind.QueueFull {
		t.Errorf("error %v, want kind %s", err, errkind.QueueFull)
	}
	n.Leave("b")
	if _, err := call(a, 1); !errors.Is(err, transport.ErrNotSent) || errors.As(err, new(*errkind.Error)) {
		t.Errorf("error %v, want %v", err, transport.ErrNotSent)
	}
}

// Guards against runs with the same seed that differ.
func TestFaultsRepeat(t *testing.T) {
	history := func(seed uint64) (lost, handled int) {
		n, a, count := pair(seed)
		n.SetFaults(memory.Faults{Drop: 0.3, Duplicate: 0.3})
		for i := range 200 {
			if _, err := call(a, i); err != nil {
				lost++
			}
		}
		return lost, *count
	}
	lost, handled := history(7)
	if again, count := history(7); again != lost || count != handled {
		t.Errorf("%d lost and %d handled, then %d and %d", lost, handled, again, count)
	}
	if lost == 0 || handled <= 200-lost {
		t.Errorf("%d of 200 calls lost, %d handled: faults missing", lost, handled)
	}
}
