package filter

import (
	"context"
	"time"

	"bramleymill/claim"
	"bramleymill/class"
	"bramleymill/fleet"
)

// Directory returns the backend servers of a service. The first request for a service
// subscribes the node to it.
type Directory interface {
	// Servers returns the servers that are known at present. The list is never changed
	// afterwards.
	Servers(service string) []fleet.Server
	// Subscribe waits until all servers of a service are known, but only for a bounded
	// time. Until then Servers may return only some of them.
	Subscribe(ctx context.Context, service string) error
}

// Configuration provides the class documents in force at this node.
type Configuration interface {
	// Current returns nil until the node has a confirmed configuration.
	Current() *class.Set
	// ConfirmationAge returns the age of the newest proof that Current is the
	// accepted configuration.
	ConfirmationAge() time.Duration
}

// Claims sends requests to the claims group, which may run on other nodes.
type Claims interface {
	Begin(ctx context.Context, r claim.BeginRequest) (claim.Result, error)
	Reassign(ctx context.Context, r claim.ReassignRequest) (claim.Result, error)
	Abandon(ctx context.Context, r claim.AbandonRequest) (claim.Result, error)
	Finish(ctx context.Context, r claim.FinishRequest) (claim.Result, error)
}

// Locks sends requests for the fleet-wide locks of the claims group.
type Locks interface {
	Lock(ctx context.Context, r claim.LockRequest) (claim.Result, error)
	Unlock(ctx context.Context, r claim.UnlockRequest) (claim.Result, error)
}
