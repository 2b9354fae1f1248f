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
	// Servers returns the servers that are known at present. The directory never modifies a
	// slice that it has returned.
	Servers(service string) []fleet.Server
	// Subscribe subscribes the node to a service and waits, for a bounded time, until all
	// servers of the service are known. Until then Servers may return only some of them.
	Subscribe(ctx context.Context, service string) error
}

// Configuration provides the configuration in force at this node.
type Configuration interface {
	// Current returns nil until the node has a confirmed configuration.
	Current() *class.Set
	// ConfirmationAge returns the time since it was last confirmed that no configuration
	// has superseded Current.
	ConfirmationAge() time.Duration
}

// Claims sends requests to the claims group, the Raft group that stores the claims on
// idempotency keys. Its replicas may run on other nodes.
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
