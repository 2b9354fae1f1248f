package replica

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"bramleymill/transport"
)

// healthRequest asks a process for the problems of its replicas.
type healthRequest struct{}

type healthReply struct {
	Problems []string `cbor:"1,keyasint,omitempty"`
}

// Problems returns what keeps the replicas of this process from working, such as
// a disk that hangs or has failed, in the order of the groups.
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

// ProblemsAt returns the problems of another process.
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
