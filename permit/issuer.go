package permit

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"bramleymill/customer"
	"bramleymill/quota"
)

// observeInterval is the time between two observations of the voters.
const observeInterval = 100 * time.Millisecond

// IssuerConfig configures an Issuer.
type IssuerConfig struct {
	Start uint64 // random number that identifies the process
	Node  string
	Zone  string
	// Voters returns whether this instance is a voter of the configuration group by its
	// applied configuration, and the peer addresses of all voters. ok is false while these are
	// not known to be committed.
	Voters func() (voter bool, addresses []string, ok bool)
	// ConfiguredVoters is the number of voters that the settings state; zero: none.
	ConfiguredVoters int
	// Confirmed returns the age of the newest confirmation of the configuration by a majority,
	// and false if there is none.
	Confirmed func() (time.Duration, bool)
	// Unconfigured reports whether this instance has never applied a configuration.
	Unconfigured func() bool
	// Membership returns the index of the log entry that set the voters, and the index up to
	// which the log is applied. It is needed with a Record.
	Membership func() (changed, applied uint64)
	Record     *Record              // nil: buckets are empty at the start of the process
	Customers  func() *customer.Set // customers of the configuration in force
	Logger     *slog.Logger
}

// Issuer issues permits at a control instance. Its methods are safe for concurrent use.
type Issuer struct {
	config IssuerConfig
	begin  time.Time

	mu        sync.Mutex
	core      *quota.Issuer
	customers *customer.Set
	refusal   string // as logged last
	logged    bool

	recorded     entry // as written last; used by runRecord only
	recordFailed bool
	resumed      bool
}

// NewIssuer returns an Issuer that has observed the voters once.
func NewIssuer(c IssuerConfig) *Issuer {
	i := &Issuer{config: c, begin: time.Now(), core: quota.NewIssuer(c.Start, c.Node, c.Zone)}
	if c.Record != nil {
		i.core.SetRecorded(0)
	}
	i.observe()
	return i
}

// Run observes the voters and keeps the record until ctx ends. Nothing is issued before. A write
// that stalls does not delay the observation.
func (i *Issuer) Run(ctx context.Context) {
	if i.config.Record != nil {
		recording := make(chan struct{})
		defer func() { <-recording }()
		go func() { defer close(recording); i.runRecord(ctx) }()
	}
	t := time.NewTicker(observeInterval)
	defer t.Stop()
	for {
		i.observe()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (i *Issuer) observe() {
	voter, addresses, ok := i.config.Voters()
	confirmed := i.confirmed() // read before the state that it confirms
	unconfigured := i.config.Unconfigured()
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.update()
	if ok {
		// Voters that are not committed yet are not counted: the wait of a new one would begin
		// while the one that it replaces is still confirmed.
		i.core.SetVoters(now, voter, addresses, i.config.ConfiguredVoters)
	}
	if unconfigured && confirmed < quota.ConfirmationLimit {
		i.core.NothingConfigured(now, confirmed)
	}
	if refusal := i.core.Refusal(now, confirmed); i.customers.Len() > 0 && (refusal != i.refusal || !i.logged) {
		i.refusal, i.logged = refusal, true
		if refusal == "" {
			i.config.Logger.Info("issuing permits of quotas", "issuers", i.core.Share())
		} else {
			i.config.Logger.Warn("not issuing permits of quotas", "reason", refusal)
		}
	}
}

// update applies a changed configuration and returns the time. The caller holds i.mu.
func (i *Issuer) update() time.Duration {
	now := time.Since(i.begin)
	if s := i.config.Customers(); s != i.customers {
		i.customers = s
		i.core.SetCustomers(now, s.All())
	}
	return now
}

func (i *Issuer) confirmed() time.Duration {
	if age, ok := i.config.Confirmed(); ok {
		return age
	}
	return math.MaxInt64
}

// Handle decides on a request. It returns nil for a repeated message.
func (i *Issuer) Handle(r *quota.Request) *quota.Reply {
	i.mu.Lock()
	defer i.mu.Unlock()
	// The age is read after the lock was acquired, because the process may have been stopped
	// for a while before.
	return i.core.Handle(i.update(), i.confirmed(), r)
}

// Stop ends the issue of permits at the start of the stop of the process.
func (i *Issuer) Stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.core.Stop()
}

// Stats returns the counters of the issuer.
func (i *Issuer) Stats() quota.IssuerStats {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.core.Stats()
}

// Status is the state of an issuer as operators see it.
type Status struct {
	Node    string             `json:"node" cbor:"1,keyasint"`
	Issues  bool               `json:"issues" cbor:"2,keyasint"`
	Reason  string             `json:"reason,omitempty" cbor:"3,keyasint,omitempty"` // why it does not issue
	Issuers int                `json:"issuers" cbor:"4,keyasint"`                    // number of issuers among which quotas are divided
	Granted uint64             `json:"granted" cbor:"5,keyasint"`                    // permits since the start of the process
	Denied  uint64             `json:"denied" cbor:"6,keyasint"`
	Buckets []quota.BucketView `json:"buckets" cbor:"7,keyasint"`
}

// maxBuckets bounds the buckets in a Status.
const maxBuckets = 20

// Status returns the state with the bucket of one customer, or with those of the customers that
// were refused most often if the name is empty.
func (i *Issuer) Status(name string) Status {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.update()
	refusal, stats := i.core.Refusal(now, i.confirmed()), i.core.Stats()
	return Status{Node: i.config.Node, Issues: refusal == "", Reason: refusal, Issuers: i.core.Share(),
		Granted: stats.Granted, Denied: stats.Denied, Buckets: i.core.Buckets(now, name, maxBuckets)}
}
