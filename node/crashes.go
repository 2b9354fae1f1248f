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
	kindCrashReports = transport.FirstSuspectKind
	topicClearance   = "clearance"

	// crashReportTimeout is the longest time for which the answer to a request is delayed
	// to wait for the other nodes of the service to acknowledge a crash report.
	crashReportTimeout = 200 * time.Millisecond
)

type crashReports struct {
	Reports []fleet.CrashReport `cbor:"1,keyasint"`
}

type acknowledgement struct{}

// crashes distributes crash reports: directly to the nodes of the service, because the
// same request may be sent to them next, and to all nodes through the membership.
type crashes struct {
	client transport.Client
	member *member.Member
	self   fleet.NodeID
	logger *slog.Logger
}

// ReportCrash distributes the reports, which are all for the same service. It returns
// when the other nodes of the service have acknowledged them or crashReportTimeout has
// passed.
func (c *crashes) ReportCrash(ctx context.Context, reports []fleet.CrashReport) {
	if len(reports) == 0 {
		return
	}
	for _, r := range reports {
		c.logger.Warn("backend server crashed with a request in flight", "service", r.Service, "class", r.Class,
			"fingerprint", r.Fingerprint, "confined", r.Confined)
		c.member.BroadcastCrash(r)
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

// ReportClearance broadcasts a clearance: a request is no longer a crash suspect.
func (c *crashes) ReportClearance(cl suspect.Clearance) {
	b, err := cbor.Marshal(cl)
	if err != nil {
		c.logger.Error("cannot encode a clearance", "error", err)
		return
	}
	c.member.Broadcast(topicClearance, b)
}

// receiveCrashes records the crash reports and clearances of other nodes in the table of
// crash suspects. The table is created before the request path, because a node receives
// the earlier reports immediately when it joins.
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
			logger.Warn("cannot decode a clearance", "origin", origin, "error", err)
			return
		}
		table.Clear(time.Now(), cl)
	})
}
