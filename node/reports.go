package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"bramleymill/fleet"
	"bramleymill/probe"
	"bramleymill/proxy"
	"bramleymill/transport"
)

const (
	kindLoadReport = transport.FirstProbeKind

	// loadReportTimeout is far above a round trip. A report that takes longer is too old
	// to be useful.
	loadReportTimeout = 500 * time.Millisecond
)

type loadReportRequest struct{}

// loadReportReply contains no report if the measuring budget of the network is used up
// or if the queried node has no backend server.
type loadReportReply struct {
	Report *fleet.LoadReport `cbor:"1,keyasint,omitempty"`
}

// handleLoadQueries answers load queries of other nodes with the load of this node's
// backend server.
func handleLoadQueries(mux *transport.Mux, currentProxy func() *proxy.Proxy) {
	transport.Handle(mux, kindLoadReport, func(context.Context, transport.Peer, *loadReportRequest) (*loadReportReply, error) {
		reply := &loadReportReply{}
		if p := currentProxy(); p != nil {
			if r, ok := p.AnswerLoadQuery(); ok {
				reply.Report = &r
			}
		}
		return reply, nil
	})
}

// sendLoadQueries sends load queries until ctx ends. It queries the nodes whose load has
// not been reported recently in the messages of requests.
func sendLoadQueries(ctx context.Context, p *proxy.Proxy, client transport.Client, logger *slog.Logger) {
	t := time.NewTicker(probe.LoadQueryInterval)
	defer t.Stop()
	var queries sync.WaitGroup
	defer queries.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, q := range p.LoadQueries() {
			queries.Go(func() { sendLoadQuery(ctx, p, client, q, logger) })
		}
	}
}

func sendLoadQuery(ctx context.Context, p *proxy.Proxy, client transport.Client, q proxy.LoadQuery, logger *slog.Logger) {
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	var reply loadReportReply
	if err := client.Call(ctx, q.Server.PeerAddress, kindLoadReport, &loadReportRequest{}, &reply); err != nil {
		logger.Debug("load query failed", "node", q.Server.Node, "error", err)
		return
	}
	if reply.Report != nil {
		p.ObserveReport(q, reply.Report)
	}
}
