package transport

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Kind identifies the type of a message. Each package that defines messages uses a
// separate range of kinds.
type Kind uint16

// The first kind of the range of each package.
const (
	FirstRaftKind    Kind = 100
	FirstMemberKind  Kind = 200
	FirstClaimKind   Kind = 300
	FirstConfigKind  Kind = 400
	FirstSuspectKind Kind = 500
	FirstExplainKind Kind = 600
	FirstProbeKind   Kind = 700
	FirstQuotaKind   Kind = 800
)

// MaxMessageBytes is the largest encoded size of the payload of a message.
const MaxMessageBytes = 1 << 20

// Peer is the authenticated sender of a message.
type Peer struct {
	Node    fleet.NodeID
	Role    fleet.Role
	Address string
}

// Client sends a message to the node at a peer address and waits for the reply.
// Call returns an *errkind.Error if the remote handler returned one, and an error
// that wraps ErrNotSent if the remote handler did not run. After any other error the
// remote handler may or may not have run.
type Client interface {
	Call(ctx context.Context, address string, kind Kind, request, reply any) error
}

type rawHandler func(ctx context.Context, from Peer, payload []byte) ([]byte, error)

// Mux maps kinds to handlers. All handlers must be registered before the first call
// of Dispatch.
type Mux struct {
	handlers map[Kind]rawHandler
}

// NewMux returns an empty Mux.
func NewMux() *Mux { return &Mux{handlers: map[Kind]rawHandler{}} }

// Handle registers f for messages of kind k.
func Handle[Request, Reply any](m *Mux, k Kind, f func(ctx context.Context, from Peer, r *Request) (*Reply, error)) {
	m.handlers[k] = func(ctx context.Context, from Peer, payload []byte) ([]byte, error) {
		var r Request
		if err := cbor.Unmarshal(payload, &r); err != nil {
			return nil, errkind.New(errkind.BadRequest, "decode message kind %d: %w", k, err)
		}
		reply, err := f(ctx, from, &r)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(reply)
	}
}

// Dispatch decodes payload, runs the handler of kind k and returns its encoded reply.
func (m *Mux) Dispatch(ctx context.Context, from Peer, k Kind, payload []byte) ([]byte, error) {
	h, ok := m.handlers[k]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "no handler for message kind %d", k)
	}
	if len(payload) > MaxMessageBytes {
		return nil, errkind.New(errkind.BodyTooLarge, "message kind %d has %d bytes, limit %d", k, len(payload), MaxMessageBytes)
	}
	reply, err := h(ctx, from, payload)
	if err != nil {
		return nil, fmt.Errorf("message kind %d: %w", k, err)
	}
	return reply, nil
}
