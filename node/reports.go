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
	kindLoadReport = transport.KindsOfProbe

	// loadReportTimeout is far above a round trip. A later report is of no use.
	loadReportTimeout = 500 * time.Millisecond
)

type loadReportRequest struct{}

// loadReportReply holds no report when the budget of the server is spent.
type loadReportReply struct {
	Report *fleet.LoadReport `cbor:"1,keyasint,omitempty"`
}

// handleLoadQueries serves the load of the own backend server to other nodes.
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

// sendLoadQueries asks other nodes for the load that the messages of requests have
// not told lately, until ctx ends.
func sendLoadQueries(ctx context.Context, p *proxy.Proxy, client transport.Client, logger *slog.Logger) {
	t := time.NewTicker(probe.LoadQueryInterval)
	defer t.Stop()
	var asking sync.WaitGroup
	defer asking.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, q := range p.LoadQueries() {
			asking.Go(func() { sendLoadQuery(ctx, p, client, q, logger) })
		}
	}
}

func sendLoadQuery(ctx context.Context, p *proxy.Proxy, client transport.Client, q proxy.LoadQuery, logger *slog.Logger) {
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	var reply loadReportReply
	if err := client.Call(ctx, q.Server.PeerAddress, kindLoadReport, &loadReportRequest{}, &reply); err != nil {
		logger.Debug("load not told", "node", q.Server.Node, "error", err)
		return
	}
	if reply.Report != nil {
		p.ObserveReport(q, reply.Report)
	}
}
