package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"time"

	"bramleymill/guard"
)

// Limits of the HTTP listeners.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 64 << 10
)

// maxBacklog is the number of connections that wait to be accepted at most. A process that is
// frozen for seconds does not accept any.
const maxBacklog = 256

// backlog returns the number of connections to a listener that wait to be accepted at most.
func backlog(connections int) int { return min(connections, maxBacklog) }

// listener is an HTTP listener that the node has opened.
type listener struct {
	name   string
	door   *guard.Door
	socket net.Listener
	server *http.Server
}

// listen binds an address but does not serve yet, so that a port that is in use is
// reported before any listener serves. Without a TLS configuration the listener serves plain
// HTTP, and the door bounds the heads and times of its connections.
func listen(g *guard.Guard, door guard.DoorConfig, address string, h http.Handler, tlsConfig *tls.Config, logger *slog.Logger) (*listener, error) {
	l, err := g.Sockets().Listen(address, backlog(door.Connections))
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", door.Name, err)
	}
	s := &http.Server{
		Handler:        guard.Handler(h),
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       log.New(io.Discard, "", 0),
		ConnState:      guard.ConnState,
	}
	door.Opaque = tlsConfig != nil
	guarded := g.Door(l, door)
	l = guarded
	if tlsConfig != nil {
		l = tls.NewListener(l, tlsConfig)
		s.ReadHeaderTimeout, s.IdleTimeout = readHeaderTimeout, idleTimeout
	}
	if logger.Enabled(context.Background(), slog.LevelDebug) {
		s.ErrorLog = slog.NewLogLogger(logger.Handler(), slog.LevelDebug)
	}
	return &listener{name: door.Name, door: guarded, socket: l, server: s}, nil
}

// serve answers requests until shutdown is called.
func (l *listener) serve() error {
	if err := l.server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", l.name, err)
	}
	return nil
}

// settleTime bounds the time for which a listener stays open to answer requests that were read
// behind others.
const settleTime = 500 * time.Millisecond

// shutdown closes the listener and waits for the requests in flight. If ctx ends first, it
// closes the connections of those that remain.
func (l *listener) shutdown(ctx context.Context) error {
	settled, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	l.door.Settle(settled)
	if err := l.server.Shutdown(ctx); err != nil {
		return errors.Join(fmt.Errorf("stop %s: %w", l.name, err), l.server.Close())
	}
	return nil
}
