package admit

import (
	"testing"
	"time"
)

// serve runs one request of a class from now on for d.
func serve(t *testing.T, c *Controller, id uint64, class string, now time.Time, d time.Duration) {
	t.Helper()
	if v, kind, _ := c.Offer(now, id, Request{Class: class, Deadline: now.Add(time.Minute)}); v != Admitted {
		t.Fatalf("request %d: %d %q", id, v, kind)
	}
	c.Done(now.Add(d), id, d)
}

// Guards against a slow server that looks fast to the selecting nodes once it has
// been idle for a few seconds.
func TestReportedServiceTimeDoesNotFallWithAge(t *testing.T) {
	c := NewController(Config{Slots: 5})
	serve(t, c, 1, "survey", start, 320*time.Millisecond)
	l := c.Load(start.Add(320*time.Millisecond + 5*time.Second))
	if l.ServiceTime != 320*time.Millisecond || l.ServiceAge != 5*time.Second {
		t.Errorf("reported %v of an age of %v, want 320ms of 5s", l.ServiceTime, l.ServiceAge)
	}
}

// Guards against a slow server that is known only after its first slow answer,
// and against classes that are slow by nature being taken for a slow server.
func TestOverdueRequestsRaiseTheReportedServiceTime(t *testing.T) {
	c := NewController(Config{Slots: 5})
	if l := c.Load(start); l.ServiceTime != 0 {
		t.Errorf("reported %v before the first answer", l.ServiceTime)
	}
	serve(t, c, 1, "price", start, 10*time.Millisecond)
	serve(t, c, 2, "survey", start, 10*time.Millisecond)
	for i := range 30 {
		serve(t, c, uint64(10+i), "survey", start, 100*time.Millisecond)
	}
	now := start.Add(100 * time.Millisecond)
	before := c.Load(now).ServiceTime
	for i := range 3 {
		c.Offer(now, uint64(50+i), Request{Class: "survey", Deadline: now.Add(time.Minute)})
	}
	if got := c.Load(now.Add(140 * time.Millisecond)).ServiceTime; got != before {
		t.Errorf("reported %v while surveys take their usual time, %v before", got, before)
	}
	late := c.Load(now.Add(400 * time.Millisecond))
	if late.ServiceTime < before*3/2 || late.ServiceTime > 400*time.Millisecond || late.ServiceAge != 0 {
		t.Errorf("reported %v of an age of %v with three surveys running for 400ms, %v before", late.ServiceTime, late.ServiceAge, before)
	}
}
