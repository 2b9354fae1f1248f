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
	hopRequestBytes = 64       // size of a request over QUIC, in place of the header fields of an HTTP request
	hopStreams      = 1000     // limit of concurrent streams of a QUIC connection
	usagePath       = "/usage" // answers with the processor time of the server in microseconds
	protocolHTTP1   = "http/1.1"
	protocolHTTP2   = "h2"
	protocolQUIC    = "bramleymill-bench/1"
)

// HopAddresses are the addresses of a hop server, one for each protocol.
type HopAddresses struct{ HTTP1, HTTP2, QUIC string }

// HopServer answers calls over HTTP/1.1, HTTP/2 and QUIC with 512 bytes. All three
// protocols use mutual TLS.
type HopServer struct {
	http1, http2 net.Listener
	quic         *quic.Listener
}

// ListenHop opens the listeners of a hop server.
func ListenHop(s *keys.Store, addresses HopAddresses) (*HopServer, error) {
	http1, err := tls.Listen("tcp", addresses.HTTP1, withServerProtocol(s.PeerServer(), protocolHTTP1))
	if err != nil {
		return nil, err
	}
	http2, err := tls.Listen("tcp", addresses.HTTP2, withServerProtocol(s.PeerServer(), protocolHTTP2))
	if err != nil {
		return nil, errors.Join(err, http1.Close())
	}
	q, err := quic.ListenAddr(addresses.QUIC, withServerProtocol(s.QUICServer(), protocolQUIC), hopQUICConfig())
	if err != nil {
		return nil, errors.Join(err, http1.Close(), http2.Close())
	}
	return &HopServer{http1: http1, http2: http2, quic: q}, nil
}

// Serve answers calls until ctx ends and then closes the listeners.
func (h *HopServer) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, l := range []net.Listener{h.http1, h.http2} {
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

// withServerProtocol returns a copy of c that accepts only the given application
// protocol. It also sets the protocol in the configurations that GetConfigForClient
// returns for each handshake.
func withServerProtocol(c *tls.Config, protocol string) *tls.Config {
	c = c.Clone()
	c.NextProtos = []string{protocol}
	lookup := c.GetConfigForClient
	c.GetConfigForClient = func(h *tls.ClientHelloInfo) (*tls.Config, error) {
		config, err := lookup(h)
		if err == nil {
			config.NextProtos = []string{protocol}
		}
		return config, err
	}
	return c
}

func hopHandler() http.Handler {
	answer := bytes.Repeat([]byte{'x'}, hopAnswerBytes)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /answer", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
	mux.HandleFunc("GET "+usagePath, func(w http.ResponseWriter, _ *http.Request) {
		cpuTime, err := processorTime()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		fmt.Fprint(w, cpuTime.Microseconds())
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

// answerStream answers one call. If the request does not have the expected length, it
// aborts the stream, so that the call fails on the client.
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

// processorTime returns the user and system time that this process has used.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
