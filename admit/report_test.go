package admit

import (
	"testing"
	"time"
)

// serve offers a request of the given class at now and ends it after d.
func serve(t *testing.T, c *Controller, id uint64, class string, now time.Time, d time.Duration) {
	t.Helper()
	if v, kind, _ := c.Offer(now, id, Request{Class: class, Deadline: now.Add(time.Minute)}); v != Admitted {
		t.Fatalf("request %d: verdict = %d (1: admitted, 2: queued, 3: refused) with error kind %q, want 1", id, v, kind)
	}
	c.Done(now.Add(d), id, d)
}

// Guards against a slow server that looks fast to selecting nodes after a few seconds without
// requests, because its reported service time fell with age.
func TestReportedServiceTimeDoesNotFallWithAge(t *testing.T) {
	c := NewController(Config{Slots: 5})
	serve(t, c, 1, "survey", start, 320*time.Millisecond)
	l := c.Load(start.Add(320*time.Millisecond + 5*time.Second))
	if l.ServiceTime != 320*time.Millisecond || l.ServiceAge != 5*time.Second {
		t.Errorf("reported service time = %v with age %v, want 320ms with age 5s", l.ServiceTime, l.ServiceAge)
	}
}

// Guards against a slow server whose reported service time rises only after its first slow
// answer, and against classes of long requests that make a normal server look slow.
func TestOverdueRequestsRaiseTheReportedServiceTime(t *testing.T) {
	c := NewController(Config{Slots: 5})
	if l := c.Load(start); l.ServiceTime != 0 {
		t.Errorf("reported service time = %v before the first answer, want 0", l.ServiceTime)
	}
	serve(t, c, 1, "price", start, 10*time.Millisecond)
	serve(t, c, 2, "survey", start, 10*time.Millisecond)
	for i := range 30 {
		serve(t, c, uint64(10+i), "survey", start, 100*time.Millisecond)
	}
	now := start.Add(100 * time.Millisecond)
	initialTime := c.Load(now).ServiceTime
	for i := range 3 {
		c.Offer(now, uint64(50+i), Request{Class: "survey", Deadline: now.Add(time.Minute)})
	}
	if got := c.Load(now.Add(140 * time.Millisecond)).ServiceTime; got != initialTime {
		t.Errorf("reported service time = %v while surveys take their usual time, want %v as before", got, initialTime)
	}
	late := c.Load(now.Add(400 * time.Millisecond))
	if late.ServiceTime < initialTime*3/2 || late.ServiceTime > 400*time.Millisecond || late.ServiceAge != 0 {
		t.Errorf("reported service time = %v with age %v while three surveys have run for 400ms; want at least 1.5 times %v, at most 400ms and age 0", late.ServiceTime, late.ServiceAge, initialTime)
	}
}
