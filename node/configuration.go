package node

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleymill/class"
	"bramleymill/configstate"
	"bramleymill/itemset"
)

// bundle is what the membership distributes as the configuration of one
// revision: the class document and the standing orders of operators.
type bundle struct {
	Version  uint64              `cbor:"1,keyasint"` // of Document, zero before the first
	Document []byte              `cbor:"2,keyasint,omitempty"`
	Orders   *configstate.Orders `cbor:"3,keyasint,omitempty"`
	Items    []byte              `cbor:"4,keyasint,omitempty"` // as itemset.Set.Encode writes them; none before the first
}

// revision orders bundles. Each accepted change raises exactly one of the three
// versions, so that their sum increases with every change.
func revision(v *configstate.View) uint64 {
	sum := v.Version + v.Orders.Version
	if v.Items != nil {
		sum += v.Items.Revision
	}
	return sum
}

func encodeBundle(v *configstate.View) ([]byte, error) {
	out := bundle{Version: v.Version, Document: v.Document, Orders: v.Orders}
	if v.Items != nil && v.Items.Revision > 0 {
		items, err := v.Items.Encode()
		if err != nil {
			return nil, err
		}
		out.Items = items
	}
	b, err := cbor.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return b, nil
}

// configuration holds the classes in force at this node. It implements
// filter.Configuration.
type configuration struct {
	set       atomic.Pointer[class.Set]
	confirmed func() time.Duration
	logger    *slog.Logger
	onOrders  func(*configstate.Orders)
	onClasses func(version uint64)

	mu     sync.Mutex          // held while a bundle is adopted
	orders *configstate.Orders // the latest ones, nil before the first
}

// Current returns the classes in force, or nil before the first ones.
func (c *configuration) Current() *class.Set { return c.set.Load() }

// Confirmed returns the age of the newest proof that Current is up to date.
func (c *configuration) Confirmed() time.Duration { return c.confirmed() }

// apply puts a distributed bundle in force, unless a later one is.
func (c *configuration) apply(revision uint64, document []byte) {
	var b bundle
	if err := cbor.Unmarshal(document, &b); err != nil {
		c.logger.Error("configuration not decoded", "revision", revision, "error", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case b.Items != nil:
		c.applyItems(b)
	case b.Document != nil:
		c.applyClasses(b)
	}
	if b.Orders != nil && (c.orders == nil || b.Orders.Version > c.orders.Version) {
		c.orders = b.Orders
		c.onOrders(b.Orders)
	}
}

// reapplyOrders acts on orders that arrived before the request path was there.
func (c *configuration) reapplyOrders() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.orders != nil {
		c.onOrders(c.orders)
	}
}

// applyClasses is called with mu held.
func (c *configuration) applyClasses(b bundle) {
	if old := c.set.Load(); old != nil && old.Version >= b.Version {
		return
	}
	d, err := class.Parse(b.Document)
	if err != nil {
		c.logger.Error("class document not accepted by this release", "version", b.Version, "error", err)
		return
	}
	c.set.Store(class.NewSet(b.Version, d))
	c.logger.Info("configuration in force", "version", b.Version, "classes", len(d.Classes))
	c.onClasses(b.Version)
}

// applyItems is called with mu held. A fleet that is configured by items takes no
// classes from a document. The version of the set is the revision of the items.
func (c *configuration) applyItems(b bundle) {
	items, err := itemset.Decode(b.Items)
	if err != nil {
		c.logger.Error("configuration not decoded", "error", err)
		return
	}
	if old := c.set.Load(); old != nil && old.Version >= items.Revision {
		return
	}
	c.set.Store(items.Classes(items.Revision))
	c.logger.Info("configuration in force", "version", items.Revision, "items", items.Len())
	c.onClasses(items.Revision)
}
