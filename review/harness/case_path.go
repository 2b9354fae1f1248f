package main

import (
	"errors"
	"strings"
	"sync"
	"time"
)

func init() { cases["encoded-slash"] = encodedSlash }

// encodedSlash checks ROUTE: a change adds a route with a longer prefix. The path of some
// requests begins with the shorter prefix only, because it contains an encoded slash.
func encodedSlash(f *fleet, trouble bool) (bool, error) {
	for range 2 {
		if _, _, err := f.addSide("objednavky", backendConfig{slots: 11, work: 78 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	for range 2 {
		if _, _, err := f.addSide("zasielky", backendConfig{slots: 11, work: 42 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	err := f.start(patchOf(true, []service{{"objednavky", 7}, {"zasielky", 7}}, []route{
		{Name: "r-order", Host: "orders.example", Prefix: "/orders/", Service: "objednavky", Version: 7, TimeoutMS: 600, TargetMS: 250, Priority: 1},
	}))
	if err != nil {
		return false, err
	}
	stop := f.rec.now() + 15*time.Second
	var running sync.WaitGroup
	var encoded, plain tally
	send := func(name, path string, t *tally) {
		running.Go(func() {
			f.traffic(kind{name: name, method: "POST", host: "orders.example", path: path, perSecond: 20, deadline: 600 * time.Millisecond}, stop, t)
		})
	}
	send("encoded", "/orders/archive%2F", &encoded)
	send("plain", "/orders/archive/", &plain)
	time.Sleep(4 * time.Second)
	if trouble {
		f.rec.add("disruption: a change adds the route /orders/archive/ to zasielky")
		if !f.change(patchOf(false, nil, []route{
			{Name: "r-archive", Host: "orders.example", Prefix: "/orders/archive/", Service: "zasielky", Version: 9, TimeoutMS: 600, TargetMS: 250, Priority: 1},
		}), 10*time.Second) {
			return false, errors.New("the change was not acknowledged")
		}
		f.rec.add("the change is acknowledged")
	}
	running.Wait()
	foreign, total := 0, 0
	for id, runs := range f.book.all() {
		for _, r := range runs {
			if strings.HasPrefix(id, "encoded-") {
				total++
				if r.service != "objednavky" {
					foreign++
				}
			}
		}
	}
	f.rec.add("runs with an encoded slash: %d, of which %d at zasielky, to which no route sends them", total, foreign)
	if encoded.served == 0 || plain.served == 0 {
		return false, errTooFew
	}
	return foreign > 0, nil
}
