package node

import (
	"log/slog"
	"testing"

	"bramleymill/configstate"
)

// Guards against older operator orders that replace newer ones. When the node starts to
// serve requests, it applies the operator orders that it has received so far. At the same
// time the membership may deliver newer ones. If the older ones were applied last, an
// accepted drain would be undone until the next change.
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
		t.Errorf("after the delivery of orders of versions 2, 1 and 3: applied versions %v, want [2 3]", applied)
	}
}
