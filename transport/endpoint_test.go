package transport_test

import (
	"context"
	"errors"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/keys"
	"bramleymill/transport"
)

const kindEcho transport.Kind = 1

type echo struct {
	Text string `cbor:"1,keyasint"`
	Fail string `cbor:"2,keyasint,omitempty"`
	Size int    `cbor:"3,keyasint,omitempty"`
}

func echoMux() *transport.Mux {
	m := transport.NewMux()
	transport.Handle(m, kindEcho, func(ctx context.Context, from transport.Peer, r *echo) (*echo, error) {
		switch {
		case r.Fail == "plain":
			return nil, errors.New("disk is full")
		case r.Fail != "":
			return nil, errkind.New(errkind.Kind(r.Fail), "requested failure")
		case r.Size > 0:
			return &echo{Text: strings.Repeat("a", r.Size)}, nil
		}
		return &echo{Text: string(from.Node) + " " + string(from.Role) + " " + r.Text}, nil
	})
	return m
}

// newFolder creates the key files of a fleet with the given names. A name that begins
// with "control" gets the control role.
func newFolder(t testing.TB, names ...string) string {
	t.Helper()
	folder := t.TempDir()
	if err := keys.InitAuthority(folder, keys.Options{}); err != nil {
		t.Fatal(err)
	}
	for _, n := range names {
		role := fleet.RoleNode
		if strings.HasPrefix(n, "control") {
			role = fleet.RoleControl
		}
		if err := keys.Issue(folder, fleet.NodeID(n), role, keys.Options{}); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

func loadStore(t testing.TB, folder, name string, c clock.Clock) *keys.Store {
	t.Helper()
	s, err := keys.Load(keys.Config{Files: keys.FilesOf(folder, fleet.NodeID(name)), Clock: c})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func open(t testing.TB, s *keys.Store) *transport.Endpoint {
	t.Helper()
	e, err := transport.NewEndpoint(echoMux(), transport.Config{Address: "127.0.0.1:0", Keys: s})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = e.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := e.Close(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return e
}

func call(t testing.TB, from, to *transport.Endpoint, r echo) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var reply echo
	err := from.Call(ctx, to.Address(), kindEcho, &r, &reply)
	return reply.Text, err
}

// Guards against handlers that receive a wrong identity of the sender, in either
// direction of a connection, and against a second connection for the reverse direction.
func TestHandlerReceivesIdentityOfSender(t *testing.T) {
	f := newFolder(t, "katalog-1", "control-1")
	n, c := open(t, loadStore(t, f, "katalog-1", nil)), open(t, loadStore(t, f, "control-1", nil))
	if got, err := call(t, n, c, echo{Text: "x"}); err != nil || got != "katalog-1 node x" {
		t.Fatalf("call from the node to the control instance: reply %q, error %v, want reply \"katalog-1 node x\" and no error", got, err)
	}
	if got, err := call(t, c, n, echo{Text: "y"}); err != nil || got != "control-1 control y" {
		t.Fatalf("call from the control instance to the node: reply %q, error %v, want reply \"control-1 control y\" and no error", got, err)
	}
	if d := c.Stats().Dials; d != 0 {
		t.Errorf("control instance dialled %d times, want 0 because the connection of its peer can be used", d)
	}
	if got, err := call(t, c, c, echo{Text: "z"}); err != nil || got != "control-1 control z" {
		t.Fatalf("call from the control instance to itself: reply %q, error %v, want reply \"control-1 control z\" and no error", got, err)
	}
}

// Guards against an endpoint that accepts a peer whose certificate is signed by another
// authority or has the role operator.
func TestPeerWithoutAcceptedCertificateIsRefused(t *testing.T) {
	f, g := newFolder(t, "control-1"), newFolder(t, "katalog-1", "control-1")
	if err := keys.Issue(f, "anna", fleet.RoleOperator, keys.Options{}); err != nil {
		t.Fatal(err)
	}
	store := loadStore(t, f, "control-1", nil)
	c := open(t, store)
	for _, x := range []struct {
		folder, name string
		reason       keys.Reason
	}{{g, "katalog-1", keys.UnknownAuthority}, {f, "anna", keys.WrongRole}} {
		// The peer trusts the authority of c, so that c is the side that refuses.
		files := keys.FilesOf(x.folder, fleet.NodeID(x.name))
		files.Authority = filepath.Join(f, keys.AuthorityFile)
		s, err := keys.Load(keys.Config{Files: files})
		if err != nil {
			t.Fatal(err)
		}
		if got, err := call(t, open(t, s), c, echo{Text: "x"}); err == nil {
			t.Fatalf("call from peer %s without an accepted certificate: reply %q, want a refusal", x.name, got)
		}
		if store.Refused(x.reason) == 0 {
			t.Errorf("peer %s: no refusal counted for reason %s, want one", x.name, x.reason)
		}
	}
	if n := c.Stats().Served; n != 0 {
		t.Errorf("messages handled for refused peers = %d, want 0", n)
	}
}

// Guards against an error of a remote handler that arrives without its error kind, and
// against a network error that is reported with an error kind.
func TestErrorKinds(t *testing.T) {
	f := newFolder(t, "katalog-1", "control-1")
	n, c := open(t, loadStore(t, f, "katalog-1", nil)), open(t, loadStore(t, f, "control-1", nil))
	var kind *errkind.Error
	if _, err := call(t, n, c, echo{Fail: string(errkind.QueueFull)}); !errors.As(err, &kind) || kind.Kind != errkind.QueueFull {
		t.Errorf("handler error with an error kind: error %v, want error kind %s", err, errkind.QueueFull)
	}
	var remote *transport.RemoteError
	if _, err := call(t, n, c, echo{Fail: "plain"}); !errors.As(err, &remote) || errors.As(err, &kind) {
		t.Errorf("handler error without an error kind: error %v, want a RemoteError without an error kind", err)
	}
	if err := c.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, err := call(t, n, c, echo{Text: "x"}); err == nil || errors.As(err, &kind) {
		t.Errorf("call to a closed endpoint: error %v, want an error without an error kind", err)
	}
}

// Guards against a peer that makes the node buffer a message above the size limit.
func TestOversizedMessageIsRefused(t *testing.T) {
	f := newFolder(t, "katalog-1", "control-1")
	n, c := open(t, loadStore(t, f, "katalog-1", nil)), open(t, loadStore(t, f, "control-1", nil))
	if _, err := call(t, n, c, echo{Text: strings.Repeat("a", transport.MaxMessageBytes)}); !errors.Is(err, transport.ErrTooLarge) {
		t.Errorf("oversized request: error %v, want %v", err, transport.ErrTooLarge)
	}
	if served := c.Stats().Served; served != 0 {
		t.Errorf("oversized request: it reached a handler, want it refused before a handler runs")
	}
	if _, err := call(t, n, c, echo{Size: transport.MaxMessageBytes}); err == nil {
		t.Error("call with an oversized reply succeeded, want an error")
	}
	text := strings.Repeat("a", transport.MaxMessageBytes-100)
	if got, err := call(t, n, c, echo{Text: text}); err != nil || !strings.HasSuffix(got, text) {
		t.Errorf("message below the limit: reply has %d bytes, error %v, want the text echoed", len(got), err)
	}
}
