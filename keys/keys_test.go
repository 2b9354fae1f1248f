package keys_test

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"bramleymill/clock"
	"bramleymill/fleet"
	"bramleymill/keys"
)

func newFolder(t *testing.T, names map[fleet.NodeID]fleet.Role) string {
	t.Helper()
	f := t.TempDir()
	if err := keys.InitAuthority(f, keys.Options{}); err != nil {
		t.Fatal(err)
	}
	for n, r := range names {
		if err := keys.Issue(f, n, r, keys.Options{}); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

func load(t *testing.T, f keys.Files, c clock.Clock) *keys.Store {
	t.Helper()
	s, err := keys.Load(keys.Config{Files: f, Clock: c})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// handshake returns what each side says and whom the server sees.
func handshake(server, client *tls.Config) (fleet.NodeID, fleet.Role, error, error) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	done := make(chan error, 1)
	c := tls.Client(b, client)
	go func() {
		err := c.Handshake()
		if err == nil {
			// The server's refusal arrives after the client's part is complete.
			_, err = c.Read(make([]byte, 1))
		}
		done <- err
	}()
	s := tls.Server(a, server)
	err := s.Handshake()
	if err != nil {
		a.Close()
		return "", "", err, <-done
	}
	name, role, err := keys.PeerOf(s.ConnectionState())
	_, _ = s.Write([]byte{1})
	return name, role, err, <-done
}

// Guards against a listener that accepts a peer whose key does not grant what the
// listener offers.
func TestRoles(t *testing.T) {
	f := newFolder(t, map[fleet.NodeID]fleet.Role{"katalog-1": fleet.RoleNode, "control-1": fleet.RoleControl, "anna": fleet.RoleOperator})
	g := newFolder(t, map[fleet.NodeID]fleet.Role{"katalog-1": fleet.RoleNode})
	node, control := load(t, keys.FilesOf(f, "katalog-1"), nil), load(t, keys.FilesOf(f, "control-1"), nil)
	anna := load(t, keys.FilesOf(f, "anna"), nil)
	foreign := keys.FilesOf(g, "katalog-1")
	foreign.Authority = filepath.Join(f, keys.AuthorityFile)
	later := load(t, keys.FilesOf(f, "control-1"), clock.NewManual(time.Now().Add(2*keys.DefaultValidity)))
	none := node.PeerClient()
	none.GetClientCertificate = nil
	for _, x := range []struct {
		name           string
		server, client *tls.Config
		want           keys.Reason
	}{
		{"node to control", control.PeerServer(), node.PeerClient(), ""},
		{"control to node", node.PeerServer(), control.PeerClient(), ""},
		{"operator to admin", control.AdminServer(), anna.AdminClient(), ""},
		{"operator to peers", control.PeerServer(), anna.PeerClient(), keys.WrongRole},
		{"node to admin", control.AdminServer(), node.AdminClient(), keys.WrongRole},
		{"other authority", control.PeerServer(), load(t, foreign, nil).PeerClient(), keys.UnknownAuthority},
		{"no certificate", control.PeerServer(), none, keys.NoCertificate},
		{"expired", later.PeerServer(), node.PeerClient(), keys.Expired},
	} {
		name, role, err, clientErr := handshake(x.server, x.client)
		var r *keys.Refusal
		switch {
		case x.want == "" && (err != nil || clientErr != nil || name == "" || role == ""):
			t.Errorf("%s: %v, %v, name %q role %q", x.name, err, clientErr, name, role)
		case x.want != "" && (!errors.As(err, &r) || r.Reason != x.want || clientErr == nil):
			t.Errorf("%s: server says %v, client %v, want %s", x.name, err, clientErr, x.want)
		}
	}
	if n := control.Refused(keys.WrongRole); n != 2 {
		t.Errorf("%d refusals for the role counted, want 2", n)
	}
	// A client checks the other side as well.
	if _, _, _, err := handshake(load(t, foreign, nil).PeerServer(), node.PeerClient()); err == nil {
		t.Error("client accepted a server of another authority")
	}
	if _, _, _, err := handshake(anna.PeerServer(), node.PeerClient()); err == nil {
		t.Error("client accepted an operator as server")
	}
}

// Guards against keys that are replaced by accident or readable by others.
func TestFilesAreProtected(t *testing.T) {
	f := newFolder(t, map[fleet.NodeID]fleet.Role{"katalog-1": fleet.RoleNode})
	if err := keys.InitAuthority(f, keys.Options{}); !errors.Is(err, keys.ErrFileExists) {
		t.Errorf("authority made again: error %v", err)
	}
	if err := keys.Issue(f, "katalog-1", fleet.RoleNode, keys.Options{}); !errors.Is(err, keys.ErrFileExists) {
		t.Errorf("certificate issued again: error %v", err)
	}
	if err := keys.Issue(f, "katalog-1", fleet.RoleNode, keys.Options{Overwrite: true}); err != nil {
		t.Error(err)
	}
	for _, name := range []string{"katalog-1.key", keys.AuthorityKeyFile} {
		info, err := os.Stat(filepath.Join(f, name))
		if err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("%s: mode %v, error %v", name, info.Mode(), err)
		}
	}
	for _, name := range []fleet.NodeID{"authority", "../x", "Katalog", ""} {
		if err := keys.Issue(f, name, fleet.RoleNode, keys.Options{Overwrite: true}); err == nil {
			t.Errorf("certificate issued for %q", name)
		}
	}
}

// Guards against a process that loses its keys while the files are being
// replaced, and against one that never takes the new ones.
func TestReload(t *testing.T) {
	f := newFolder(t, map[fleet.NodeID]fleet.Role{"katalog-1": fleet.RoleNode})
	c := clock.NewManual(time.Now())
	s := load(t, keys.FilesOf(f, "katalog-1"), c)
	files := keys.FilesOf(f, "katalog-1")
	before, end := s.Generation(), s.NotAfter()
	key, err := os.ReadFile(files.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	if err := keys.Issue(f, "katalog-1", fleet.RoleNode, keys.Options{Overwrite: true, Now: time.Now().Add(time.Hour)}); err != nil {
		t.Fatal(err)
	}
	next, err := os.ReadFile(files.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	// Only the certificate has arrived so far.
	if err := os.WriteFile(files.PrivateKey, key, 0o600); err != nil {
		t.Fatal(err)
	}
	c.Advance(2 * time.Second)
	if s.Generation() != before || s.ReloadError() == nil || s.NotAfter() != end {
		t.Errorf("half of the new keys taken, error %v", s.ReloadError())
	}
	if err := os.WriteFile(files.PrivateKey, next, 0o600); err != nil {
		t.Fatal(err)
	}
	if s.NotAfter() != end {
		t.Error("files read before the interval has passed")
	}
	c.Advance(2 * time.Second)
	if !s.NotAfter().After(end) || s.ReloadError() != nil {
		t.Errorf("new keys not taken, error %v", s.ReloadError())
	}
}

// Guards against a rotation in the wrong order, which would cut the fleet in two.
func TestRotationOrder(t *testing.T) {
	f := newFolder(t, map[fleet.NodeID]fleet.Role{"katalog-1": fleet.RoleNode, "anna": fleet.RoleOperator})
	if _, err := keys.Reissue(f, keys.Options{}); !errors.Is(err, keys.ErrRotation) {
		t.Errorf("reissued without a next authority: error %v", err)
	}
	if err := keys.TrustNext(f, keys.Options{}); err != nil {
		t.Fatal(err)
	}
	if err := keys.TrustNext(f, keys.Options{}); !errors.Is(err, keys.ErrRotation) {
		t.Errorf("second next authority: error %v", err)
	}
	if err := keys.DropPrevious(f); !errors.Is(err, keys.ErrRotation) {
		t.Errorf("dropped before reissuing: error %v", err)
	}
	names, err := keys.Reissue(f, keys.Options{})
	if err != nil || len(names) != 2 {
		t.Fatalf("reissued %v, error %v", names, err)
	}
	if err := keys.DropPrevious(f); err != nil {
		t.Fatal(err)
	}
	a, b := load(t, keys.FilesOf(f, "katalog-1"), nil), load(t, keys.FilesOf(f, "anna"), nil)
	if _, role, err, _ := handshake(a.AdminServer(), b.AdminClient()); err != nil || role != fleet.RoleOperator {
		t.Errorf("after the rotation: role %q, error %v", role, err)
	}
}
