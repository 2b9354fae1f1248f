package keys_test

import (
	"log/slog"
	"testing"
	"time"

	"bramleymill/fleet"
	"bramleymill/keys"
)

// Guards against a trusted network on which peers are not told apart by name and
// role, or whose certificates end with a clock that was set to another year.
func TestTrustedNetwork(t *testing.T) {
	store := func(name fleet.NodeID, role fleet.Role) *keys.Store {
		s, err := keys.NewTrusted(name, role, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	a, b := store("a", fleet.RoleControl), store("b", fleet.RoleNode)
	name, role, serverErr, clientErr := handshake(a.QUICServer(), b.QUICClient())
	if serverErr != nil || clientErr != nil || name != "b" || role != fleet.RoleNode {
		t.Errorf("peer %s %s, errors %v and %v", name, role, serverErr, clientErr)
	}
	if a.NotAfter().Before(time.Date(9000, 1, 1, 0, 0, 0, 0, time.UTC)) {
		t.Errorf("the certificate ends %v", a.NotAfter())
	}
	one, _ := a.Secret("reset")
	again, _ := store("a", fleet.RoleControl).Secret("reset")
	if one != again {
		t.Error("the secret does not survive a restart")
	}
	if _, err := keys.NewTrusted("not a name", fleet.RoleNode, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("a name with spaces is accepted")
	}
}
