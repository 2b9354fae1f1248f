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
			return nil, errkind.New(errkind.QueueFull, "message from %s refused", from.Node)
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

// Guards against a network that treats a lost request like a lost reply: after a lost
// request the handler must not have run, and after a lost reply it must have run.
func TestOneWayCuts(t *testing.T) {
	n, a, handled := pair(1)
	if got, err := call(a, 1); got != 2 || err != nil {
		t.Fatalf("call without faults: reply %d, error %v, want reply 2 and no error", got, err)
	}
	n.Cut("a", "b")
	if _, err := call(a, 1); !errors.Is(err, memory.ErrLost) || *handled != 1 {
		t.Errorf("request lost: error %v, requests handled so far = %d; want ErrLost and 1", err, *handled)
	}
	n.Heal("a", "b")
	n.Cut("b", "a")
	if _, err := call(a, 1); !errors.Is(err, memory.ErrLost) || *handled != 2 {
		t.Errorf("reply lost: error %v, requests handled so far = %d; want ErrLost and 2", err, *handled)
	}
	n.Reconnect("a")
	var kind *errkind.Error
	if _, err := call(a, -1); !errors.As(err, &kind) || kind.Kind != errkind.QueueFull {
		t.Errorf("call whose handler fails: error %v, want error kind %s", err, errkind.QueueFull)
	}
	n.Leave("b")
	if _, err := call(a, 1); !errors.Is(err, transport.ErrNotSent) || errors.As(err, new(*errkind.Error)) {
		t.Errorf("call after Leave: error %v, want %v without an error kind", err, transport.ErrNotSent)
	}
}

// Guards against faults that differ between two runs with the same seed.
func TestSameSeedRepeatsFaults(t *testing.T) {
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
	if secondLost, secondHandled := history(7); secondLost != lost || secondHandled != handled {
		t.Errorf("first run: %d calls lost, %d requests handled; second run with the same seed: %d and %d, want the same numbers", lost, handled, secondLost, secondHandled)
	}
	if lost == 0 || handled <= 200-lost {
		t.Errorf("with faults: %d of 200 calls lost, %d requests handled; want some calls lost and some requests handled twice", lost, handled)
	}
}
