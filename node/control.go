package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramleymill/claim"
	"bramleymill/clock"
	"bramleymill/configstate"
	"bramleymill/explain"
	"bramleymill/member"
	"bramleymill/permit"
	"bramleymill/raft"
	"bramleymill/replica"
	"bramleymill/settings"
	"bramleymill/transport"
)

// The numbers of the replicated groups.
const (
	groupConfiguration uint32 = 0
	groupClaims        uint32 = 1
)

// limitsInterval is how often a control instance checks whether it has become the
// leader of the claims group and must set the limits of the claim store.
const limitsInterval = 2 * time.Second

const (
	// confirmInterval is how often a follower checks the age of its newest proof that its
	// configuration is current. The leader's heartbeats usually bring such proofs.
	confirmInterval = time.Second
	// maxProofAge is the largest age of this proof. A follower with an older proof requests
	// a confirmation from the leader.
	maxProofAge    = time.Second
	confirmTimeout = 2 * time.Second
)

// control is the control role of a node.
type control struct {
	quotaRecord      *permit.Record // nil until it is open
	folderLock       *os.File       // locked file that excludes other processes from the data folder
	host             *replica.Host
	config           *replica.Group
	claims           *replica.Group
	machine          *configstate.Machine
	claimSet         *claim.Machine
	bundle           atomic.Pointer[encodedBundle] // newest accepted configuration; nil before the first
	lastConfirmation atomic.Pointer[time.Time]     // start time of this follower's last successful read barrier; nil before the first
	versions         *versionLog
	wakeMember       atomic.Pointer[func()] // wakes the membership; nil until the membership exists
	recordEvent      func(kind explain.EventKind, reason string)
	diskStalls       atomic.Int64 // number of disk stalls since the process start
	problems         problems
	limits           claim.Limits
	logger           *slog.Logger
}

type encodedBundle struct {
	revision uint64
	document []byte
}

func openControl(s *settings.Settings, mux *transport.Mux, client transport.Client, seed uint64, logger *slog.Logger,
	recordEvent func(kind explain.EventKind, reason string)) (*control, error) {
	folderLock, err := lockFolder(s.Control.DataFolder)
	if err != nil {
		return nil, err
	}
	c := &control{
		folderLock: folderLock,
		logger:     logger,
		claimSet:   claim.New(),
		limits: claim.Limits{
			MaxClaims: s.Control.MaxClaims,
			MaxBytes:  int64(s.Control.MaxClaimBytes),
			Retention: s.Control.ClaimRetention.Std(),
		},
		versions:    newVersionLog(),
		recordEvent: recordEvent,
	}
	c.machine = configstate.New(c.onChange)
	c.host = replica.NewHost(mux, client)
	if c.config, err = c.open(s, client, groupConfiguration, c.machine, seed); err != nil {
		return nil, errors.Join(err, folderLock.Close())
	}
	if c.claims, err = c.open(s, client, groupClaims, c.claimSet, seed+1); err != nil {
		return nil, errors.Join(err, c.config.Close(), folderLock.Close())
	}
	return c, nil
}

func (c *control) open(s *settings.Settings, client transport.Client, group uint32, machine replica.StateMachine, seed uint64) (*replica.Group, error) {
	return replica.Open(replica.Config{
		Group:         group,
		Node:          nodeID(s),
		Address:       s.AdvertisedAddress,
		Folder:        s.Control.DataFolder,
		Machine:       machine,
		Client:        client,
		Seed:          seed,
		Logger:        c.logger.With("group", group),
		Seeds:         s.Seeds,
		SnapshotEvery: s.Control.SnapshotInterval,
		Host:          c.host,
		ControlOnly:   group == groupConfiguration,
		Founding:      founds(s),
		MinVoters:     s.Control.Voters,
		ReplaceAfter:  s.Control.ReplaceAfter.Std(),
		QuorumReads:   s.TrustedNetwork,
		OnFailure: func(err error) {
			c.logger.Error("control role stopped", "group", group, "error", err)
			c.recordEvent(explain.ControlStopped, fmt.Sprintf("group %d: %v", group, err))
		},
		OnDiskEvent: func(e replica.DiskEvent) {
			if group == groupConfiguration { // both groups report the events of their shared disk
				c.recordDiskEvent(e)
			}
		},
	})
}

// onChange makes a new view of the state machine available to the membership. The
// state machine calls it with each new view.
func (c *control) onChange(v *configstate.View) {
	document, err := encodeBundle(v)
	if err != nil {
		c.logger.Error("cannot encode the configuration; it is not distributed", "version", v.Version, "error", err)
		return
	}
	c.versions.add(revision(v), v.Version, v.Orders.Version)
	c.bundle.Store(&encodedBundle{revision(v), document})
	if wake := c.wakeMember.Load(); wake != nil {
		(*wake)()
	}
}

// Accepted returns the revision and the document of the newest accepted configuration,
// and the age of the confirmation that this configuration is the newest. The last result
// is false without a confirmation. The age is read first, because a configuration that is
// read afterwards can only be newer than the confirmed one.
func (c *control) Accepted() (uint64, []byte, time.Duration, bool) {
	age, ok := c.confirmationAge()
	b := c.bundle.Load()
	if b == nil {
		return 0, nil, age, ok
	}
	return b.revision, b.document, age, ok
}

