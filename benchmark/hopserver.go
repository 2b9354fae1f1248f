package benchmark

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"

	"bramleymill/keys"
)

const (
	hopAnswerBytes  = 512
	hopRequestBytes = 64   // of a call on a QUIC stream, which has no header fields
	hopStreams      = 1000 // concurrent QUIC streams of a connection
	usagePath       = "/usage"
	protocolHTTP1   = "http/1.1"
	protocolHTTP2   = "h2"
	protocolQUIC    = "bramleymill-bench/1"
)

// HopAddresses are the addresses of a hop server, one for each protocol.
type HopAddresses struct{ HTTP1, HTTP2, QUIC string }

// HopServer answers calls with 512 bytes over every protocol.
type HopServer struct {
	one, two net.Listener
	quic     *quic.Listener
}

// ListenHop opens the listeners of a hop server.
func ListenHop(s *keys.Store, a HopAddresses) (*HopServer, error) {
	one, err := tls.Listen("tcp", a.HTTP1, withServerProtocol(s.PeerServer(), protocolHTTP1))
	if err != nil {
		return nil, err
	}
	two, err := tls.Listen("tcp", a.HTTP2, withServerProtocol(s.PeerServer(), protocolHTTP2))
	if err != nil {
		return nil, errors.Join(err, one.Close())
	}
	q, err := quic.ListenAddr(a.QUIC, withServerProtocol(s.QUICServer(), protocolQUIC), hopQUICConfig())
	if err != nil {
		return nil, errors.Join(err, one.Close(), two.Close())
	}
	return &HopServer{one: one, two: two, quic: q}, nil
}

// Serve answers calls until ctx ends and closes the listeners.
func (h *HopServer) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, l := range []net.Listener{h.one, h.two} {
		server := &http.Server{Handler: hopHandler(), ReadHeaderTimeout: 10 * time.Second}
		group.Go(func() error {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		group.Go(func() error {
			<-ctx.Done()
			return server.Close()
		})
	}
	group.Go(func() error { return serveQUIC(ctx, h.quic) })
	group.Go(func() error {
		<-ctx.Done()
		return h.quic.Close()
	})
	return group.Wait()
}

// withServerProtocol replaces the application protocol of a configuration that
// is looked up for each handshake.
func withServerProtocol(c *tls.Config, protocol string) *tls.Config {
	c = c.Clone()
	c.NextProtos = []string{protocol}
	lookup := c.GetConfigForClient
	c.GetConfigForClient = func(h *tls.ClientHelloInfo) (*tls.Config, error) {
		one, err := lookup(h)
		if err == nil {
			one.NextProtos = []string{protocol}
		}
		return one, err
	}
	return c
}

func hopHandler() http.Handler {
	answer := bytes.Repeat([]byte{'x'}, hopAnswerBytes)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /answer", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
	mux.HandleFunc("GET "+usagePath, func(w http.ResponseWriter, _ *http.Request) {
		used, err := processorTime()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		fmt.Fprint(w, used.Microseconds())
	})
	return mux
}

func hopQUICConfig() *quic.Config {
	return &quic.Config{MaxIncomingStreams: hopStreams, MaxIdleTimeout: time.Minute, KeepAlivePeriod: 10 * time.Second}
}

func serveQUIC(ctx context.Context, l *quic.Listener) error {
	answer := bytes.Repeat([]byte{'x'}, hopAnswerBytes)
	for {
		conn, err := l.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		go func() {
			for {
				stream, err := conn.AcceptStream(ctx)
				if err != nil {
					return
				}
				go answerStream(stream, answer)
			}
		}()
	}
}

// answerStream answers one call. An incomplete call gets no answer, which the
// client reports.
func answerStream(s *quic.Stream, answer []byte) {
	request, err := io.ReadAll(io.LimitReader(s, hopRequestBytes+1))
	if err != nil || len(request) != hopRequestBytes {
		s.CancelWrite(1)
		return
	}
	if _, err := s.Write(answer); err == nil {
		_ = s.Close()
	}
}

// processorTime returns the user and system time of this process.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
