package main

import (
	"fmt"
	"net/http"
	"time"
)

// Times of the replacement of a core machine.
const (
	replacedAfter = 2 * time.Second // until an empty machine starts at another address
	catchUp       = 4 * time.Second
	recovery      = 15 * time.Second
)

// firstStart loses one core machine for good while the whole system starts for the first
// time. An empty machine takes its place. The system must accept the configuration and serve.
func firstStart(f *fleet, trouble bool) ([]string, error) {
	if err := f.startThree(); err != nil {
		return nil, err
	}
	if trouble {
		if err := f.replaceFirstCore(); err != nil {
			return nil, err
		}
	}
	time.Sleep(catchUp + contact)
	return f.firstConfiguration()
}

// startThree starts the fleet with a server of the service shop on each side machine.
func (f *fleet) startThree() error {
	if err := f.start("shop", "shop", "shop"); err != nil {
		return err
	}
	for i, m := range f.sides {
		if _, err := f.startBackend(m, fmt.Sprintf("i-shop%d", i+1), "shop", time.Now()); err != nil {
			return err
		}
	}
	return nil
}

// firstPatch sends the first call of the operator again until it is accepted.
func (f *fleet) firstPatch(limit time.Duration) (int, error) {
	body, err := patchOf(limits(1), service("shop", 1), route("r-main", 1, "main.example", "/main/", "shop", "idempotent"))
	if err != nil {
		return 0, err
	}
	return f.sendPatch(body, limit)
}

// firstConfiguration sends the first configuration and then requests. The rule is broken if
// none of them is served.
func (f *fleet) firstConfiguration() ([]string, error) {
	const limit, requests, interval = 2 * recovery, 100, 100 * time.Millisecond
	status, err := f.firstPatch(limit)
	if err != nil {
		f.record.add("operator: %v", err)
	}
	served := 0
	for i := range requests {
		c := f.newClient(f.sides[i%len(f.sides)], fmt.Sprintf("a%03d-", i))
		if c.send(http.MethodGet, "main.example", fmt.Sprintf("/main/%d", i), "", nil).status == http.StatusOK {
			served++
		}
		time.Sleep(interval)
	}
	f.record.add("the first configuration got status %d (0: no acknowledgement in %v); %d of %d requests were served", status, limit, served, requests)
	if served == 0 {
		return []string{fmt.Sprintf("Fault: no request is served: the first configuration was not acknowledged within %v, and 0 of %d requests were served in the %v after that", limit, requests, requests*interval)}, nil
	}
	return nil, nil
}

// replaceFirstCore ends the process of the first core machine as it starts, and starts an
// empty machine at another address. The operator's list then names the new machine.
func (f *fleet) replaceFirstCore() error {
	lost := f.core[0]
	lost.kill()
	f.record.add("%s is gone for good", lost.name)
	time.Sleep(replacedAfter)
	next := &machine{fleet: f, name: "core-6", ip: f.spareIP}
	f.core = append(f.core[1:len(f.core):len(f.core)], next)
	if err := next.writeSettings(false); err != nil {
		return err
	}
	return next.start()
}
