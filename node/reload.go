package node

import "slices"

// CheckBackendService applies a change of the service that the settings name for the backend
// server, see proxy.Proxy.CheckBackendService.
func (n *Node) CheckBackendService() {
	if p := n.proxy.Load(); p != nil {
		p.CheckBackendService()
	}
}

// SetSeeds replaces the seeds of the node after its settings have changed. The
// membership keeps the addresses of control instances that it already has.
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
