package raft

import (
	"math/rand/v2"
	"time"
)

// Timing holds the time constants of a group. All replicas must use the same
// values.
type Timing struct {
	Heartbeat   time.Duration // interval between confirmation rounds, which send heartbeats
	ElectionMin time.Duration // minimum election timeout
	ElectionMax time.Duration // maximum election timeout
}

// DefaultTiming elects a new leader within about a second after the loss of the
// old one.
var DefaultTiming = Timing{
	Heartbeat:   100 * time.Millisecond,
	ElectionMin: 400 * time.Millisecond,
	ElectionMax: 800 * time.Millisecond,
}

// lease returns how long a leader may rely on a confirmation round, counted from
// the start of the round. Voters refuse other candidates for ElectionMin after a
// heartbeat. The lease is shorter, because the clocks of replicas may run up to a
// quarter faster or slower than each other.
func (t Timing) lease() time.Duration { return t.ElectionMin * 3 / 4 }

// MaxCommandBytes, maxAppendBytes and MaxChunkBytes limit the payload of one Raft
// message, so that two of the largest messages fit into one transport message.
const (
	MaxCommandBytes = 256 << 10
	maxAppendBytes  = 256 << 10
	MaxChunkBytes   = 256 << 10
	maxInflight     = 16 // unacknowledged Append messages per replica
)

// Config configures a Node.
type Config struct {
	ID     ID
	Timing Timing
	Seed   uint64 // seed of the random election timeouts

	// ReplaceAfter is how long a voter must be silent before it is replaced by a
	// learner that has caught up. Zero: a silent voter stays until an operator
	// removes it or its node joins again with another disk.
	ReplaceAfter time.Duration
	// TargetVoters is the number of voters up to which learners are promoted. Further
	// learners wait until a voter is removed. Zero: MaxVoters.
	TargetVoters int
	// QuorumReads makes every read wait for a confirmation round. Without it a
	// read may rely on the leader's lease, which is safe only if the clock keeps
	// running while the machine is suspended.
	QuorumReads bool
}

// StoredState is the durable state of a replica at process start.
type StoredState struct {
	HardState HardState
	Snapshot  SnapshotMeta // newest snapshot; zero: none
	Base      SnapshotMeta // last compacted entry; its Configuration is unused
	Entries   []Entry
}

// Node is the core of one replica. It is not safe for concurrent use.
type Node struct {
	id           ID
	replaceAfter time.Duration // Config.ReplaceAfter
	targetVoters int           // Config.TargetVoters
	quorumReads  bool
	timing       Timing
	random       *rand.Rand
	now          ClockReading
	lastEntryAt  time.Duration // monotonic time at which the newest entry arrived

	role           Role
	leader         ID
	hardState      HardState
	hardStateDirty bool // hardState is not durable yet
	log            memoryLog
	stable         uint64 // last durable entry
	commit         uint64 // last entry known to be committed
	applied        uint64 // last entry passed to the caller in an Apply or covered by a Restore
	conf           Configuration
	confIndex      uint64                 // index of the entry that set conf
	confs          []indexedConfiguration // conf and the earlier ones to which a truncation may return, oldest first
	snapshot       SnapshotMeta           // newest durable snapshot
	incoming       *incomingSnapshot      // snapshot being received
	restore        *Restore               // received snapshot that is not durable yet

	leaderContactAt  time.Duration // time of the last message from the current leader
	electionDeadline time.Duration
	votes            map[ID]bool // voters that granted a vote or pre-vote in the current election
	preVoting        bool        // the current election is a pre-vote

	diskTime           time.Duration        // see SetDiskTime
	diskTimes          map[ID]time.Duration // those of other members, from their last messages; absent: zero
	fruitlessElections int                  // elections of this replica since a leader was last heard from, at most maxBackoff

	lead leaderState

	beforePersist []Action // may be executed before the next Persist
	afterPersist  []Action // must be executed after the next Persist
}

// indexedConfiguration is a configuration and the index of the entry that set it.
type indexedConfiguration struct {
	index uint64
	conf  Configuration
}

// New returns a Node that continues as a follower from the stored state. Unless
// Config.QuorumReads is set, it refuses votes for ElectionMin: it may have
// acknowledged a confirmation round before a restart, and the leader's lease
// still relies on that acknowledgement.
func New(c Config, s StoredState, now ClockReading) *Node {
	n := &Node{
		id: c.ID, timing: c.Timing, now: now, role: Follower, replaceAfter: c.ReplaceAfter, targetVoters: c.TargetVoters, quorumReads: c.QuorumReads,
		random:    rand.New(rand.NewPCG(c.Seed, 0x9e3779b97f4a7c15)),
		hardState: s.HardState, snapshot: s.Snapshot, leaderContactAt: now.Mono, diskTimes: map[ID]time.Duration{},
	}
	if n.targetVoters == 0 {
		n.targetVoters = MaxVoters
	}
	n.log = memoryLog{baseIndex: s.Base.Index, baseTerm: s.Base.Term, baseTime: s.Base.Time}
	n.log.append(s.Entries...)
	n.stable = n.log.lastIndex()
	n.recordEntryArrival()
	n.commit, n.applied = s.Snapshot.Index, s.Snapshot.Index
	n.rebuildConfigurations()
	n.resetElectionTimer()
	if n.quorumReads {
		// No lease relies on this replica, so it need not wait for one to end. An
		// early first election shortens the time without a leader after all replicas
		// lost power. If there is a leader, the other replicas refuse the pre-vote.
		n.leaderContactAt -= n.timing.ElectionMin
		n.electionDeadline = n.now.Mono + (n.electionDeadline-n.now.Mono)/firstTimeoutDivisor
	}
	return n
}

