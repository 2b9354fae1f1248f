package keys_test

import (
	"log/slog"
	"testing"
	"time"

	"bramleymill/fleet"
	"bramleymill/keys"
)

// Guards against a peer on a trusted network that is reported with a wrong name or role,
// and against certificates that expire when the clock of an instance is set to another
// year.
func TestTrustedNetwork(t *testing.T) {
	store := func(name fleet.NodeID, role fleet.Role) *keys.Store {
		s, err := keys.NewForTrustedNetwork(name, role, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	a, b := store("a", fleet.RoleControl), store("b", fleet.RoleNode)
	name, role, serverErr, clientErr := handshake(a.QUICServer(), b.QUICClient())
	if serverErr != nil || clientErr != nil || name != "b" || role != fleet.RoleNode {
		t.Errorf("handshake on a trusted network: peer %q with role %q, server error %v, client error %v, want peer b with role node and no error", name, role, serverErr, clientErr)
	}
	if a.NotAfter().Before(time.Date(9000, 1, 1, 0, 0, 0, 0, time.UTC)) {
		t.Errorf("certificate for a trusted network expires at %v, want a time after the start of the year 9000", a.NotAfter())
	}
	secret, _ := a.Secret("reset")
	secretAfterRestart, _ := store("a", fleet.RoleControl).Secret("reset")
	if secret != secretAfterRestart {
		t.Error("secret on a trusted network after a restart: it differs, want the same")
	}
	if _, err := keys.NewForTrustedNetwork("not a name", fleet.RoleNode, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("NewForTrustedNetwork accepted a name with spaces, want an error")
	}
}
