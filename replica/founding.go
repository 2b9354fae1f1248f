package replica

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/raft"
	"bramleymill/transport"
)

// The founders of a group are the control instances that the seeds of the first start name. All
// of them start with the same first entry, which makes them the voters, so that a majority of
// them suffices and no two majorities can start two logs. Their ids have to be known before they
// run and therefore consist of their addresses. The id also tells a founder from a replica that
// started later at its address with an empty disk.

// founderPrefix begins the disk id of a founder. The rest is its address at the first start.
const founderPrefix = "founder "

func founderID(address string) raft.ID {
	return raft.ID{Node: fleet.NodeID(address), Disk: raft.DiskID(founderPrefix + address)}
}

// replicaID returns the id of the replica of a node with the given disk.
func replicaID(node fleet.NodeID, disk raft.DiskID) raft.ID {
	if address, ok := strings.CutPrefix(string(disk), founderPrefix); ok {
		return founderID(address)
	}
	return raft.ID{Node: node, Disk: disk}
}

// checkSender returns an error if a process sends a message in the name of a replica of another
// node. The id of a founder does not contain the name of its node.
func checkSender(from transport.Peer, id raft.ID) error {
	if id.Node == from.Node || id == founderID(string(id.Node)) {
		return nil
	}
	return errkind.New(errkind.Unauthorized, "%s sent a message in the name of %s", from.Node, id.Node)
}

// foundingState returns the state in which the founder at address starts a group.
func foundingState(group uint32, founders []string, address string) raft.StoredState {
	founders = slices.Sorted(slices.Values(founders))
	h := fnv.New64a()
	fmt.Fprintln(h, group, founders)
	var voters []raft.Member
	for _, a := range founders {
		voters = append(voters, raft.Member{ID: founderID(a), Address: a})
	}
	return raft.FoundingState(h.Sum64()|1, voters, founderID(address))
}

// foundingTimeout bounds a call to another founder.
const foundingTimeout = 300 * time.Millisecond

// foundingAnswer is what another founder has answered, or the error of the call.
type foundingAnswer struct {
	reply foundingReply
	err   error
}

// mayFound reports whether a replica with an empty disk may start as a founder, by the answers of
// the other founders. A majority of the founders, with this one, has to be there.
//
// It must not if one of them got a message of a founder at its address before: the disk of that
// one has been lost, and it could vote twice. Every founder stores whom it got messages of.
func mayFound(answers []foundingAnswer) error {
	answered := 0
	for _, a := range answers {
		if a.err != nil {
			continue
		}
		if a.reply.Known {
			return errFoundedBefore
		}
		answered++
	}
	if need := (len(answers) + 1) / 2; answered < need {
		return fmt.Errorf("%d of the %d other founders have answered, want %d", answered, len(answers), need)
	}
	return nil
}

var errFoundedBefore = fmt.Errorf("a founder at this address has taken part before, so this replica joins as another one: %w", ErrAlreadyMember)

// Found starts this empty replica as one of the founders, which are given by their addresses. It
// fails with ErrAlreadyMember if the replica belongs to the group or has to join it, and with
// another error if it must not be a founder yet. With Config.Founding, the replica joins the
// group only after Found has returned one of the first two.
//
// The founders of all processes have to be the same, and only a process of the first start of the
// whole system, when all disks are empty, may call Found. If a founder loses its disk and calls
// it again, it is refused as long as one founder that got a message of it answers; only if all of
// these were cut off from it could it vote twice.
func (g *Group) Found(ctx context.Context, founders []string) error {
	err := g.tryFound(ctx, founders)
	if err == nil || errors.Is(err, ErrAlreadyMember) {
		g.mayJoin.Store(true)
	}
	return err
}

func (g *Group) tryFound(ctx context.Context, founders []string) error {
	if s := g.Status(); s.ClusterID != 0 || s.Term > 0 {
		return ErrAlreadyMember
	}
	var others []string
	for _, a := range founders {
		if a != g.config.Address {
			others = append(others, a)
		}
	}
	if err := mayFound(g.askFounders(ctx, others)); err != nil {
		return fmt.Errorf("replica: found group %d: %w", g.config.Group, err)
	}
	failure, err := runOnCore(ctx, g, func(raft.ClockReading) error { return g.foundOnCore(founders) })
	return cmp.Or(err, failure)
}

func (g *Group) askFounders(ctx context.Context, addresses []string) []foundingAnswer {
	ctx, cancel := context.WithTimeout(ctx, foundingTimeout)
	defer cancel()
	results := make(chan foundingAnswer, len(addresses))
	for _, address := range addresses {
		go func() {
			var a foundingAnswer
			a.err = g.config.Client.Call(ctx, address, kindFounding, &foundingRequest{Group: g.config.Group, Address: g.config.Address}, &a.reply)
			results <- a
		}()
	}
	var out []foundingAnswer
	for range addresses {
		out = append(out, <-results)
	}
	return out
}

func (g *Group) foundOnCore(founders []string) error {
	if s := g.node.Status(); s.Configuration.ClusterID != 0 || s.Term > 0 {
		return ErrAlreadyMember
	}
	state, id := foundingState(g.config.Group, founders, g.config.Address), founderID(g.config.Address)
	err := g.runDiskOperation("founding the group", func() error { return g.storage.found(id.Disk, state) })
	if err != nil {
		if !isDiskFull(err) {
			g.halt(err)
		}
		return err
	}
	g.node = g.newCore(id, state)
	return nil
}

// found stores the state of a founder in one record, which replaces the earlier ones.
func (s *storage) found(disk raft.DiskID, state raft.StoredState) error {
	b, err := cbor.Marshal(logRecord{Disk: disk, HardState: &state.HardState, Base: &state.Base, Entries: state.Entries, Heard: s.heard})
	if err != nil {
		return fmt.Errorf("encode log record: %w", err)
	}
	if err := s.log.Append(b); err != nil {
		return err
	}
	s.disk = disk
	return nil
}

// recordFounder stores that a founder has sent a message, before this replica handles it. It
// reports whether that is stored.
func (g *Group) recordFounder(id raft.ID) bool {
	if id != founderID(string(id.Node)) || slices.Contains(g.storage.heard, id.Disk) {
		return true
	}
	if len(g.storage.heard) >= maxHeard {
		return false
	}
	err := g.runDiskOperation("recording a founder", func() error { return g.storage.recordFounder(id.Disk) })
	if err != nil && !isDiskFull(err) {
		g.halt(err)
	}
	return err == nil
}

// maxHeard bounds the founders whose messages are recorded.
const maxHeard = 16

func (s *storage) recordFounder(disk raft.DiskID) error {
	heard := append(slices.Clone(s.heard), disk)
	b, err := cbor.Marshal(logRecord{Heard: heard})
	if err != nil {
		return fmt.Errorf("encode log record: %w", err)
	}
	if err := s.log.Append(b); err != nil {
		return err
	}
	s.heard = heard
	return nil
}

func (h *Host) onFounding(ctx context.Context, from transport.Peer, r *foundingRequest) (*foundingReply, error) {
	if err := requireControlRole(from); err != nil {
		return nil, err
	}
	g, err := h.group(r.Group)
	if err != nil {
		return nil, err
	}
	reply, err := runOnCore(ctx, g, func(raft.ClockReading) foundingReply {
		return foundingReply{Known: slices.Contains(g.storage.heard, founderID(r.Address).Disk)}
	})
	return &reply, err
}
