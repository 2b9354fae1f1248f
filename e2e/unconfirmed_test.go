package e2e

import (
	"net/http"
	"os"
	"strings"
	"testing"

	"bramleymill/errkind"
	"bramleymill/faultlink"
)

// documentServingUnconfirmed writes a class document that serves browsing while the configuration
// is unconfirmed. Orders are refused then.
func (f *fleet) documentServingUnconfirmed() string {
	f.t.Helper()
	b, err := os.ReadFile(f.document(0))
	if err != nil {
		f.t.Fatal(err)
	}
	text := strings.Replace(string(b), `"urgency":"normal"`, `"urgency":"normal","when_unconfirmed":"serve"`, 1)
	name := f.path("serving.json")
	if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
		f.t.Fatal(err)
	}
	return name
}

// Guards against a node that is cut off from the others and continues to serve under a
// configuration that may no longer be in force.
func TestCutOffNodeRefusesUntilItIsConfirmed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{controls: 3, plain: 1, links: true})
	f.bootstrap()
	victim := f.instances[3]
	f.cut(victim, true, true)
	f.await("refusal by the cut-off node", func() bool {
		a := f.send(victim, http.MethodGet, "/page", "w", "", nil)
		return a.kind == errkind.ConfigUnconfirmed
	})
	if a := f.send(f.instances[1], http.MethodGet, "/page", "w", "", nil); a.status != http.StatusOK {
		t.Errorf("request through another node: got %+v, want status 200", a)
	}
	f.heal()
	f.awaitServing(victim)
}

// Guards against two faults after the loss of a majority of control instances: a class with
// "when_unconfirmed":"serve" is refused, or another class is still served.
func TestLossOfTheControlMajority(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{controls: 3, plain: 2})
	f.bootstrap()
	f.ctl("apply", f.documentServingUnconfirmed(), "--wait")
	f.instances[0].node.kill()
	f.instances[1].node.kill()
	plain := f.instances[3]
	f.await("refusal of requests of class \"order\"", func() bool {
		a := f.send(plain, http.MethodPost, "/orders", "order", "key", nil)
		return a.kind == errkind.ConfigUnconfirmed
	})
	if a := f.send(plain, http.MethodGet, "/page", "w", "", nil); a.status != http.StatusOK {
		t.Errorf("browsing without a majority: got %+v, want status 200", a)
	}
	if n := f.executions()["order"]; n > 1 {
		t.Errorf("the request that was sent until it was refused ran %d times, want at most 1", n)
	}
	f.startNode(f.instances[0])
	f.await("acceptance of requests of class \"order\" after a majority has returned", func() bool {
		a := f.send(plain, http.MethodPost, "/orders", "order-2", "key-2", nil)
		return a.status == http.StatusOK
	})
}

// Guards against requests that are lost or run twice, and against a fleet that stops accepting
// changes, when links lose, delay and duplicate datagrams.
func TestBadLinks(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{controls: 3, plain: 1, links: true})
	f.bootstrap()
	for _, in := range f.instances {
		faults := faultlink.Faults{Drop: 0.05, Duplicate: 0.1, Delay: 1e6, Jitter: 5e6}
		in.link.SetFaults("", faultlink.Forward, faults)
		in.link.SetFaults("", faultlink.Backward, faults)
	}
	f.load(5e9, func() {})
	if v := f.apply(1); v != 2 {
		t.Errorf("version = %d after the second change, want 2", v)
	}
}
