package proxy

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"bramleymill/fleet"
	"bramleymill/settings"
	"bramleymill/strictjson"
)

// rawBackend is a backend server whose script writes the bytes of each answer. The
// script is called with the number of the request, starting at 1. When the script
// returns false, the connection is closed.
type rawBackend struct {
	listener net.Listener
	requests atomic.Int32
}

func newRawBackend(t testing.TB, script func(c net.Conn, r *http.Request, n int32) bool) *rawBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &rawBackend{listener: l}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			context.AfterFunc(ctx, func() { _ = conn.Close() })
			go b.serve(conn, script)
		}
	}()
	return b
}

func (b *rawBackend) serve(conn net.Conn, script func(net.Conn, *http.Request, int32) bool) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil || !script(conn, r, b.requests.Add(1)) {
			return
		}
	}
}

// use configures a node to use the raw backend server.
func (b *rawBackend) use(c *Config) {
	c.Backend = &settings.Backend{Service: "shop", Address: b.listener.Addr().String(), Slots: 10, Connections: 32,
		QueueLength: 20, HealthPath: "/health", CheckEvery: strictjson.Duration(time.Second)}
}

// write writes text to c and reports whether that succeeded.
func write(c net.Conn, text string) bool {
	_, err := c.Write([]byte(text))
	return err == nil
}

// countingBackend is a backend server that counts the requests that it runs.
type countingBackend struct {
	runs atomic.Int32
	next http.Handler
}

func (b *countingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.runs.Add(1)
	b.next.ServeHTTP(w, r)
}

// forward sends a request to the peer handler of n with the certificate of the node
// entry.
func (n *node) forward(t testing.TB, entry, method string, m fleet.CallMeta) *http.Response {
	t.Helper()
	return n.forwardTo(t, "/x", entry, method, m)
}

func (n *node) forwardTo(t testing.TB, path, entry, method string, m fleet.CallMeta) *http.Response {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: n.cluster.issue(entry).PeerClient(), DisableKeepAlives: true}}
	req := httptest.NewRequest(method, "https://"+n.peer.Listener.Addr().String()+path, nil)
	req.RequestURI = ""
	v, err := fleet.EncodeHeader(&m)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(fleet.HeaderCallMeta, v)
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// meta returns the metadata of a first attempt whose target is n.
func (n *node) meta(entry string) fleet.CallMeta {
	return fleet.CallMeta{RequestID: entry + ".1.1", Class: "order", Attempt: 1, Remaining: 10 * time.Second, Depth: 1,
		Target: n.name, Incarnation: n.config.Incarnation, EntryNode: fleet.NodeID(entry), Urgency: fleet.UrgencyNormal}
}
