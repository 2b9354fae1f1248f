package filter

import (
	"strconv"
	"testing"
	"time"

	"bramleymill/class"
	"bramleymill/clock"
	"bramleymill/errkind"
)

// Guards against memory that grows with the request rate, and against removing a recorded
// attempt to make space for another one, because the removed attempt could then run twice.
func TestDuplicatesAreBounded(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	next := &recordingHandler{}
	f := NewDuplicates(next, k)
	c := newCall(t, "PUT", "", k)
	serve := func(i int) errkind.Kind {
		c.Meta.RequestID, c.Meta.Attempt = "e."+strconv.Itoa(i), 1
		return kindOf(f.Serve(c))
	}
	for i := range maxAttempts / 2 {
		serve(i)
	}
	k.Advance(class.MaxDeadline + 1)
	for i := maxAttempts / 2; i < maxAttempts; i++ {
		serve(i)
	}
	if next.calls != maxAttempts {
		t.Fatalf("%d of %d attempts were accepted, want all", next.calls, maxAttempts)
	}
	if kind := serve(maxAttempts); kind != errkind.QueueFull || next.calls != maxAttempts {
		t.Errorf("attempt beyond the limit: error kind = %q, want queue_full and no call", kind)
	}
	for _, i := range []int{0, maxAttempts - 1} {
		if kind := serve(i); kind != errkind.DuplicateAttempt {
			t.Errorf("duplicate while the tables are full: error kind = %q, want duplicate_attempt", kind)
		}
	}
	if c.Meta.Idempotent = true; serve(maxAttempts) != "" {
		t.Error("an attempt of an idempotent request was refused while the tables are full, want it accepted")
	}
	c.Meta.Idempotent = false
	k.Advance(class.MaxDeadline + 1) // the rotation removes the first half
	if kind := serve(maxAttempts); kind != "" {
		t.Errorf("new attempt after the rotation: error kind = %q, want no error", kind)
	}
}

func BenchmarkDuplicates(b *testing.B) {
	k := clock.NewManual(time.Unix(1000, 0))
	f := NewDuplicates(&recordingHandler{}, k)
	c := newCall(b, "PUT", "", k)
	c.Meta.ClaimID = "0123456789abcdef0123456789abcdef-1"
	b.ReportAllocs()
	for i := range b.N {
		if i%(maxAttempts/4) == 0 {
			k.Advance(class.MaxDeadline + 1)
		}
		c.Meta.Attempt = uint32(i)
		_ = f.Serve(c)
	}
}
