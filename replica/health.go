package replica

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"bramleymill/transport"
)

// healthRequest requests the problems of the replicas of a process.
type healthRequest struct{}

type healthReply struct {
	Problems []string `cbor:"1,keyasint,omitempty"`
}

// Problems describes what keeps the replicas of this process from working, such as a
// stalled or failed disk. It returns one text for each affected group, in the order
// of the group numbers.
func (h *Host) Problems() []string {
	h.mu.Lock()
	groups := maps.Clone(h.groups)
	h.mu.Unlock()
	var out []string
	for _, number := range slices.Sorted(maps.Keys(groups)) {
		if err := groups[number].Status().Err; err != nil {
			out = append(out, fmt.Sprintf("group %d: %v", number, err))
		}
	}
	return out
}

// ProblemsAt returns the problems of the process with the given peer address.
func (h *Host) ProblemsAt(ctx context.Context, address string) ([]string, error) {
	var reply healthReply
	err := h.client.Call(ctx, address, kindHealth, &healthRequest{}, &reply)
	return reply.Problems, err
}

func (h *Host) onHealth(_ context.Context, from transport.Peer, _ *healthRequest) (*healthReply, error) {
	if err := requireControlRole(from); err != nil {
		return nil, err
	}
	return &healthReply{Problems: h.Problems()}, nil
}
