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

// bundle is the configuration of one revision, as the membership distributes it:
// the class document, the operator orders (drains of nodes, releases of crash suspects
// and zones taken out of use) and the items.
type bundle struct {
	Version  uint64              `cbor:"1,keyasint"` // version of Document; zero before the first document
	Document []byte              `cbor:"2,keyasint,omitempty"`
	Orders   *configstate.Orders `cbor:"3,keyasint,omitempty"`
	// Items is encoded by itemset.Set.EncodePlain; nil before the first item. It is not
	// compressed, so that the membership finds the parts that a change leaves as they are.
	Items []byte `cbor:"5,keyasint,omitempty"`
}

// revision returns the number by which bundles are ordered. Each accepted change
// increases the version of either the document, the orders or the items, so the sum of
// the three increases with every change.
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
		items, err := v.Items.EncodePlain()
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

// configuration contains the classes that this node currently uses. It implements
// filter.Configuration.
type configuration struct {
	set             atomic.Pointer[class.Set]
	confirmationAge func() time.Duration
	logger          *slog.Logger
	onOrders        func(*configstate.Orders) // applies operator orders to the request path
	onClasses       func(version uint64)      // records that a class set has come into force

	mu     sync.Mutex          // held while a bundle is applied
	orders *configstate.Orders // operator orders applied last; nil before the first
}

// Current returns the classes in use, or nil before the first configuration.
func (c *configuration) Current() *class.Set { return c.set.Load() }

// ConfirmationAge returns the age of the newest confirmation that Current is up to date.
func (c *configuration) ConfirmationAge() time.Duration { return c.confirmationAge() }

// apply puts those parts of a distributed bundle into use that are newer than the
// current ones.
func (c *configuration) apply(revision uint64, document []byte) {
	var b bundle
	if err := cbor.Unmarshal(document, &b); err != nil {
		c.logger.Error("cannot decode the configuration", "revision", revision, "error", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// The orders come first: with its first classes the node starts to send requests, and none
	// may go to a zone that is out of use.
	if b.Orders != nil && (c.orders == nil || b.Orders.Version > c.orders.Version) {
		c.orders = b.Orders
		c.onOrders(b.Orders)
	}
	switch {
	case b.Items != nil:
		c.applyItems(b)
	case b.Document != nil:
		c.applyClasses(b)
	}
}

// reapplyOrders applies operator orders that arrived before the request path was started.
func (c *configuration) reapplyOrders() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.orders != nil {
		c.onOrders(c.orders)
	}
}

// applyClasses puts the class document of b into use if it is newer than the one in
// use. The caller holds mu.
func (c *configuration) applyClasses(b bundle) {
	if old := c.set.Load(); old != nil && old.Version >= b.Version {
		return
	}
	d, err := class.Parse(b.Document)
	if err != nil {
		c.logger.Error("class document is invalid for this release", "version", b.Version, "error", err)
		return
	}
	c.set.Store(class.NewSet(b.Version, d))
	c.logger.Info("configuration in force", "version", b.Version, "classes", len(d.Classes))
	c.onClasses(b.Version)
}

// applyItems puts the items of b into use if they are newer than those in use. A fleet
// that is configured by items uses no class document. The version of its class set is
// the revision of the items. The caller holds mu.
func (c *configuration) applyItems(b bundle) {
	items, err := itemset.DecodePlain(b.Items)
	if err != nil {
		c.logger.Error("cannot decode the items of the configuration", "error", err)
		return
	}
	if old := c.set.Load(); old != nil && old.Version >= items.Revision {
		return
	}
	c.set.Store(items.Classes(items.Revision))
	c.logger.Info("configuration in force", "version", items.Revision, "items", items.Len())
	c.onClasses(items.Revision)
}
