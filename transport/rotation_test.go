package transport_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"bramleymill/clock"
	"bramleymill/fleet"
	"bramleymill/keys"
	"bramleymill/transport"
)

// Guards against a rotation that needs a restart, and against open connections that
// continue to be accepted after their authority was removed.
func TestRotationWithoutRestart(t *testing.T) {
	f := newFolder(t, "katalog-1", "control-1")
	old := t.TempDir()
	for _, name := range []string{keys.AuthorityFile, "katalog-1.pem", "katalog-1.key"} {
		b, err := os.ReadFile(filepath.Join(f, name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(old, name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	// Each step advances the clock of the stores past the interval at which they check
	// their files.
	clk := clock.NewManual(time.Now())
	c := open(t, loadStore(t, f, "control-1", clk))
	n := open(t, loadStore(t, f, "katalog-1", clk))
	notReissued := open(t, loadStore(t, old, "katalog-1", clk))
	checkCall := func(step string, from *transport.Endpoint, want bool) {
		t.Helper()
		clk.Advance(2 * time.Second)
		if _, err := call(t, from, c, echo{Text: "x"}); (err == nil) != want {
			t.Errorf("%s: call error %v, want success = %v", step, err, want)
		}
	}
	checkCall("before the rotation", n, true)
	checkCall("before the rotation, process that will not be reissued", notReissued, true)
	if err := keys.TrustNext(f, keys.Options{}); err != nil {
		t.Fatal(err)
	}
	checkCall("two authorities", n, true)
	checkCall("two authorities, process that will not be reissued", notReissued, true)
	if _, err := keys.Reissue(f, keys.Options{}); err != nil {
		t.Fatal(err)
	}
	checkCall("reissued", n, true)
	if err := keys.DropPrevious(f); err != nil {
		t.Fatal(err)
	}
	checkCall("previous authority dropped, old certificate on open connection", notReissued, false)
	checkCall("previous authority dropped", n, true)
	checkCall("previous authority dropped, old certificate on new connection", notReissued, false)
	fresh := open(t, loadStore(t, f, "katalog-1", clk))
	checkCall("new process", fresh, true)
}

// Guards against an oversized message that reaches a handler because its sender does not
// apply the size limit.
func TestOversizedStreamIsRefused(t *testing.T) {
	f := newFolder(t, "katalog-1", "control-1")
	c := open(t, loadStore(t, f, "control-1", nil))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := quic.DialAddr(ctx, c.Address(), clientTLS(t, f), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.CloseWithError(0, "") }()
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		t.Fatal(err)
	}
	_ = s.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := s.Write(make([]byte, transport.MaxMessageBytes+100)); err == nil {
		err = s.Close()
		if err == nil {
			_, err = s.Read(make([]byte, 1))
		}
		if err == nil {
			t.Error("oversized message: received a reply, want a reset of the stream")
		}
	}
	if n := c.Stats().Served; n != 0 {
		t.Errorf("oversized message: it reached a handler, want it refused before a handler runs")
	}
}

func clientTLS(t *testing.T, folder string) *tls.Config {
	t.Helper()
	s, err := keys.Load(keys.Config{Files: keys.FilesOf(folder, fleet.NodeID("katalog-1"))})
	if err != nil {
		t.Fatal(err)
	}
	return s.QUICClient()
}

// Guards against a node that dials an unreachable peer for each message. It must wait for
// the back-off instead.
func TestDialBacksOff(t *testing.T) {
	f := newFolder(t, "katalog-1", "control-1")
	clk := clock.NewManual(time.Now())
	e, err := transport.NewEndpoint(echoMux(), transport.Config{Address: "127.0.0.1:0", Keys: loadStore(t, f, "katalog-1", nil), Clock: clk})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = e.Close(context.Background()) }()
	// This socket never replies.
	silentPeer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silentPeer.Close()
	callSilentPeer := func() {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		if err := e.Call(ctx, silentPeer.LocalAddr().String(), kindEcho, &echo{}, &echo{}); !errors.Is(err, transport.ErrNotSent) {
			t.Fatalf("call to a peer that never replies: error %v, want %v", err, transport.ErrNotSent)
		}
	}
	for range 3 {
		callSilentPeer()
	}
	if n := e.Stats().Dials; n != 1 {
		t.Errorf("dials for 3 calls during the back-off = %d, want 1", n)
	}
	clk.Advance(2 * time.Second)
	if callSilentPeer(); e.Stats().Dials != 2 {
		t.Errorf("dials after one more call past the back-off = %d, want 2", e.Stats().Dials)
	}
}

// Guards against a shutdown that interrupts a running handler, and against messages
// that are accepted during the shutdown.
func TestCloseWaitsForHandlers(t *testing.T) {
	f := newFolder(t, "katalog-1", "control-1")
	started, finish := make(chan struct{}), make(chan struct{})
	m := transport.NewMux()
	transport.Handle(m, kindEcho, func(context.Context, transport.Peer, *echo) (*echo, error) {
		close(started)
		<-finish
		return &echo{Text: "done"}, nil
	})
	const kindNothing transport.Kind = 2
	transport.Handle(m, kindNothing, func(context.Context, transport.Peer, *echo) (*echo, error) { return &echo{}, nil })
	c, err := transport.NewEndpoint(m, transport.Config{Address: "127.0.0.1:0", Keys: loadStore(t, f, "control-1", nil)})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = c.Serve(context.Background()) }()
	n := open(t, loadStore(t, f, "katalog-1", nil))
	replies := make(chan string, 1)
	go func() {
		got, _ := call(t, n, c, echo{})
		replies <- got
	}()
	<-started
	closed := make(chan error, 1)
	go func() { closed <- c.Close(context.Background()) }()
	for c.Call(context.Background(), c.Address(), kindNothing, &echo{}, &echo{}) == nil {
		runtime.Gosched()
	}
	close(finish)
	if err := <-closed; err != nil {
		t.Error(err)
	}
	if got := <-replies; got != "done" {
		t.Errorf("reply of a handler that was running when Close was called = %q, want \"done\"", got)
	}
}
