package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// clockAhead is how far the clock of the machine is ahead when the first process starts. It
// is the step of clock_step in the site file.
const clockAhead = 2400 * time.Millisecond

// earlierStart restarts a backend server under its instance id. The clock of its machine was
// set back in between, so the second process states an earlier start than the first. It then
// leaves as planned.
func earlierStart(f *fleet, trouble bool) ([]string, error) {
	if err := f.start("shop", "shop", "shop"); err != nil {
		return nil, err
	}
	for i, m := range f.sides[1:] {
		if _, err := f.startBackend(m, fmt.Sprintf("i-other%d", i+2), "shop", time.Now()); err != nil {
			return nil, err
		}
	}
	if err := f.apply(limits(1), service("shop", 1), route("r-main", 1, "main.example", "/main/", "shop", "idempotent")); err != nil {
		return nil, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	m := f.sides[0]
	step := time.Duration(0)
	if trouble {
		step = clockAhead
	}
	first, err := f.startBackend(m, "i-same", "shop", time.Now().Add(step))
	if err != nil {
		return nil, err
	}
	time.Sleep(700 * time.Millisecond)
	first.end() // it crashes
	f.record.add("the clock of %s is set back by %v", m.name, step)
	time.Sleep(700 * time.Millisecond)
	second, err := f.startBackend(m, "i-same", "shop", time.Now())
	if err != nil {
		return nil, err
	}
	clients := []*client{f.newClient(f.sides[0], "a"), f.newClient(f.sides[1], "b"), f.newClient(f.sides[2], "c")}
	if err := clients[0].awaitServed(http.MethodGet, "main.example", "/main/warm", 10*time.Second); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	var waits []func()
	for _, c := range clients {
		waits = append(waits, repeat(50*time.Millisecond, done, func() { c.send(http.MethodGet, "main.example", "/main/x", "", nil) }))
	}
	stop := func() {
		close(done)
		for _, wait := range waits {
			wait()
		}
	}
	time.Sleep(2*contact + time.Second)
	before := len(second.runs())
	acked, err := second.reportDraining()
	if err != nil || before == 0 {
		stop()
		return nil, errors.Join(err, fmt.Errorf("the second process ran %d requests before", before))
	}
	f.record.add("draining of i-same is acknowledged; it has run %d requests", before)
	time.Sleep(drain + 3*time.Second) // the server serves a little longer than drain
	second.leave()
	left := time.Now()
	time.Sleep(time.Second)
	stop()
	return lateRuns(f, clients, second, acked, left), nil
}

// lateRuns judges the requests that a server ran after its departure was acknowledged.
func lateRuns(f *fleet, clients []*client, b *backend, acked, left time.Time) []string {
	sentAt := map[string]sent{}
	for _, c := range clients {
		for _, s := range c.requests() {
			sentAt[s.id] = s
		}
	}
	late := 0
	for _, a := range b.runs() {
		if s := sentAt[a.id]; s.at.After(acked.Add(drain)) {
			late++
		}
	}
	f.record.add("%d requests that were sent later than %v after the acknowledgement ran at %s", late, drain, b.instance)
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("DRAIN: %d requests, sent later than %v after the draining of %s was acknowledged, ran there within %.1f s", late, drain, b.instance, left.Sub(acked).Seconds())}
}
