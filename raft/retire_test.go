package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Times of a planned replacement in heartbeats, as on the platform, where a heartbeat takes
// 100 ms, a voter is replaced after 1.5 s, and a stop may take 6 s.
const (
	retireReplaceAfter = 15
	retireGrace        = 55
	retireDarkTime     = 30 // a machine that lost its disk is down for this time
	retireVoters       = 5
)

// atExit stands for the moment at which the replica that retires ends, before anything that
// it or another one has sent arrives.
const atExit = -1

// replacement is one order of events of a planned replacement. Points count the deliveries
// and the milliseconds of the simulation from the first Retire on.
type replacement struct {
	retireLeader bool
	lost         [2]int // servers that lose their disks, among those that do not retire
	lostAt       [2]int // points at which they do; atExit: when the one that retires ends; zero: never
	keepDisks    bool   // the lost servers restart with their disks
}

// replacementRun plays a replacement on the replicas of a simulation.
type replacementRun struct {
	*sim
	replacement
	retiring   *server
	others     []*server
	exited     bool
	ended      time.Duration
	point      int
	exitedAt   int
	exitedLate bool // at the end of its time, with its vote
	losses     int
	returns    map[*server]time.Duration
}

// newReplacement forms a group of five voters and one learner.
func newReplacement(t testing.TB, r replacement, seed uint64) *replacementRun {
	s := newSim(t, seed, retireVoters+1)
	s.replaceSilentVoters(retireReplaceAfter*simTiming.Heartbeat, retireVoters)
	for range 2 * (retireVoters + 1) {
		s.runFor(40 * time.Millisecond)
		s.joinNext()
	}
	s.runFor(100 * time.Millisecond)
	l := s.leader()
	if l == nil || len(l.node.conf.Voters) != retireVoters || len(l.node.conf.Learners) != 1 {
		t.Fatalf("group before the replacement, want %d voters and a learner:\n%s", retireVoters, s.describe())
	}
	if !s.propose(l) {
		t.Fatal("the leader refused a command before the replacement, want it accepted")
	}
	run := &replacementRun{sim: s, replacement: r, returns: map[*server]time.Duration{}}
	for _, v := range s.servers {
		if run.retiring == nil && l.node.conf.IsVoter(ID{v.name, v.disk.id}) && (v == l) == r.retireLeader {
			run.retiring = v
		} else {
			run.others = append(run.others, v)
		}
	}
	run.ended = s.now + retireGrace*simTiming.Heartbeat
	return run
}

// play runs the replacement until the retired replica has ended, everything that was lost has
// returned, and all others are voters, or until there was ample time for this.
func (r *replacementRun) play() {
	for end := r.now + 3*retireGrace*simTiming.Heartbeat; r.now < end && !r.settled(); {
		for len(r.inFlight) > 0 {
			r.deliver(0, false, -1)
			r.step()
		}
		r.now += time.Millisecond
		for _, v := range r.servers {
			if v.node != nil {
				v.node.Tick(r.reading(v))
				r.run(v, -1)
			}
		}
		r.step()
		r.retire()
		r.restartLost()
	}
}

func (r *replacementRun) settled() bool {
	if !r.exited || r.losses < len(r.lostAt) || len(r.returns) > 0 || r.now%(20*time.Millisecond) != 0 {
		return false
	}
	l := r.leader()
	return l != nil && !slices.ContainsFunc(r.others, func(v *server) bool { return !l.node.conf.IsVoter(ID{v.name, v.disk.id}) })
}

// step advances the count of points and loses the disks that are to be lost at this point.
func (r *replacementRun) step() {
	r.point++
	r.loseAt(r.point)
}

// loseAt loses the disks that are to be lost at a point.
func (r *replacementRun) loseAt(point int) {
	for i, at := range r.lostAt {
		if point == at {
			r.losses++
			v := r.others[r.lost[i]]
			r.crash(v)
			r.inFlight = slices.DeleteFunc(r.inFlight, func(m Message) bool { return m.From.Node == v.name })
			if !r.keepDisks {
				r.wipe(v)
			}
			r.returns[v] = r.now + retireDarkTime*simTiming.Heartbeat
		}
	}
}

// restartLost starts the lost servers again, and lets those with an empty disk join.
func (r *replacementRun) restartLost() {
	for _, v := range r.servers {
		if at, ok := r.returns[v]; ok && r.now >= at {
			delete(r.returns, v)
			r.restart(v)
		}
	}
	if r.now%(20*time.Millisecond) == 0 {
		r.joinNext()
	}
}

// retire repeats Retire each millisecond, as the replica that ends does, and ends it when its vote
// is gone, when it is told that no other replica can take the vote, or when its time is over.
func (r *replacementRun) retire() {
	v := r.retiring
	if r.exited {
		return
	}
	state := VotePending
	if l := r.leader(); l == v {
		if s, err := v.node.Retire(r.reading(v), v.node.id); err == nil && s == VotePending {
			v.node.Transfer(r.reading(v))
		}
		r.run(v, -1)
	} else if l != nil {
		if s, err := l.node.Retire(r.reading(l), v.node.id); err == nil {
			state = s
		}
		r.run(l, -1)
	}
	if state != VotePending || r.now >= r.ended {
		r.crash(v)
		r.exited, r.exitedAt, r.exitedLate = true, r.point, state != VoteGone
		r.loseAt(atExit)
	}
}

