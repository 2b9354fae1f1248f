package transport

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/quic-go/quic-go"
)

// Call sends a message on a new stream to the endpoint at address, waits for the
// reply and decodes it into reply.
func (e *Endpoint) Call(ctx context.Context, address string, kind Kind, request, reply any) error {
	e.stats.calls.Add(1)
	remaining := time.Duration(0)
	if t, ok := ctx.Deadline(); ok {
		remaining = time.Until(t)
		if remaining <= 0 {
			return fmt.Errorf("call %s kind %d: %w: %w", address, kind, ErrNotSent, context.DeadlineExceeded)
		}
	}
	b, err := encodeRequest(kind, remaining, request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	var encodedReply []byte
	if address == e.address {
		encodedReply, err = e.callSelf(ctx, b)
	} else {
		encodedReply, err = e.exchange(ctx, address, b)
	}
	if err != nil {
		e.stats.failed.Add(1)
		return fmt.Errorf("call %s kind %d: %w", address, kind, err)
	}
	return DecodeReply(encodedReply, reply)
}

// callSelf runs the handler of a message that the node sends to itself, without
// using the network.
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

// exchange sends an encoded request to another endpoint and returns the encoded reply.
func (e *Endpoint) exchange(ctx context.Context, address string, b []byte) ([]byte, error) {
	l, s, err := e.open(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	packetsBefore := l.conn.ConnectionStats().PacketsReceived
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(streamCodeCancelled)
		s.CancelWrite(streamCodeCancelled)
	})
	defer stop()
	encodedReply, err := e.roundTrip(s, b)
	if err != nil {
		e.closeIfUnresponsive(ctx, l, packetsBefore)
		if cause := ctx.Err(); cause != nil {
			err = cause
		}
		return nil, err
	}
	e.admission.receive(l.accepted)
	return encodedReply, nil
}

// open opens a stream to an address. A pooled connection may already be closed by the
// peer, so a failure on the first connection is followed by one attempt on a new
// connection.
func (e *Endpoint) open(ctx context.Context, address string) (*link, *quic.Stream, error) {
	for attempt := 0; ; attempt++ {
		l, err := e.link(ctx, address)
		if err != nil {
			return nil, nil, err
		}
		if l.keyGeneration != e.keys.Generation() && attempt == 0 {
			// The connection was made with an earlier certificate. Dial a new one,
			// because the peer may soon accept only the new certificate.
			e.removeLink(l)
			continue
		}
		packetsBefore := l.conn.ConnectionStats().PacketsReceived
		s, err := l.conn.OpenStreamSync(ctx)
		if err == nil {
			return l, s, nil
		}
		if ctx.Err() != nil || attempt > 0 {
			e.closeIfUnresponsive(ctx, l, packetsBefore)
			return nil, nil, err
		}
		e.removeLink(l)
	}
}

func (e *Endpoint) roundTrip(s *quic.Stream, b []byte) ([]byte, error) {
	if _, err := s.Write(b); err != nil {
		s.CancelRead(streamCodeCancelled)
		return nil, sendError(err)
	}
	e.stats.bytesSent.Add(uint64(len(b)))
	if err := s.Close(); err != nil {
		s.CancelRead(streamCodeCancelled)
		return nil, sendError(err)
	}
	encodedReply, err := readAll(s, replyHeaderBytes+MaxMessageBytes)
	if err != nil {
		s.CancelRead(streamCodeTooLarge)
		if notHandled(err) {
			return nil, sendError(err)
		}
		return nil, fmt.Errorf("receive reply: %w", err)
	}
	e.stats.bytesReceived.Add(uint64(len(encodedReply)))
	return encodedReply, nil
}

// sendError returns the error for a request that was not sent completely, or that the peer has
// given up before it handled it.
func sendError(err error) error {
	if notHandled(err) {
		return fmt.Errorf("%w: the memory of the peer for control messages is used up: %w", ErrNotSent, err)
	}
	return fmt.Errorf("send request: %w", err)
}

// notHandled reports whether the peer has given up the request for lack of memory.
func notHandled(err error) bool {
	var e *quic.StreamError
	return errors.As(err, &e) && e.Remote && e.ErrorCode == streamCodeNoMemory
}

// closeIfUnresponsive closes a connection if ctx reached its deadline and no packet
// arrived on the connection since packetsBefore was read. The peer has probably
// restarted, changed its address or become unreachable, and a new dial detects this
// sooner than the idle timeout does.
func (e *Endpoint) closeIfUnresponsive(ctx context.Context, l *link, packetsBefore uint64) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && l.conn.ConnectionStats().PacketsReceived == packetsBefore {
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
	refuse := func(code quic.StreamErrorCode) {
		s.CancelRead(code)
		s.CancelWrite(code)
	}
	m := e.memory.begin(func() { refuse(streamCodeNoMemory) })
	defer m.end()
	_ = s.SetReadDeadline(time.Now().Add(defaultDeadline))
	b, err := m.read(s, requestHeaderBytes+MaxMessageBytes)
	switch {
	case errors.Is(err, ErrTooLarge):
		e.logger.Warn("control message refused", "node", l.peer.Node, "remote", l.peer.Address, "error", err)
		refuse(streamCodeTooLarge)
		return
	case errors.Is(err, errNoMemory):
		e.logBound("control message refused", l.conn.RemoteAddr(), err)
		refuse(streamCodeNoMemory)
		return
	case err != nil:
		refuse(streamCodeCancelled)
		return
	}
	e.admission.receive(l.accepted)
	e.stats.bytesReceived.Add(uint64(len(b)))
	k, remaining, payload, err := decodeRequest(b)
	if err != nil {
		s.CancelWrite(streamCodeMalformed)
		return
	}
	e.handleRequest(l, s, m, k, remaining, payload)
}

func (e *Endpoint) handleRequest(l *link, s *quic.Stream, m *message, k Kind, remaining time.Duration, payload []byte) {
	if remaining == 0 {
		remaining = defaultDeadline
	}
	// The context of the stream ends when the sender cancels the call.
	ctx, cancel := context.WithTimeout(s.Context(), remaining)
	defer cancel()
	e.stats.served.Add(1)
	out := EncodeReply(e.mux.Dispatch(ctx, l.peer, k, payload))
	if !m.reply(len(out), func() { s.CancelWrite(streamCodeCancelled) }) {
		e.logBound("reply to a control message given up", l.conn.RemoteAddr(), errNoMemory)
		s.CancelWrite(streamCodeCancelled)
		return
	}
	_ = s.SetWriteDeadline(time.Now().Add(defaultDeadline))
	if _, err := s.Write(out); err != nil {
		s.CancelWrite(streamCodeCancelled)
		return
	}
	e.stats.bytesSent.Add(uint64(len(out)))
	_ = s.Close()
}
