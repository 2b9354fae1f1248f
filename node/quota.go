package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"bramleymill/customer"
	"bramleymill/errkind"
	"bramleymill/operator"
	"bramleymill/permit"
	"bramleymill/proxy"
	"bramleymill/quota"
	"bramleymill/raft"
	"bramleymill/transport"
)

const (
	kindPermitRequest = transport.FirstQuotaKind
	kindQuotaStatus   = transport.FirstQuotaKind + 1

	// permitCallTimeout limits a message about permits where the network is not trusted. A
	// later reply has no request that waits for it.
	permitCallTimeout = 500 * time.Millisecond
	// quotaStatusTimeout limits the time in which a control instance states its quotas to
	// another one.
	quotaStatusTimeout = time.Second
)

// openQuotas creates the client of permits, and the issuer at a control instance.
func (n *Node) openQuotas(mux *transport.Mux) error {
	s := n.settings
	n.permits = permit.NewClient(permit.ClientConfig{ID: rand.Uint64(), Zone: s.Zone, Seed: n.seed, Controls: n.controlAddresses,
		Send: n.sendPermitRequest, Logger: n.logger})
	if n.control == nil {
		return nil
	}
	record, err := permit.OpenRecord(s.Control.DataFolder)
	if err != nil {
		return err
	}
	n.control.quotaRecord = record
	n.issuer = permit.NewIssuer(permit.IssuerConfig{Start: rand.Uint64(), Node: s.Node, Zone: s.Zone, Voters: n.control.configVoters,
		ConfiguredVoters: s.Control.Voters, Confirmed: n.control.confirmationAge,
		Unconfigured: n.control.unconfigured, Membership: n.control.membership, Record: record, Customers: n.customers, Logger: n.logger})
	transport.Handle(mux, kindPermitRequest, func(_ context.Context, _ transport.Peer, r *quota.Request) (*quota.Reply, error) {
		if reply := n.issuer.Handle(r); reply != nil {
			return reply, nil
		}
		return nil, errkind.New(errkind.BadRequest, "the message about permits was received before")
	})
	transport.Handle(mux, kindQuotaStatus, func(_ context.Context, _ transport.Peer, r *quotaStatusRequest) (*permit.Status, error) {
		status := n.issuer.Status(r.Customer)
		return &status, nil
	})
	return nil
}

type quotaStatusRequest struct {
	Customer string `cbor:"1,keyasint,omitempty"` // empty: the customers that were refused most often
}

// controlAddresses returns the peer addresses of the known control instances, this one included.
func (n *Node) controlAddresses() []string {
	addresses := n.member.Controls()
	if n.control != nil && !slices.Contains(addresses, n.settings.AdvertisedAddress) {
		addresses = append(addresses, n.settings.AdvertisedAddress)
	}
	return addresses
}

// configVoters returns whether this instance is a voter of the configuration group, and the
// addresses of all voters. ok is false while the newest voters are not known to be committed.
func (c *control) configVoters() (voter bool, addresses []string, ok bool) {
	s := c.config.Status()
	for _, v := range s.Voters {
		addresses = append(addresses, v.Address)
	}
	return slices.ContainsFunc(s.Voters, func(m raft.Member) bool { return m.ID == s.ID }), addresses, s.Applied >= s.ConfIndex
}

// membership returns the index of the log entry that set the voters of the configuration group,
// and the index up to which its log is applied.
func (c *control) membership() (changed, applied uint64) {
	s := c.config.Status()
	return s.ConfIndex, s.Applied
}

// unconfigured reports whether this instance has never applied a configuration.
func (c *control) unconfigured() bool {
	v := c.machine.View()
	return v.Version == 0 && (v.Items == nil || v.Items.Revision == 0)
}

func (n *Node) customers() *customer.Set {
	if set := n.config.Current(); set != nil {
		return set.Customers()
	}
	return nil
}

// sendPermitRequest sends a request for permits: as a datagram in a trusted network, in which
// the sender need not be authenticated, and as a call otherwise.
func (n *Node) sendPermitRequest(address string, r *quota.Request) {
	if n.settings.TrustedNetwork {
		permit.SendRequest(n.endpoint, address, r)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), permitCallTimeout)
		defer cancel()
		var reply quota.Reply
		if n.endpoint.Call(ctx, address, kindPermitRequest, r, &reply) == nil {
			n.permits.Receive(&reply)
		}
	}()
}

// handleDatagrams returns the handler of the datagrams of other nodes.
func (n *Node) handleDatagrams(p *proxy.Proxy) func(from string, payload []byte) {
	return func(from string, payload []byte) {
		if permit.IsDatagram(payload) {
			permit.HandleDatagram(n.endpoint, n.permits, n.issuer, from, payload)
			return
		}
		p.HandleDatagram(from, payload)
	}
}

// Quotas returns the state of the quotas at all voters.
func (n *Node) Quotas(ctx context.Context, customer string) ([]permit.Status, error) {
	if n.control == nil {
		return nil, errkind.New(errkind.ControlUnavailable, "node %s has no control role", n.settings.Node)
	}
	ctx, cancel := context.WithTimeout(ctx, quotaStatusTimeout)
	defer cancel()
	_, addresses, _ := n.control.configVoters()
	out := make([]permit.Status, len(addresses))
	var calls sync.WaitGroup
	for i, a := range addresses {
		calls.Go(func() {
			if err := n.endpoint.Call(ctx, a, kindQuotaStatus, &quotaStatusRequest{customer}, &out[i]); err != nil {
				out[i] = permit.Status{Node: a, Reason: "no answer: " + err.Error()}
			}
		})
	}
	calls.Wait()
	slices.SortFunc(out, func(a, b permit.Status) int { return strings.Compare(a.Node, b.Node) })
	return out, nil
}

var _ operator.QuotaView = (*Node)(nil)

// updateQuotaMetrics sets the metrics of permits. Those of the issuer exist at control
// instances only.
func (n *Node) updateQuotaMetrics() {
	c := n.permits.Stats()
	n.metrics.Set("quota_requests_granted", float64(c.Granted))
	n.metrics.Set("quota_requests_waited", float64(c.Waited))
	n.metrics.Set("quota_requests_denied", float64(c.Denied))
	n.metrics.Set("quota_requests_unavailable", float64(c.Unavailable))
	n.metrics.Set("quota_permits_returned", float64(c.Returned))
	n.metrics.Set("quota_messages", float64(c.Messages))
	n.metrics.Set("quota_messages_timed_out", float64(c.Timeouts))
	if n.issuer == nil {
		return
	}
	i := n.issuer.Stats()
	n.metrics.Set("quota_issuer_messages", float64(i.Messages))
	n.metrics.Set("quota_issuer_refused", float64(i.Refused))
	n.metrics.Set("quota_issuer_permits_granted", float64(i.Granted))
	n.metrics.Set("quota_issuer_requests_denied", float64(i.Denied))
	n.metrics.Set("quota_issuer_permits_returned", float64(i.Returned))
}