// joinNext is that of sim, without the replica that has ended.
func (r *replacementRun) joinNext() {
	if r.retiring.node == nil {
		r.sim.joinNext()
	}
}

// check requires that the group works without the replica that has ended, with as many
// voters as before or, if a learner was lost, as many as there are servers.
func (r *replacementRun) check() {
	r.t.Helper()
	l := r.leader()
	if l == nil || !r.propose(l) {
		r.t.Fatalf("%+v: no leader accepts a command after the replacement, want one:\n%s", r.replacement, r.describe())
	}
	index := l.node.log.lastIndex()
	r.runFor(100 * time.Millisecond)
	if uint64(len(r.committedStates)) <= index {
		r.t.Fatalf("%+v: the command was not committed after the replacement, want it committed:\n%s", r.replacement, r.describe())
	}
	for _, v := range r.others {
		if v.node == nil || !l.node.conf.IsVoter(ID{v.name, v.disk.id}) {
			r.t.Fatalf("%+v: %s is no voter after the replacement, want all five that run:\n%s", r.replacement, v.name, r.describe())
		}
	}
}

// Guards against a group that is blocked for good after a planned replacement and the loss of
// two disks, whatever their order. The first loss happens at each point of the replacement;
// the second one at the same point, a little later, or after the retired replica has ended.
func TestPlannedReplacementAndTwoLosses(t *testing.T) {
	for _, retireLeader := range []bool{false, true} {
		calm := newReplacement(t, replacement{retireLeader: retireLeader}, 1)
		calm.play()
		calm.check()
		if calm.exitedLate {
			t.Fatalf("without losses the replica ended when its time was over, want it to end when its vote was gone:\n%s", calm.describe())
		}
		for first := range retireVoters {
			t.Run(fmt.Sprintf("leader %v, first loss %d", retireLeader, first), func(t *testing.T) {
				t.Parallel()
				for at := atExit; at <= calm.exitedAt+5; at++ {
					if at == 0 {
						continue
					}
					for second := range retireVoters {
						if second == first {
							continue
						}
						r := replacement{retireLeader: retireLeader, lost: [2]int{first, second}}
						r.playAll(t, at)
					}
				}
			})
		}
	}
}

// playAll plays r with its first loss at a point. Losses at the same point are played in one
// order. To save time, losses a little later are played for each fourth point, and losses of
// machines that keep their disks for each tenth.
func (r replacement) playAll(t *testing.T, at int) {
	for _, secondAt := range []int{at, at + 7, at + 60, atExit} {
		if at == atExit && secondAt != atExit {
			continue
		}
		r.lostAt, r.keepDisks = [2]int{at, secondAt}, false
		sameTime, later := secondAt == at, at > 0 && secondAt > at
		if !(sameTime && r.lost[0] > r.lost[1]) && !(later && at%4 != 0) {
			r.play(t, 1)
		}
		if r.keepDisks = true; at%10 == 0 {
			r.play(t, 1)
		}
	}
}

func (r replacement) play(t *testing.T, seed uint64) {
	run := newReplacement(t, r, seed)
	run.play()
	run.check()
}

// Guards against the same failure with other clocks and election timeouts, and with losses at
// any time around the replacement.
func TestRandomPlannedReplacement(t *testing.T) {
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 2))
		lost := random.Perm(retireVoters)
		r := replacement{retireLeader: random.IntN(2) == 0, lost: [2]int{lost[0], lost[1]}, keepDisks: random.IntN(4) == 0}
		for i := range r.lostAt {
			r.lostAt[i] = 1 + random.IntN(400)
		}
		r.play(t, seed)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// Guards against the failures named at TestModel in a group that replaces silent voters, in
// which replicas retire at any time and run on.
func TestModelWithReplacements(t *testing.T) {
	pending := 0
	for seed := range uint64(modelSeeds) {
		s := newSim(t, seed, 4+int(seed%3))
		voters := 3 + 2*int(seed%2)
		if len(s.servers) <= voters {
			voters = 3
		}
		s.replaceSilentVoters(retireReplaceAfter*simTiming.Heartbeat, voters)
		s.runFor(200 * time.Millisecond)
		for range modelSteps {
			s.randomStep()
			if l := s.anyLeader(); l != nil && s.random.IntN(100) == 0 {
				v := s.servers[s.random.IntN(len(s.servers))]
				id := ID{v.name, v.disk.id}
				votes := l.node.conf.IsVoter(id)
				if state, _ := l.node.Retire(s.reading(l), id); state == VotePending && votes {
					pending++
				}
				s.run(l, -1)
			}
		}
		s.recover()
		if t.Failed() {
			t.Fatalf("seed %d, time %v", seed, s.now)
		}
	}
	if pending == 0 {
		t.Fatal("no vote was handed over, want some")
	}
	t.Logf("%d requests to hand over a vote", pending)
}