// firstTimeoutDivisor divides the first election timeout of a replica that need
// not wait for a lease to end. The timeout may be short, because a leader sends a
// message every Timing.Heartbeat.
const firstTimeoutDivisor = 4

// Bootstrap makes an empty replica the only voter of a new group. It reports
// false and does nothing if the replica is not empty.
func (n *Node) Bootstrap(address string, clusterID uint64) bool {
	if n.log.lastIndex() > 0 || n.hardState.Term > 0 || n.snapshot.Index > 0 {
		return false
	}
	n.setHardState(1, n.id)
	c := Configuration{ClusterID: clusterID, Voters: []Member{{ID: n.id, Address: address}}}
	n.appendEntries(Entry{Index: 1, Term: 1, Kind: ConfigurationChange, Time: n.now.Unix, Configuration: &c})
	n.electionDeadline = n.now.Mono
	return true
}

// Tick advances the clock of the node and runs the timers that have expired.
func (n *Node) Tick(now ClockReading) {
	n.advance(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now.Mono >= n.electionDeadline {
		n.resetElectionTimer()
		if n.conf.IsVoter(n.id) {
			n.startPreVote()
		}
	}
}

// Deadline returns the monotonic time from which a Tick has an effect.
func (n *Node) Deadline() time.Duration {
	if n.role == Leader {
		return n.lead.nextRound
	}
	return n.electionDeadline
}

// Step processes a received message.
func (n *Node) Step(now ClockReading, m Message) {
	n.advance(now)
	if m.To != n.id || n.fromOtherCluster(m) {
		return
	}
	n.recordDiskTime(m)
	if m.Term > n.hardState.Term && !n.stepHigherTerm(m) {
		return
	}
	if m.Term < n.hardState.Term {
		n.stepLowerTerm(m)
		return
	}
	n.dispatch(m)
}

func (n *Node) dispatch(m Message) {
	switch m.Kind {
	case PreVote:
		n.onPreVote(m)
	case PreVoteReply:
		n.onPreVoteReply(m)
	case Vote:
		n.onVote(m)
	case VoteReply:
		n.onVoteReply(m)
	case Append:
		n.onAppend(m)
	case Heartbeat:
		n.onHeartbeat(m)
	case SnapshotChunk:
		n.onSnapshotChunk(m)
	case AppendReply, HeartbeatReply, SnapshotReply:
		n.onReply(m)
	case TimeoutNow:
		n.onTimeoutNow(m)
	}
}

// fromOtherCluster reports whether m belongs to a group that was bootstrapped
// separately. A replica without a membership belongs to no group yet and accepts
// messages of every group.
func (n *Node) fromOtherCluster(m Message) bool {
	return n.conf.ClusterID != 0 && m.ClusterID != 0 && m.ClusterID != n.conf.ClusterID
}

// stepHigherTerm adopts the higher term of m unless m is a pre-vote message that
// does not require it, or a Vote request that the lease of the current leader
// forbids. It reports whether m is still to be processed.
func (n *Node) stepHigherTerm(m Message) bool {
	switch m.Kind {
	case PreVote:
		return true // requests a pre-vote for a term that has not started
	case PreVoteReply:
		if !m.Refused {
			return true // grants a pre-vote for the term after the current one
		}
	case Vote:
		if n.leaseHolds() && !m.Transfer {
			return false
		}
	case Append, Heartbeat, SnapshotChunk:
		n.becomeFollower(m.Term, m.From)
		return true
	}
	n.becomeFollower(m.Term, ID{})
	return true
}

// stepLowerTerm answers an outdated request with the current term.
func (n *Node) stepLowerTerm(m Message) {
	reply := Message{To: m.From, Refused: true}
	switch m.Kind {
	case PreVote:
		reply.Kind = PreVoteReply
	case Append, Heartbeat, SnapshotChunk:
		reply.Kind = AppendReply
	default:
		return
	}
	n.sendAfterPersist(reply)
}

func (n *Node) advance(now ClockReading) {
	if now.Mono > n.now.Mono {
		n.now.Mono = now.Mono
	}
	n.now.Unix = now.Unix
	n.checkQuorum()
}

func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.hardState.Term {
		n.setHardState(term, ID{})
	}
	if n.role != Follower || n.leader != leader {
		n.resetElectionTimer()
	}
	n.role, n.leader = Follower, leader
	n.preVoting, n.votes = false, nil
	n.lead = leaderState{}
}

func (n *Node) setHardState(term uint64, vote ID) {
	n.hardState = HardState{Term: term, Vote: vote}
	n.hardStateDirty = true
}

// sendAfterPersist queues m to be sent after the next Persist.
func (n *Node) sendAfterPersist(m Message) {
	n.afterPersist = append(n.afterPersist, Send{n.setSender(m)})
}

// sendBeforePersist queues a message that may be sent before new entries are
// durable, because it promises nothing about the entries on this replica's disk.
// It still waits for a changed hard state to be durable.
func (n *Node) sendBeforePersist(m Message) {
	n.beforePersist = append(n.beforePersist, Send{n.setSender(m)})
}

// setSender sets the sender and cluster of m, and its term unless it is set
// already.
func (n *Node) setSender(m Message) Message {
	m.From, m.ClusterID, m.DiskTime = n.id, n.conf.ClusterID, n.diskTime
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	return m
}
