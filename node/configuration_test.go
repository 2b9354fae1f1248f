package node

import (
	"log/slog"
	"testing"

	"bramleymill/configstate"
)

// Guards against older operator orders that replace newer ones. The start of the request
// path applies the orders received so far while the membership may deliver later ones. If
// the older ones took effect last, an accepted drain would be reverted until the next
// change.
func TestOlderOrdersAreIgnored(t *testing.T) {
	var applied []uint64
	c := &configuration{logger: slog.New(slog.DiscardHandler), onOrders: func(o *configstate.Orders) { applied = append(applied, o.Version) }}
	for _, version := range []uint64{2, 1, 3} {
		document, err := encodeBundle(&configstate.View{Orders: &configstate.Orders{Version: version}})
		if err != nil {
			t.Fatal(err)
		}
		c.apply(version, document)
	}
	if len(applied) != 2 || applied[0] != 2 || applied[1] != 3 {
		t.Errorf("applied orders of versions %v, want [2 3]", applied)
	}
}
