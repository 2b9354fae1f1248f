package filter

import (
	"context"
	"testing"
	"time"

	"bramleymill/class"
	"bramleymill/clock"
	"bramleymill/explain"
	"bramleymill/fleet"
)

// lateDirectory returns one server before the subscription and three afterwards.
type lateDirectory struct{ complete bool }

func (d *lateDirectory) Servers(string) []fleet.Server {
	if !d.complete {
		return pool3{}.Servers("shop")[:1]
	}
	return pool3{}.Servers("shop")
}

func (d *lateDirectory) Subscribe(context.Context, string) error {
	d.complete = true
	return nil
}

// Guards against first requests that do not wait for the complete list of servers. After the
// start of a node they would have only one of three servers as a candidate and all go to it.
func TestFirstRequestWaitsForTheWholePool(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	d := &lateDirectory{}
	candidates := 0
	next := HandlerFunc(func(c *Call) error { candidates = len(c.Candidates); return nil })
	f := NewServerSelection(next, d, "a", k, 1, explain.NewStore("n", 8, 8))
	c := &Call{Ctx: context.Background(), Class: &class.Resolved{Name: "browse", Service: "shop"}, history: &attemptHistory{}}
	if err := f.Serve(c); err != nil {
		t.Fatal(err)
	}
	if candidates != 3 {
		t.Fatalf("first request had %d candidates, want 3", candidates)
	}
}
