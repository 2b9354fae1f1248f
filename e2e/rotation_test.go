package e2e

import (
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"bramleymill/errkind"
	"bramleymill/loadgen"
)

// Guards against a key rotation that makes requests fail. Guards also against nodes that accept a
// process with a key of the old authority after that authority was dropped. They must refuse such
// a process on its existing connections and after a restart.
func TestRotationUnderLoad(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{controls: 3, plain: 2, services: []string{"shop", "shop", "shop", "shop", "other"}})
	f.bootstrap()
	f.ctl("apply", f.documentServingUnconfirmed(), "--wait")
	if err := os.CopyFS(f.path("old"), os.DirFS(f.path("keys"))); err != nil {
		t.Fatal(err)
	}
	stale, others := f.instances[4], f.instances[:4]
	stale.node.kill()
	stale.keys, stale.noLoad = "old", true
	f.writeSettings(stale)
	f.startNode(stale)
	f.awaitServing(stale)

	_, outcomes := f.sendLoad("rotation", 9*time.Second, func() {
		time.Sleep(time.Second)
		for _, step := range []string{"trust", "reissue", "drop"} {
			f.rotate(step, others)
			f.replaceAuthority("old") // the stale process then accepts the new keys, so only the other nodes can refuse connections
		}
	}, browseStream(100), orderStream(30))
	// On a busy machine some requests are refused because of overload. Failures that the
	// rotation causes have another outcome or appear as refused peers in the node logs.
	for _, o := range outcomes {
		if o.Verdict != loadgen.Answered && errkind.Lookup(o.Kind).Outcome != errkind.Overloaded {
			t.Errorf("request failed during the rotation: %+v", o)
		}
	}
	for _, in := range others {
		for line := range strings.Lines(f.log(in)) {
			if strings.Contains(line, `msg="peer refused"`) && !strings.Contains(line, "name="+stale.name) {
				t.Errorf("%s refused a peer with a current key: %s", in.name, line)
			}
		}
	}
	// The class document lets the stale node serve browsing while its configuration is
	// unconfirmed, so a refusal comes from another node. After 20 consecutive refusals, every
	// connection that was made with the old key has been refused.
	consecutiveRefusals := 0
	f.await("20 consecutive refusals on the connections of the old key", func() bool {
		a := f.send(stale, http.MethodGet, "/page", "old-key", "", nil)
		if consecutiveRefusals++; a.err != nil || a.status == http.StatusOK {
			consecutiveRefusals = 0
		}
		return consecutiveRefusals == 20
	})
	stale.node.kill()
	logOffsets := map[string]int{}
	for _, in := range others {
		logOffsets[in.name] = len(f.log(in))
	}
	f.startNode(stale)
	f.await("refusal of a restarted process with the old key", func() bool {
		for _, in := range others {
			if strings.Contains(f.log(in)[logOffsets[in.name]:], `msg="peer refused"`) {
				return true
			}
		}
		return false
	})
	if a := f.send(stale, http.MethodGet, "/page", "old-key-2", "", nil); a.status == http.StatusOK {
		t.Errorf("restarted process with the old key: got %+v, want a refusal", a)
	}
	oldKeyArgs := []string{"status", "--address", f.instances[0].address["admin"], "--authority", f.path("keys", "authority.pem"),
		"--certificate", f.path("old", "op.pem"), "--private-key", f.path("old", "op.key")}
	if out, code := f.runWithStatus("bramleymillctl", oldKeyArgs...); code == 0 {
		t.Errorf("operator with the old key: got exit status 0, want a refusal: %s", out)
	}
	stale.node.kill()
	stale.keys = "keys"
	f.writeSettings(stale)
	f.startNode(stale)
	f.awaitServing(stale)
	f.awaitLive(others[0], len(f.instances))
}

// replaceAuthority copies the current authority certificate into a folder of old keys.
func (f *fleet) replaceAuthority(folder string) {
	f.t.Helper()
	b, err := os.ReadFile(f.path("keys", "authority.pem"))
	if err == nil {
		err = os.WriteFile(f.path(folder, "authority.pem"), b, 0o644)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

// rotate runs one step of a key rotation and waits until nodes have reloaded their key files.
func (f *fleet) rotate(step string, nodes []*instance) {
	f.t.Helper()
	logOffsets := map[string]int{}
	for _, in := range nodes {
		logOffsets[in.name] = len(f.log(in))
	}
	f.run("bramleymillctl", "keys", "rotate", step, "--folder", f.path("keys"))
	for _, in := range nodes {
		f.await(in.name+" reloading its key files after "+step, func() bool {
			return strings.Contains(f.log(in)[logOffsets[in.name]:], `msg="key files reloaded"`)
		})
	}
}