func (c *control) confirmationAge() (time.Duration, bool) {
	if age, ok := c.config.ConfirmationAge(); ok {
		return age, true
	}
	age, ok := c.config.ProofAge()
	if at := c.lastConfirmation.Load(); at != nil && (!ok || time.Since(*at) < age) {
		return time.Since(*at), true
	}
	return age, ok
}

// maintainConfirmation keeps the confirmation of a follower recent, so that it can confirm
// the configuration to its children. It requests a confirmation from the leader when the
// leader's heartbeats have not brought a recent one. A follower that cannot reach the
// leader gets no confirmation, so its confirmation age grows.
func (c *control) maintainConfirmation(ctx context.Context) {
	t := time.NewTicker(confirmInterval)
	defer t.Stop()
	votes := map[*replica.Group]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		c.logVotes(votes)
		if _, leads := c.config.ConfirmationAge(); leads {
			continue
		}
		if age, ok := c.config.ProofAge(); ok && age < maxProofAge {
			continue
		}
		start := time.Now()
		confirmCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
		if err := c.config.ReadBarrier(confirmCtx); err == nil {
			c.lastConfirmation.Store(&start)
		}
		cancel()
	}
}

// logVotes logs when this replica gains or loses its vote in a group, so that an
// operator sees when a replaced instance is a voter again. votes contains the state
// that was logged last.
func (c *control) logVotes(votes map[*replica.Group]bool) {
	for _, g := range []*replica.Group{c.config, c.claims} {
		s := g.Status()
		isVoter := slices.ContainsFunc(s.Voters, func(m raft.Member) bool { return m.ID == s.ID })
		if isVoter != votes[g] {
			votes[g] = isVoter
			c.logger.Info("vote changed", "group", s.Group, "votes", isVoter, "voters", len(s.Voters))
		}
	}
}

// maintainLimits sets the limits of the claim store from the settings of this instance
// whenever the instance becomes the leader of the claims group.
func (c *control) maintainLimits(ctx context.Context, client *claim.Client) {
	t := time.NewTicker(limitsInterval)
	defer t.Stop()
	limitsSet := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		leads := c.claims.Status().Role == raft.Leader
		if !leads {
			limitsSet = false
		}
		if leads && !limitsSet {
			if err := client.SetLimits(ctx, c.limits); err != nil {
				c.logger.Warn("cannot set the limits of the claim store", "error", err)
				continue
			}
			limitsSet = true
		}
	}
}

// bootstrapRetryInterval is the time between two attempts to start the replicated logs.
const bootstrapRetryInterval = 100 * time.Millisecond

// founds reports whether this control instance is one of the first voters of the replicated logs.
func founds(s *settings.Settings) bool {
	return s.Control.Bootstrap && slices.Contains(s.Seeds, s.AdvertisedAddress)
}

// found starts the replicated logs without an operator, with the control instances at the seeds
// as their first voters, unless the data folder already belongs to a group. It retries until it
// succeeds, or this instance has joined the others, or ctx ends.
func (c *control) found(ctx context.Context, seeds []string) {
	lastError := ""
	for pending := []*replica.Group{c.config, c.claims}; ; {
		var err error
		pending = slices.DeleteFunc(pending, func(g *replica.Group) bool {
			e := g.Found(ctx, seeds)
			if e == nil {
				c.logger.Info("replicated log started", "group", g.Status().Group)
			} else if !errors.Is(e, replica.ErrAlreadyMember) {
				err = errors.Join(err, e)
				return false
			}
			return true
		})
		if len(pending) == 0 {
			return
		}
		if err.Error() != lastError {
			lastError = err.Error()
			c.logger.Warn("cannot start the replicated logs; retrying", "error", err)
		}
		if !clock.Sleep(ctx, bootstrapRetryInterval) {
			return
		}
	}
}

// retire hands over the votes of this instance to instances that wait for one, until ctx
// ends.
func (c *control) retire(ctx context.Context) {
	var groups sync.WaitGroup
	groups.Go(func() { c.config.Retire(ctx) })
	groups.Go(func() { c.claims.Retire(ctx) })
	groups.Wait()
}

// awaitRetirement waits until retire has handed over the votes of this instance or found that
// no other instance can take them. If ctx ends before, it logs that the process ends with a vote.
func (c *control) awaitRetirement(ctx context.Context) {
	var groups sync.WaitGroup
	for _, g := range []*replica.Group{c.config, c.claims} {
		groups.Go(func() {
			if err := g.AwaitRetirement(ctx); err != nil {
				c.logger.Warn("this control instance ends with a vote; the group replaces it after replace_after", "group", g.Status().Group, "error", err)
			}
		})
	}
	groups.Wait()
}

// close transfers leadership to other instances and closes the replicas.
func (c *control) close(ctx context.Context) error {
	var config, claims error
	var closing sync.WaitGroup
	closing.Go(func() { config = c.config.TransferAndClose(ctx) })
	closing.Go(func() { claims = c.claims.TransferAndClose(ctx) })
	closing.Wait()
	c.host.Close()
	var record error
	if c.quotaRecord != nil {
		record = c.quotaRecord.Close()
	}
	return errors.Join(config, claims, record, c.folderLock.Close())
}

var _ member.ConfigSource = (*control)(nil)
