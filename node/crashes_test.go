package node

import (
	"testing"

	"bramleymill/fleet"
)

// Guards against a node that has no crash suspects on record after a restart. It must record the
// crash reports that the other nodes send while it joins.
func TestJoiningNodeReceivesCrashSuspects(t *testing.T) {
	f := newTestFleet(t, 1)
	f.bootstrap()
	f.nodes[0].member.BroadcastCrash(fleet.CrashReport{Node: "shop-9", Incarnation: 4, BackendGeneration: 1, Service: "shop", Class: "browse", Path: "/poison", Fingerprint: 77})
	f.addPlainNode()
	f.await("a crash suspect on the joining node", func() bool { return len(f.nodes[1].Suspects()) == 1 })
}
