package raft

import (
	"slices"
	"time"
)

// A replica processes no messages while it writes to its disk. If the writes of a majority take
// about as long as an election timeout for good, fixed timeouts leave the group without a leader:
// followers hear nothing from a leader that writes, a leader hears nothing from followers that
// write, and no election gets its votes, which must be durable, in time. Each replica therefore
// adds to its timeouts what the present disks need. Longer timeouts are always safe: a lease
// relies on ElectionMin, which they exceed.

const (
	// writesPerTimeout is the number of writes that a timeout has room for: one each of the
	// replica itself, of the sender and of a voter, and one that was in progress before.
	writesPerTimeout = 4
	// maxBackoff is the number of consecutive elections without a result after which the wait
	// for votes is not doubled further.
	maxBackoff = 3
)

// SetDiskTime tells the node how long a write to the disk of this replica usually takes at
// present. Times well below the election timeouts count as zero.
func (n *Node) SetDiskTime(d time.Duration) {
	if d < n.timing.ElectionMin/writesPerTimeout {
		d = 0
	}
	n.diskTime = min(d, n.timing.MaxDiskTime())
}

// MaxDiskTime is the longest time of a write for which timeouts are extended. A disk whose writes
// take longer is not waited for, because other replicas may have a disk that works.
func (t Timing) MaxDiskTime() time.Duration { return t.ElectionMax * 3 / 2 }

// recordDiskTime records how long writes take at the sender of m.
func (n *Node) recordDiskTime(m Message) {
	if _, ok := n.conf.Find(m.From); !ok || m.DiskTime <= 0 {
		delete(n.diskTimes, m.From)
		return
	}
	n.diskTimes[m.From] = min(m.DiskTime, n.timing.MaxDiskTime())
}

// quorumSlack is added to the time for which a leader waits for a majority. It depends on the
// faster half of the disks: a leader whose own disk alone is slow is replaced.
func (n *Node) quorumSlack() time.Duration {
	if n.role != Leader || len(n.conf.Voters) == 0 {
		return 0
	}
	var buffer [MaxVoters + 1]time.Duration
	times := buffer[:0]
	for _, v := range n.conf.Voters {
		d := n.diskTimes[v.ID]
		if v.ID == n.id {
			d = n.diskTime
		}
		times = append(times, d)
	}
	slices.Sort(times)
	return writesPerTimeout * times[len(times)/2]
}

// resetElectionTimer starts a new election timeout of random length.
func (n *Node) resetElectionTimer() {
	n.electionDeadline = n.now.Mono + n.randomTimeout() + writesPerTimeout*n.diskTime
}

func (n *Node) randomTimeout() time.Duration {
	spread := int64(n.timing.ElectionMax - n.timing.ElectionMin)
	return n.timing.ElectionMin + time.Duration(n.random.Int64N(spread+1))
}

// backOff starts the wait for votes, which is longer after elections without a result: the disks
// of the voters may be slower than that of this replica, or candidates may disturb each other.
func (n *Node) backOff() {
	n.electionDeadline = n.now.Mono + n.randomTimeout()<<n.fruitlessElections + writesPerTimeout*n.diskTime
	n.fruitlessElections = min(n.fruitlessElections+1, maxBackoff)
}
