package transport_test

import (
	"context"
	"crypto/tls"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"bramleymill/clock"
	"bramleymill/fleet"
	"bramleymill/keys"
	"bramleymill/transport"
)

// Guards against a rotation that needs a restart, and against an authority that
// stays trusted on connections made before it was removed.
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
	// The clock of the stores moves past the interval between two looks at the files.
	clk := clock.NewManual(time.Now())
	c := open(t, loadStore(t, f, "control-1", clk))
	n := open(t, loadStore(t, f, "katalog-1", clk))
	behind := open(t, loadStore(t, old, "katalog-1", clk))
	works := func(step string, from *transport.Endpoint, want bool) {
		t.Helper()
		clk.Advance(2 * time.Second)
		if _, err := call(t, from, c, echo{Text: "x"}); (err == nil) != want {
			t.Errorf("%s: error %v, want success %v", step, err, want)
		}
	}
	works("before", n, true)
	works("before", behind, true)
	if err := keys.TrustNext(f, keys.Options{}); err != nil {
		t.Fatal(err)
	}
	works("two authorities", n, true)
	works("two authorities", behind, true)
	if _, err := keys.Reissue(f, keys.Options{}); err != nil {
		t.Fatal(err)
	}
	works("reissued", n, true)
	if err := keys.DropPrevious(f); err != nil {
		t.Fatal(err)
	}
	works("previous dropped, on its connection", behind, false)
	works("previous dropped", n, true)
	works("previous dropped, on a new connection", behind, false)
	fresh := open(t, loadStore(t, f, "katalog-1", clk))
	works("new process", fresh, true)
}

// Guards against a peer that ignores the size limit on sending.
func TestOversizeFromWireIsRefused(t *testing.T) {
	f := newFolder(t, "katalog-1", "control-1")
	c := open(t, loadStore(t, f, "control-1", nil))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := quic.DialAddr(ctx, c.Address(), rawTLS(t, f), nil)
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
			t.Error("oversize message was answered")
		}
	}
	if n := c.Stats().Served; n != 0 {
		t.Errorf("oversize message reached a handler")
	}
}

func rawTLS(t *testing.T, folder string) *tls.Config {
	t.Helper()
	s, err := keys.Load(keys.Config{Files: keys.FilesOf(folder, fleet.NodeID("katalog-1"))})
	if err != nil {
		t.Fatal(err)
	}
	return s.QUICClient()
}
