package main

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["reused-address"] = reusedAddress }

// reuseAfter is longer than addrReuse, which is 2 s.
const reuseAfter = 2500 * time.Millisecond

// reusedAddress checks ROUTE: a backend server ends, and a backend server of another service
// starts at its address after addrReuse.
func reusedAddress(f *fleet, trouble bool) (bool, error) {
	orders, shipments := backendConfig{slots: 11, work: 78 * time.Millisecond}, backendConfig{slots: 11, work: 42 * time.Millisecond}
	var reused *machine
	var old *backend
	for i := range 3 {
		m, b, err := f.addSide("zasielky", shipments)
		if err != nil {
			return false, err
		}
		if i == 0 {
			reused, old = m, b
		}
	}
	for range 2 {
		if _, _, err := f.addSide("objednavky", orders); err != nil {
			return false, err
		}
	}
	err := f.start(patchOf(true, []service{{"objednavky", 7}, {"zasielky", 7}}, []route{
		{Name: "r-order", Host: "orders.example", Prefix: "/orders/", Service: "objednavky", Version: 7, TimeoutMS: 600, TargetMS: 250, Priority: 1},
		{Name: "r-ship", Host: "shipments.example", Prefix: "/shipments/", Service: "zasielky", Version: 7, TimeoutMS: 400, TargetMS: 150},
	}))
	if err != nil {
		return false, err
	}
	stop := f.rec.now() + 25*time.Second
	var running sync.WaitGroup
	var ordered, shipped tally
	running.Go(func() {
		f.traffic(kind{name: "order", method: "POST", host: "orders.example", path: "/orders/", perSecond: 40, deadline: 600 * time.Millisecond}, stop, &ordered)
	})
	running.Go(func() {
		f.traffic(kind{name: "shipment", method: "POST", host: "shipments.example", path: "/shipments/", perSecond: 40, deadline: 400 * time.Millisecond}, stop, &shipped)
	})
	time.Sleep(3 * time.Second)
	if trouble {
		f.rec.add("disruption: backend %s of %s at %s ends", old.instance, old.service, reused.Name)
		old.close()
		time.Sleep(reuseAfter)
		reused.Service = "objednavky"
		if err := reused.writeSettings(); err != nil {
			return false, err
		}
		f.rec.add("the settings file of %s names the service %s", reused.Name, reused.Service)
		if _, err := f.startBackend(reused, "objednavky", orders); err != nil {
			return false, err
		}
		reused.signal(syscall.SIGHUP, false)
	}
	running.Wait()
	foreign, total := 0, 0
	for id, runs := range f.book.all() {
		for _, r := range runs {
			total++
			if strings.HasPrefix(id, "shipment-") != (r.service == "zasielky") {
				foreign++
			}
		}
	}
	f.rec.add("runs: %d, of which %d at a service to which no configuration sends the request", total, foreign)
	if shipped.served == 0 || ordered.served == 0 {
		return false, errTooFew
	}
	return foreign > 0, nil
}
