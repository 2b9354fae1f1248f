package node

import "slices"

// SetSeeds takes the seeds of settings that have changed. Control instances that
// are known already stay known.
func (n *Node) SetSeeds(seeds []string) {
	n.seedsMu.Lock()
	defer n.seedsMu.Unlock()
	if slices.Equal(seeds, n.seeds) {
		return
	}
	n.logger.Info("seeds changed", "before", n.seeds, "now", seeds)
	n.seeds = slices.Clone(seeds)
	n.member.AddSeeds(n.seeds)
	if n.control != nil {
		n.control.config.SetSeeds(n.seeds)
		n.control.claims.SetSeeds(n.seeds)
	}
}
