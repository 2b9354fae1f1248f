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

// newFolder creates the authority of a fleet and the key files of the given names.
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

// handshake connects a client to a server. It returns the name and role of the client
// as the server sees them, the error of the server and the error of the client.
func handshake(server, client *tls.Config) (fleet.NodeID, fleet.Role, error, error) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	done := make(chan error, 1)
	c := tls.Client(b, client)
	go func() {
		err := c.Handshake()
		if err == nil {
			// The refusal of the server arrives only after the client has completed its
			// part of the handshake.
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

// Guards against a listener or a client that accepts a peer whose certificate is not
// valid or has a role that is not accepted there.
func TestOnlyAcceptedRolesConnect(t *testing.T) {
	f := newFolder(t, map[fleet.NodeID]fleet.Role{"katalog-1": fleet.RoleNode, "control-1": fleet.RoleControl, "anna": fleet.RoleOperator})
	otherFleet := newFolder(t, map[fleet.NodeID]fleet.Role{"katalog-1": fleet.RoleNode})
	node, control := load(t, keys.FilesOf(f, "katalog-1"), nil), load(t, keys.FilesOf(f, "control-1"), nil)
	operator := load(t, keys.FilesOf(f, "anna"), nil)
	otherAuthority := keys.FilesOf(otherFleet, "katalog-1")
	otherAuthority.Authority = filepath.Join(f, keys.AuthorityFile)
	afterExpiry := load(t, keys.FilesOf(f, "control-1"), clock.NewManual(time.Now().Add(2*keys.DefaultValidity)))
	noCertificate := node.PeerClient()
	noCertificate.GetClientCertificate = nil
	for _, x := range []struct {
		name           string
		server, client *tls.Config
		want           keys.Reason
	}{
		{"node to control", control.PeerServer(), node.PeerClient(), ""},
		{"control to node", node.PeerServer(), control.PeerClient(), ""},
		{"operator to admin", control.AdminServer(), operator.AdminClient(), ""},
		{"operator to peers", control.PeerServer(), operator.PeerClient(), keys.WrongRole},
		{"node to admin", control.AdminServer(), node.AdminClient(), keys.WrongRole},
		{"other authority", control.PeerServer(), load(t, otherAuthority, nil).PeerClient(), keys.UnknownAuthority},
		{"no certificate", control.PeerServer(), noCertificate, keys.NoCertificate},
		{"expired", afterExpiry.PeerServer(), node.PeerClient(), keys.Expired},
	} {
		name, role, err, clientErr := handshake(x.server, x.client)
		var r *keys.Refusal
		switch {
		case x.want == "" && (err != nil || clientErr != nil || name == "" || role == ""):
			t.Errorf("%s: server error %v, client error %v, name %q, role %q, want no error and an identity", x.name, err, clientErr, name, role)
		case x.want != "" && (!errors.As(err, &r) || r.Reason != x.want || clientErr == nil):
			t.Errorf("%s: server error %v, client error %v, want errors on both sides, that of the server with reason %s", x.name, err, clientErr, x.want)
		}
	}
	if n := control.Refused(keys.WrongRole); n != 2 {
		t.Errorf("refusals that the control instance counted with reason wrong_role = %d, want 2", n)
	}
	// A client verifies the server as well.
	if _, _, _, err := handshake(load(t, otherAuthority, nil).PeerServer(), node.PeerClient()); err == nil {
		t.Error("client accepted a server with a certificate of another authority, want an error")
	}
	if _, _, _, err := handshake(operator.PeerServer(), node.PeerClient()); err == nil {
		t.Error("client accepted a server with the role operator, want an error")
	}
}

// Guards against keys that are overwritten by accident or can be read by other users.
func TestFilesAreProtected(t *testing.T) {
	f := newFolder(t, map[fleet.NodeID]fleet.Role{"katalog-1": fleet.RoleNode})
	if err := keys.InitAuthority(f, keys.Options{}); !errors.Is(err, keys.ErrFileExists) {
		t.Errorf("second InitAuthority: error %v, want ErrFileExists", err)
	}
	if err := keys.Issue(f, "katalog-1", fleet.RoleNode, keys.Options{}); !errors.Is(err, keys.ErrFileExists) {
		t.Errorf("second Issue: error %v, want ErrFileExists", err)
	}
	if err := keys.Issue(f, "katalog-1", fleet.RoleNode, keys.Options{Overwrite: true}); err != nil {
		t.Error(err)
	}
	for _, name := range []string{"katalog-1.key", keys.AuthorityKeyFile} {
		info, err := os.Stat(filepath.Join(f, name))
		if err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("mode of %s = %v, error %v, want mode 0600", name, info.Mode(), err)
		}
	}
	for _, name := range []fleet.NodeID{"authority", "../x", "Katalog", ""} {
		if err := keys.Issue(f, name, fleet.RoleNode, keys.Options{Overwrite: true}); err == nil {
			t.Errorf("certificate issued for invalid name %q, want an error", name)
		}
	}
}

// Guards against a process that loses its keys while the files are being replaced, and
// against one that never loads the new keys.
func TestReloadOfReplacedKeys(t *testing.T) {
	f := newFolder(t, map[fleet.NodeID]fleet.Role{"katalog-1": fleet.RoleNode})
	c := clock.NewManual(time.Now())
	s := load(t, keys.FilesOf(f, "katalog-1"), c)
	files := keys.FilesOf(f, "katalog-1")
	oldGeneration, oldNotAfter := s.Generation(), s.NotAfter()
	oldKey, err := os.ReadFile(files.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	if err := keys.Issue(f, "katalog-1", fleet.RoleNode, keys.Options{Overwrite: true, Now: time.Now().Add(time.Hour)}); err != nil {
		t.Fatal(err)
	}
	newKey, err := os.ReadFile(files.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	// Restore the old private key, so that only the certificate has been replaced.
	if err := os.WriteFile(files.PrivateKey, oldKey, 0o600); err != nil {
		t.Fatal(err)
	}
	c.Advance(2 * time.Second)
	if s.Generation() != oldGeneration || s.ReloadError() == nil || s.NotAfter() != oldNotAfter {
		t.Errorf("only the certificate was replaced: reload error %v, want an error and the old keys in use", s.ReloadError())
	}
	if err := os.WriteFile(files.PrivateKey, newKey, 0o600); err != nil {
		t.Fatal(err)
	}
	if s.NotAfter() != oldNotAfter {
		t.Error("before the reload interval has passed: the key files were read again, want the old keys")
	}
	c.Advance(2 * time.Second)
	if !s.NotAfter().After(oldNotAfter) || s.ReloadError() != nil {
		t.Errorf("replaced keys not loaded after the reload interval: reload error %v, want no error and a later expiry", s.ReloadError())
	}
}

// Guards against rotation steps that are accepted in the wrong order. Some processes of
// the fleet would then refuse the certificates of the others.
func TestRotationOrder(t *testing.T) {
	f := newFolder(t, map[fleet.NodeID]fleet.Role{"katalog-1": fleet.RoleNode, "anna": fleet.RoleOperator})
	if _, err := keys.Reissue(f, keys.Options{}); !errors.Is(err, keys.ErrRotation) {
		t.Errorf("Reissue without a next authority: error %v, want ErrRotation", err)
	}
	if err := keys.TrustNext(f, keys.Options{}); err != nil {
		t.Fatal(err)
	}
	if err := keys.TrustNext(f, keys.Options{}); !errors.Is(err, keys.ErrRotation) {
		t.Errorf("second TrustNext: error %v, want ErrRotation", err)
	}
	if err := keys.DropPrevious(f); !errors.Is(err, keys.ErrRotation) {
		t.Errorf("DropPrevious before Reissue: error %v, want ErrRotation", err)
	}
	names, err := keys.Reissue(f, keys.Options{})
	if err != nil || len(names) != 2 {
		t.Fatalf("Reissue returned names %v, error %v, want 2 names", names, err)
	}
	if err := keys.DropPrevious(f); err != nil {
		t.Fatal(err)
	}
	a, b := load(t, keys.FilesOf(f, "katalog-1"), nil), load(t, keys.FilesOf(f, "anna"), nil)
	if _, role, err, _ := handshake(a.AdminServer(), b.AdminClient()); err != nil || role != fleet.RoleOperator {
		t.Errorf("handshake after the rotation: role %q, error %v, want role operator", role, err)
	}
}
