package benchmark

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/quic-go/quic-go"

	"bramleymill/keys"
)

// hopTimeout is the time limit of one call.
const hopTimeout = 10 * time.Second

var errAnswerLength = errors.New("answer has the wrong length")

// hopClient calls a hop server over one protocol.
type hopClient struct {
	name  string
	call  func(ctx context.Context) error
	close func()
	usage func(ctx context.Context) ([]byte, error) // queries the processor time of the server; nil for QUIC
}

// newHopClients returns a client for each protocol. HTTP/1.1 is the first, since the
// first client is also used to query the processor time of the server.
func newHopClients(ctx context.Context, s *keys.Store, addresses HopAddresses, callers int) ([]*hopClient, error) {
	q, err := newQUICClient(ctx, s, addresses.QUIC)
	if err != nil {
		return nil, fmt.Errorf("connect over QUIC: %w", err)
	}
	return []*hopClient{
		newHTTPClient("HTTP/1.1", addresses.HTTP1, withProtocol(s.PeerClient(), protocolHTTP1), callers),
		newHTTPClient("HTTP/2", addresses.HTTP2, withProtocol(s.PeerClient(), protocolHTTP2), callers),
		q,
	}, nil
}

// withProtocol returns a copy of c that offers only the given application protocol.
func withProtocol(c *tls.Config, protocol string) *tls.Config {
	c = c.Clone()
	c.NextProtos = []string{protocol}
	return c
}

func newHTTPClient(name, address string, c *tls.Config, callers int) *hopClient {
	isHTTP2 := c.NextProtos[0] == protocolHTTP2
	transport := &http.Transport{
		TLSClientConfig: c, ForceAttemptHTTP2: isHTTP2,
		MaxIdleConnsPerHost: callers + 1, DisableCompression: true,
	}
	client := &http.Client{Transport: transport, Timeout: hopTimeout}
	get := func(ctx context.Context, path string) ([]byte, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+address+path, nil)
		if err != nil {
			return nil, err
		}
		resp, err := client.Do(req)
		if err != nil {
			return nil, err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK || (resp.ProtoMajor == 2) != isHTTP2 {
			return nil, fmt.Errorf("unexpected answer %s over %s", resp.Status, resp.Proto)
		}
		return io.ReadAll(resp.Body)
	}
	return &hopClient{
		name: name,
		call: func(ctx context.Context) error {
			body, err := get(ctx, "/answer")
			return checkAnswer(body, err)
		},
		close: transport.CloseIdleConnections,
		usage: func(ctx context.Context) ([]byte, error) { return get(ctx, usagePath) },
	}
}

func checkAnswer(body []byte, err error) error {
	if err == nil && len(body) != hopAnswerBytes {
		err = fmt.Errorf("%w: got %d bytes", errAnswerLength, len(body))
	}
	return err
}

// serverProcessorTime returns the processor time that the server process has used.
func (h *hopClient) serverProcessorTime(ctx context.Context) (time.Duration, error) {
	body, err := h.usage(ctx)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseInt(string(body), 10, 64)
	return time.Duration(n) * time.Microsecond, err
}

// newQUICClient returns a client that makes all calls over one QUIC connection.
func newQUICClient(ctx context.Context, s *keys.Store, address string) (*hopClient, error) {
	conn, err := quic.DialAddr(ctx, address, withProtocol(s.QUICClient(), protocolQUIC), hopQUICConfig())
	if err != nil {
		return nil, err
	}
	request := make([]byte, hopRequestBytes)
	return &hopClient{
		name:  "QUIC",
		call:  func(ctx context.Context) error { return callStream(ctx, conn, request) },
		close: func() { _ = conn.CloseWithError(0, "") },
	}, nil
}

// callStream makes one call on a new stream.
func callStream(ctx context.Context, conn *quic.Conn, request []byte) error {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return err
	}
	if err := stream.SetDeadline(time.Now().Add(hopTimeout)); err != nil {
		return err
	}
	if _, err := stream.Write(request); err != nil {
		return err
	}
	if err := stream.Close(); err != nil {
		return err
	}
	body, err := io.ReadAll(stream)
	return checkAnswer(body, err)
}
