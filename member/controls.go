package member

import (
	"slices"
	"time"
)

// knownControls holds the addresses of the control instances that a member tells its children.
type knownControls struct {
	addresses []string
	readAt    time.Time // when addresses were last read from the registry of a control instance
}

// currentControls returns the addresses of the control instances that run: at a control
// instance those of its registry, at a relay those that its parent has sent. Each child is sent
// them when they change, because all control instances that it knew when it joined may be
// replaced one after the other.
func (k *core) currentControls(now time.Time) []string {
	c := &k.controls
	if k.control() && (c.readAt.IsZero() || now.Sub(c.readAt) >= controlsInterval) {
		// The whole registry is searched, so this is not done for each heartbeat.
		c.addresses, c.readAt = k.controlAddresses(), now
	}
	return c.addresses
}

func (k *core) controlAddresses() []string {
	var out []string
	for _, e := range k.reg.sorted() {
		if e.active() && e.server.ControlInstance && len(out) < maxControls {
			out = append(out, e.server.PeerAddress)
		}
	}
	return out
}

// receiveControls stores the addresses that the parent has sent.
func (k *core) receiveControls(controls []string) {
	if len(controls) == 0 {
		return
	}
	controls = controls[:min(len(controls), maxControls)]
	k.controls.addresses = controls
	k.addSeeds(controls)
}

// addSeeds adds addresses of control instances to those to which this node sends attempts to
// join. Above maxControls, the learned address that it has known longest and that is not among
// the added ones makes room.
func (k *core) addSeeds(controls []string) {
	u := &k.up
	for _, a := range controls {
		if a == k.self.PeerAddress || slices.Contains(u.seeds, a) {
			continue
		}
		if len(u.seeds) >= maxControls {
			learned := u.seeds[min(u.configured, len(u.seeds)):]
			i := slices.IndexFunc(learned, func(s string) bool { return !slices.Contains(controls, s) })
			if i < 0 {
				return
			}
			u.seeds = slices.Delete(u.seeds, u.configured+i, u.configured+i+1)
		}
		u.seeds = append(u.seeds, a)
	}
}
