package raft

// clockSlewDivisor limits how much faster or slower than the monotonic clock the
// time of entries may advance: by one part in clockSlewDivisor, which is 1%.
const clockSlewDivisor = 100

// timestamp returns the time of the next entry. It follows the wall clock, but
// from the arrival of the newest entry on it advances at most one part in
// clockSlewDivisor faster or slower than the monotonic clock. State machines end
// leases and retention periods by these times: a wall clock that jumps forward
// must not end them early, and one that jumps back must not keep them from ending.
//
// After a restart the time since the newest entry is unknown and is not counted,
// which lengthens leases and retention periods.
func (n *Node) timestamp() int64 {
	last := n.log.lastTime()
	elapsed := int64(max(n.now.Mono-n.lastEntryAt, 0))
	slew := elapsed / clockSlewDivisor
	return min(max(n.now.Unix, last+elapsed-slew), last+elapsed+slew)
}

// recordEntryArrival records when the newest entry reached this replica.
func (n *Node) recordEntryArrival() { n.lastEntryAt = n.now.Mono }
