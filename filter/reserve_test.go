package filter

import (
	"errors"
	"slices"
	"testing"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/fleet"
)

// recordingReserver records the reservations, cancellations and sends of the forward filter.
type recordingReserver struct {
	err   error
	steps []string
}

func (r *recordingReserver) Reserve(c *Call) error {
	r.steps = append(r.steps, "reserve")
	if r.err == nil {
		c.Meta.Reservation = 1
	}
	return r.err
}

func (r *recordingReserver) Cancel(*Call) { r.steps = append(r.steps, "cancel") }

func (r *recordingReserver) Serve(*Call) error {
	r.steps = append(r.steps, "send")
	return nil
}

// Guards against sending requests without a reserved slot, against keeping a slot for an
// attempt that is not sent, and against an additional round trip where it saves nothing.
func TestForwardReservesBeforeItSends(t *testing.T) {
	refusal, stopped := errkind.New(errkind.QueueFull, "no free slot"), errors.New("stopped by BeforeSend")
	for _, c := range []struct {
		name    string
		change  func(c *Call)
		refusal error
		want    []string
		err     error
	}{
		{"slot reserved", func(*Call) {}, nil, []string{"reserve", "send"}, nil},
		{"no free slot", func(*Call) {}, refusal, []string{"reserve"}, refusal},
		{"stopped before it is sent", func(c *Call) { c.BeforeSend = func(*Call) error { return stopped } }, nil, []string{"reserve", "cancel"}, stopped},
		{"may wait in the queue", func(c *Call) { c.Meta.Reroutable = false }, nil, []string{"send"}, nil},
		{"local server", func(c *Call) { c.Target.Node = "self" }, nil, []string{"send"}, nil},
		{"class that is not configured as an item", func(c *Call) {
			plain := *c.Class
			plain.ConfiguredAsItem = false
			c.Class = &plain
		}, nil, []string{"send"}, nil},
	} {
		k := clock.NewManual(time.Unix(1000, 0))
		r := &recordingReserver{err: c.refusal}
		call := itemCall(t, "order", k)
		call.Target, call.Meta.Reroutable = fleet.Server{Node: "other"}, true
		c.change(call)
		err := NewForward(r, r, "self", r, k).Serve(call)
		if !errors.Is(err, c.err) || !slices.Equal(r.steps, c.want) {
			t.Errorf("%s: steps %v, error %v, want %v and %v", c.name, r.steps, err, c.want, c.err)
		}
	}
}
