package node

import (
	"testing"

	"bramleymill/fleet"
)

// Guards against a node that forgets by a restart which requests crash backend
// servers: what the others tell it while it joins must not be dropped.
func TestJoiningNodeReceivesCrashSuspects(t *testing.T) {
	f := newTestFleet(t, 1)
	f.bootstrap()
	f.nodes[0].member.PublishCrash(fleet.CrashReport{Node: "shop-9", Incarnation: 4, BackendGeneration: 1, Service: "shop", Class: "browse", Path: "/poison", Fingerprint: 77})
	f.addPlainNode()
	f.await("suspicion", func() bool { return len(f.nodes[1].Suspects()) == 1 })
}
