package filter

import (
	"context"
	"time"

	"bramleymill/claim"
	"bramleymill/class"
	"bramleymill/fleet"
)

// Directory tells which backend servers offer a service. The first call for a
// service makes the node follow it.
type Directory interface {
	// Servers returns a list that is not changed afterwards.
	Servers(service string) []fleet.Server
	// Subscribe waits a bounded time until all servers of a service are known.
	// Before that, Servers may return only some of them.
	Subscribe(ctx context.Context, service string) error
}

// Configuration gives the class documents in force at this node.
type Configuration interface {
	// Current returns nil until the node has a confirmed configuration.
	Current() *class.Set
	// Confirmed returns the age of the newest proof that Current is the
	// accepted configuration.
	Confirmed() time.Duration
}

// Claims reaches the claims group from any node.
type Claims interface {
	Begin(ctx context.Context, r claim.BeginRequest) (claim.Result, error)
	Reassign(ctx context.Context, r claim.ReassignRequest) (claim.Result, error)
	Abandon(ctx context.Context, r claim.AbandonRequest) (claim.Result, error)
	Finish(ctx context.Context, r claim.FinishRequest) (claim.Result, error)
}

// Locks reaches the fleet-wide locks that the claims group holds.
type Locks interface {
	Lock(ctx context.Context, r claim.LockRequest) (claim.Result, error)
	Unlock(ctx context.Context, r claim.UnlockRequest) (claim.Result, error)
}
