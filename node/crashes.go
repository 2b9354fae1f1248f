package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleymill/explain"
	"bramleymill/filter"
	"bramleymill/fleet"
	"bramleymill/member"
	"bramleymill/suspect"
	"bramleymill/transport"
)

const (
	kindCrashReports = transport.KindsOfSuspect
	topicClearance   = "clearance"

	// crashReportTimeout bounds how long an answer waits until the other nodes
	// of the service know about a crash.
	crashReportTimeout = 200 * time.Millisecond
)

type crashReports struct {
	Reports []fleet.CrashReport `cbor:"1,keyasint"`
}

type acknowledgement struct{}

// crashes spreads crash reports: directly to the nodes of the service, which
// may be sent the same request next, and through the membership to all nodes.
type crashes struct {
	client transport.Client
	member *member.Member
	self   fleet.NodeID
	logger *slog.Logger
}

// ReportCrash returns when the nodes of the service have acknowledged the
// reports or the time bound is over.
func (c *crashes) ReportCrash(ctx context.Context, reports []fleet.CrashReport) {
	if len(reports) == 0 {
		return
	}
	for _, r := range reports {
		c.logger.Warn("backend server died with request in flight", "service", r.Service, "class", r.Class,
			"fingerprint", r.Fingerprint, "confined", r.Confined)
		c.member.PublishCrash(r)
	}
	ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	var sending sync.WaitGroup
	for _, s := range c.member.Servers(reports[0].Service) {
		if s.Node == c.self {
			continue
		}
		sending.Go(func() {
			err := c.client.Call(ctx, s.PeerAddress, kindCrashReports, &crashReports{reports}, &acknowledgement{})
			if err != nil {
				c.logger.Warn("crash report not acknowledged", "node", s.Node, "error", err)
			}
		})
	}
	sending.Wait()
}

// ReportClear passes on that a suspicion is over.
func (c *crashes) ReportClear(cl suspect.Clearance) {
	b, err := cbor.Marshal(cl)
	if err != nil {
		c.logger.Error("clearance not encoded", "error", err)
		return
	}
	c.member.Publish(topicClearance, b)
}

// receiveCrashes merges the messages of other nodes into the table of suspects.
// The table exists before the request path, because a node that joins is told at
// once what the others know.
func receiveCrashes(mux *transport.Mux, m *member.Member, table *suspect.Table, store *explain.Store, logger *slog.Logger) {
	receive := func(reports []fleet.CrashReport) {
		for _, r := range reports {
			filter.ReceiveCrash(time.Now(), table, store, r)
		}
	}
	transport.Handle(mux, kindCrashReports, func(_ context.Context, _ transport.Peer, r *crashReports) (*acknowledgement, error) {
		receive(r.Reports)
		return &acknowledgement{}, nil
	})
	m.OnCrash(func(r fleet.CrashReport) { receive([]fleet.CrashReport{r}) })
	m.OnBroadcast(topicClearance, func(origin fleet.NodeID, payload []byte) {
		var cl suspect.Clearance
		if err := cbor.Unmarshal(payload, &cl); err != nil {
			logger.Warn("clearance not decoded", "origin", origin, "error", err)
			return
		}
		table.Clear(time.Now(), cl)
	})
}
