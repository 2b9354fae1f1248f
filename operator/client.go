package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bramleymill/configstate"
	"bramleymill/fleet"
	"bramleymill/permit"
)

// ErrUnreachable is wrapped by the error of a request that no node answered. A
// change that may have been executed gets an Error of kind OutcomeUnknown instead.
var ErrUnreachable = errors.New("no node is reachable")

// Client sends requests to the operator interface of the first configured node
// that answers. It is safe for concurrent use.
type Client struct {
	http       *http.Client
	addresses  []string
	roundPause time.Duration // wait between two rounds over the addresses
}

// NewClient returns a Client for the nodes at the given admin addresses. Every
// request goes to the addresses in their order until one answers. An address is
// host:port, which stands for HTTPS, or a URL.
func NewClient(h *http.Client, addresses []string) *Client {
	return &Client{http: h, addresses: addresses, roundPause: defaultRoundPause}
}

// Init starts the replicated log at the instance whose address the client has. It
// returns an error if the client has several addresses, because two instances that
// both start a log would form two separate groups.
func (c *Client) Init(ctx context.Context) error {
	if len(c.addresses) != 1 {
		return fmt.Errorf("init needs exactly one address, got %d", len(c.addresses))
	}
	_, err := c.attempt(ctx, c.addresses[0], request{method: http.MethodPost, path: "/v1/init", body: struct{}{}}, nil)
	return err
}

// Apply replaces the class document.
func (c *Client) Apply(ctx context.Context, q ApplyRequest) (ChangeResult, error) {
	return c.change(ctx, "/v1/config", q)
}

// Rollback reactivates the document of an older version as a new version.
func (c *Client) Rollback(ctx context.Context, q RollbackRequest) (ChangeResult, error) {
	return c.change(ctx, "/v1/config/rollback", q)
}

// Drain adds a drain order for a node, which then refuses new work until Undrain.
func (c *Client) Drain(ctx context.Context, node fleet.NodeID, q OrderRequest) (ChangeResult, error) {
	return c.change(ctx, "/v1/nodes/"+url.PathEscape(string(node))+"/drain", q)
}

// Undrain removes the drain order of a node.
func (c *Client) Undrain(ctx context.Context, node fleet.NodeID, q OrderRequest) (ChangeResult, error) {
	return c.change(ctx, "/v1/nodes/"+url.PathEscape(string(node))+"/undrain", q)
}

// Evacuate takes a zone out of use: nothing more is sent to its backend servers until Return.
func (c *Client) Evacuate(ctx context.Context, zone string, q OrderRequest) (ChangeResult, error) {
	return c.change(ctx, "/v1/zones/"+url.PathEscape(zone)+"/evacuate", q)
}

// Return withdraws the order that took a zone out of use.
func (c *Client) Return(ctx context.Context, zone string, q OrderRequest) (ChangeResult, error) {
	return c.change(ctx, "/v1/zones/"+url.PathEscape(zone)+"/return", q)
}

// Release allows the requests of a crash suspect to run again.
func (c *Client) Release(ctx context.Context, q ReleaseRequest) (ChangeResult, error) {
	return c.change(ctx, "/v1/suspects/release", q)
}

func (c *Client) change(ctx context.Context, path string, body any) (ChangeResult, error) {
	var out ChangeResult
	err := c.do(ctx, request{method: http.MethodPost, path: path, body: body}, &out)
	return out, err
}

func (c *Client) read(ctx context.Context, path string, query url.Values, out any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.do(ctx, request{method: http.MethodGet, path: path}, out)
}

func decimal(v uint64) string { return strconv.FormatUint(v, 10) }

// Current returns the configuration in force. It has version 0 and no document
// if none has been applied yet.
func (c *Client) Current(ctx context.Context) (Configuration, error) {
	var out Configuration
	err := c.read(ctx, "/v1/config", nil, &out)
	return out, err
}

// Version returns the given version of the configuration. The error is of kind
// NotFound if that version is not kept.
func (c *Client) Version(ctx context.Context, version uint64) (Configuration, error) {
	var out Configuration
	err := c.read(ctx, "/v1/config", url.Values{"version": {decimal(version)}}, &out)
	return out, err
}

// Diff returns the difference between two versions of the class document. If to
// is 0, the version in force is used; if from is 0, the version before to.
func (c *Client) Diff(ctx context.Context, from, to uint64) (DiffResult, error) {
	query := url.Values{}
	if to != 0 {
		query.Set("to", decimal(to))
	}
	if from != 0 {
		query.Set("from", decimal(from))
	}
	var out DiffResult
	err := c.read(ctx, "/v1/config/diff", query, &out)
	return out, err
}

// History returns up to limit entries of the audit trail that follow the entry
// with sequence number after.
func (c *Client) History(ctx context.Context, after uint64, limit int) (configstate.Trail, error) {
	var out configstate.Trail
	err := c.read(ctx, "/v1/history", url.Values{"after": {decimal(after)}, "limit": {strconv.Itoa(limit)}}, &out)
	return out, err
}

// Status returns the state of the fleet as seen by the node that answers. It also
// succeeds without a majority; Status.Confirmed is then false.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.read(ctx, "/v1/status", nil, &out)
	return out, err
}

// Wait returns when every live node has applied at least the given versions of the
// configuration and of the operator orders (drains and releases of suspects). It also
// returns after timeout, which the server limits to MaxWait. WaitResult.Lagging then
// lists the live nodes that have not applied both versions.
func (c *Client) Wait(ctx context.Context, version, ordersVersion uint64, timeout time.Duration) (WaitResult, error) {
	var out WaitResult
	query := url.Values{"version": {decimal(version)}, "orders": {decimal(ordersVersion)},
		"timeout_ms": {strconv.FormatInt(timeout.Milliseconds(), 10)}}
	err := c.do(ctx, request{method: http.MethodGet, path: "/v1/config/wait?" + query.Encode(), timeout: timeout + attemptTimeout}, &out)
	return out, err
}

// Explain returns the record of a request. It queries the addresses in order
// until one has the record.
func (c *Client) Explain(ctx context.Context, requestID string) (Explanation, error) {
	var out Explanation
	err := c.do(ctx, request{method: http.MethodGet, path: "/v1/explain/" + url.PathEscape(requestID), continueOnNotFound: true}, &out)
	return out, err
}

// Quotas returns the state of the quotas at all voters: of one customer, or of those that were
// refused most often if the name is empty.
func (c *Client) Quotas(ctx context.Context, customer string) ([]permit.Status, error) {
	query := url.Values{}
	if customer != "" {
		query.Set("customer", customer)
	}
	var out []permit.Status
	err := c.read(ctx, "/v1/quotas", query, &out)
	return out, err
}

// Suspects returns the crash suspects known to the node that answers.
func (c *Client) Suspects(ctx context.Context) ([]Suspect, error) {
	var out []Suspect
	err := c.read(ctx, "/v1/suspects", nil, &out)
	return out, err
}
