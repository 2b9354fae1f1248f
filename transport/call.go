package transport

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/quic-go/quic-go"
)

// Call sends a message on its own stream and waits for the reply.
func (e *Endpoint) Call(ctx context.Context, address string, kind Kind, request, reply any) error {
	e.stats.calls.Add(1)
	left := time.Duration(0)
	if t, ok := ctx.Deadline(); ok {
		left = time.Until(t)
		if left <= 0 {
			return fmt.Errorf("call %s kind %d: %w: %w", address, kind, ErrNotSent, context.DeadlineExceeded)
		}
	}
	b, err := encodeRequest(kind, left, request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	var answer []byte
	if address == e.address {
		answer, err = e.callSelf(ctx, b)
	} else {
		answer, err = e.exchange(ctx, address, b)
	}
	if err != nil {
		e.stats.failed.Add(1)
		return fmt.Errorf("call %s kind %d: %w", address, kind, err)
	}
	return DecodeReply(answer, reply)
}

// callSelf runs the handler of a message that the node sends to itself.
func (e *Endpoint) callSelf(ctx context.Context, b []byte) ([]byte, error) {
	if !e.beginHandler() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrClosed)
	}
	defer e.activeHandlers.Done()
	k, _, payload, err := decodeRequest(b)
	if err != nil {
		return nil, err
	}
	return EncodeReply(e.mux.Dispatch(ctx, e.selfPeer(), k, payload)), nil
}

func (e *Endpoint) exchange(ctx context.Context, address string, b []byte) ([]byte, error) {
	l, s, err := e.open(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	heard := l.conn.ConnectionStats().PacketsReceived
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(streamCodeCancelled)
		s.CancelWrite(streamCodeCancelled)
	})
	defer stop()
	answer, err := e.roundTrip(s, b)
	if err != nil {
		e.closeIfUnresponsive(ctx, l, heard)
		if cause := ctx.Err(); cause != nil {
			err = cause
		}
		return nil, err
	}
	return answer, nil
}

// open opens a stream. A pooled connection may have ended without notice to the
// pool, so that a failure on it is followed by one attempt on a new connection.
func (e *Endpoint) open(ctx context.Context, address string) (*link, *quic.Stream, error) {
	for attempt := 0; ; attempt++ {
		l, err := e.link(ctx, address)
		if err != nil {
			return nil, nil, err
		}
		if l.keyGeneration != e.keys.Generation() && attempt == 0 {
			// Messages move to a connection that shows the new certificate to the
			// peer, which may soon trust no other.
			e.removeLink(l)
			continue
		}
		heard := l.conn.ConnectionStats().PacketsReceived
		s, err := l.conn.OpenStreamSync(ctx)
		if err == nil {
			return l, s, nil
		}
		if ctx.Err() != nil || attempt > 0 {
			e.closeIfUnresponsive(ctx, l, heard)
			return nil, nil, err
		}
		e.removeLink(l)
	}
}

func (e *Endpoint) roundTrip(s *quic.Stream, b []byte) ([]byte, error) {
	if _, err := s.Write(b); err != nil {
		s.CancelRead(streamCodeCancelled)
		return nil, fmt.Errorf("send: %w", err)
	}
	e.stats.sent.Add(uint64(len(b)))
	if err := s.Close(); err != nil {
		s.CancelRead(streamCodeCancelled)
		return nil, fmt.Errorf("send: %w", err)
	}
	answer, err := readAll(s, replyHeaderBytes+MaxMessageBytes)
	if err != nil {
		s.CancelRead(streamCodeTooLarge)
		return nil, fmt.Errorf("receive reply: %w", err)
	}
	e.stats.received.Add(uint64(len(answer)))
	return answer, nil
}

// closeIfUnresponsive closes a connection on which nothing arrived during a whole call
// that ran out of time: the peer has restarted, moved or become unreachable, and
// a new dial finds out sooner than the idle timeout.
func (e *Endpoint) closeIfUnresponsive(ctx context.Context, l *link, heard uint64) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && l.conn.ConnectionStats().PacketsReceived == heard {
		e.closeUnresponsive(l)
	}
}

func (e *Endpoint) serveStream(l *link, s *quic.Stream) {
	defer l.releaseStream(s)
	if !e.beginHandler() {
		s.CancelRead(streamCodeCancelled)
		s.CancelWrite(streamCodeCancelled)
		return
	}
	defer e.activeHandlers.Done()
	_ = s.SetReadDeadline(time.Now().Add(defaultDeadline))
	b, err := readAll(s, requestHeaderBytes+MaxMessageBytes)
	if err != nil {
		code := streamCodeCancelled
		if errors.Is(err, ErrTooLarge) {
			code = streamCodeTooLarge
			e.logger.Warn("control message refused", "node", l.peer.Node, "remote", l.peer.Address, "error", err)
		}
		s.CancelRead(code)
		s.CancelWrite(code)
		return
	}
	e.stats.received.Add(uint64(len(b)))
	k, left, payload, err := decodeRequest(b)
	if err != nil {
		s.CancelWrite(streamCodeMalformed)
		return
	}
	e.handleRequest(l, s, k, left, payload)
}

func (e *Endpoint) handleRequest(l *link, s *quic.Stream, k Kind, left time.Duration, payload []byte) {
	if left == 0 {
		left = defaultDeadline
	}
	// The context of the stream ends when the sender gives up.
	ctx, cancel := context.WithTimeout(s.Context(), left)
	defer cancel()
	e.stats.served.Add(1)
	out := EncodeReply(e.mux.Dispatch(ctx, l.peer, k, payload))
	_ = s.SetWriteDeadline(time.Now().Add(defaultDeadline))
	if _, err := s.Write(out); err != nil {
		s.CancelWrite(streamCodeCancelled)
		return
	}
	e.stats.sent.Add(uint64(len(out)))
	_ = s.Close()
}
