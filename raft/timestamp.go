package raft

// clockSlew bounds how far the time of entries may run from the monotonic clock,
// as a divisor: one hundredth.
const clockSlew = 100

// timestamp returns the time of the next entry. It follows the wall clock, but
// runs at most clockSlew faster or slower than the monotonic clock since the last
// entry reached this replica. State machines end leases and retention by these
// times, so that a wall clock that jumps forward must not end them early, and
// one that jumps back must not stop them.
//
// After a restart the time since the last entry is not known and does not count,
// which lengthens leases and retention.
func (n *Node) timestamp() int64 {
	last := n.log.lastTime()
	elapsed := int64(max(n.now.Mono-n.lastEntryAt, 0))
	slew := elapsed / clockSlew
	return min(max(n.now.Unix, last+elapsed-slew), last+elapsed+slew)
}

// recordEntryArrival notes when the newest entry reached this replica.
func (n *Node) recordEntryArrival() { n.lastEntryAt = n.now.Mono }
