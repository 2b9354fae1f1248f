package node

import (
	"log/slog"
	"testing"

	"bramleymill/configstate"
)

// Guards against orders that go back: the start of the request path acts on the
// orders known so far while the membership may deliver later ones, so that an
// accepted drain was undone until the next change.
func TestOrdersNeverGoBack(t *testing.T) {
	var acted []uint64
	c := &configuration{logger: slog.New(slog.DiscardHandler), onOrders: func(o *configstate.Orders) { acted = append(acted, o.Version) }}
	for _, version := range []uint64{2, 1, 3} {
		document, err := encodeBundle(&configstate.View{Orders: &configstate.Orders{Version: version}})
		if err != nil {
			t.Fatal(err)
		}
		c.adopt(version, document)
	}
	if len(acted) != 2 || acted[0] != 2 || acted[1] != 3 {
		t.Errorf("acted on the versions %v, want 2 and 3", acted)
	}
}
