package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// The growth of the configuration in one call is that of the disruption big_config in the
// site file. A day has at most 40 such entries.
const (
	routesPerCall  = 460
	growingCalls   = 24
	growthInterval = 500 * time.Millisecond
)

func randomHex(bytes int) string {
	b := make([]byte, bytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// startShop starts the fleet with two servers of the service shop and one of the service
// stock, and a route to shop.
func startShop(f *fleet) error {
	if err := f.start("shop", "shop", "stock"); err != nil {
		return err
	}
	for i, m := range f.sides {
		if _, err := f.startBackend(m, fmt.Sprintf("i-%s%d", m.service, i+1), m.service, time.Now()); err != nil {
			return err
		}
	}
	if err := f.apply(limits(1), service("shop", 1), service("stock", 1), route("r-main", 1, "main.example", "/main/", "shop", "idempotent")); err != nil {
		return err
	}
	return f.awaitReady(20 * time.Second)
}

// runsOf counts the requests of a path that servers of a service ran.
func (f *fleet) runsOf(service, path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, b := range f.backends {
		for _, a := range b.runs() {
			if a.service == service && strings.HasPrefix(a.path, path) {
				n++
			}
		}
	}
	return n
}

// largeConfig grows the configuration and then moves a route to another service. A request
// that is sent later than configApply after the acknowledgement must not run at the old
// service.
func largeConfig(f *fleet, trouble bool) ([]string, error) {
	if err := startShop(f); err != nil {
		return nil, err
	}
	c := f.newClient(f.sides[0], "a")
	if err := c.awaitServed(http.MethodGet, "main.example", "/main/warm", 10*time.Second); err != nil {
		return nil, err
	}
	routes := 0
	if trouble {
		for call := range growingCalls {
			var items []item
			for range routesPerCall {
				name := randomHex(16)
				items = append(items, route("r-"+name, 1, "library-"+randomHex(8)+".example", "/archive/"+name[:16]+"/"+randomHex(12)+"/", "shop", "idempotent"))
			}
			if err := f.apply(items...); err != nil {
				return nil, fmt.Errorf("call %d: %w", call+1, err)
			}
			routes += len(items)
			time.Sleep(growthInterval)
		}
	}
	f.record.add("%d routes were added, each call was acknowledged", routes)
	time.Sleep(2 * contact)
	if err := f.apply(route("r-main", 2, "main.example", "/main/", "stock", "idempotent")); err != nil {
		return nil, err
	}
	acked := time.Now()
	f.record.add("version 2 of r-main, which moves it from shop to stock, is acknowledged")
	time.Sleep(configApply + 4*time.Second)
	for i := range 30 {
		f.newClient(f.sides[i%len(f.sides)], fmt.Sprintf("late%02d-", i)).send(http.MethodGet, "main.example", fmt.Sprintf("/main/late/%d", i), "", nil)
	}
	old, now := f.runsOf("shop", "/main/late/"), f.runsOf("stock", "/main/late/")
	f.record.add("of 30 requests sent more than %.0f s after the acknowledgement, the old service ran %d and the new one %d", time.Since(acked).Seconds()-1, old, now)
	stands, err := f.readBack()
	f.record.add("not judged: r-main is read back with version %s, error %v", stands["routes/r-main"], err)
	if old > 0 {
		f.restartAfterGrowth()
		return []string{fmt.Sprintf("CONFIG: %d of 30 requests, sent 6 s after version 2 of the route was acknowledged, were run by the service of version 1 (new service: %d)", old, now)}, nil
	}
	if now == 0 {
		return nil, fmt.Errorf("neither service ran the requests")
	}
	return nil, nil
}

// restartAfterGrowth records whether a node that starts after the processes of the core have
// been restarted gets the configuration. This is not judged.
func (f *fleet) restartAfterGrowth() {
	for _, m := range f.core {
		m.signal(syscall.SIGKILL)
	}
	restarted := append(append([]*machine{}, f.core...), f.sides[len(f.sides)-1])
	for _, m := range restarted {
		m.kill()
	}
	for _, m := range restarted {
		if err := m.start(); err != nil {
			f.record.add("not judged: %s did not start: %v", m.name, err)
		}
	}
	time.Sleep(recovery)
	status := "no answer"
	if resp, err := f.operator.Get(restarted[len(restarted)-1].url("ready", "/v1/readiness")); err == nil {
		_ = resp.Body.Close()
		status = resp.Status
	}
	f.record.add("not judged: %v after the restart of the core and of a side machine, its readiness check gets: %s", recovery, status)
}

// surplusBrace sends a change whose body has one closing brace too many, so that it cannot
// be read in full.
func surplusBrace(f *fleet, trouble bool) ([]string, error) {
	if err := startShop(f); err != nil {
		return nil, err
	}
	c := f.newClient(f.sides[0], "a")
	if err := c.awaitServed(http.MethodGet, "main.example", "/main/warm", 10*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	body, err := patchOf(route("r-main", 2, "main.example", "/main/", "stock", "idempotent"))
	if err != nil {
		return nil, err
	}
	if !trouble {
		status, err := f.sendPatch(body, 10*time.Second)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("the valid change got status %d", status)
		}
		return nil, err
	}
	status, err := f.sendPatch(body+"}", 10*time.Second)
	if err != nil {
		return nil, err
	}
	time.Sleep(configApply + time.Second)
	stands, err := f.readBack()
	if err != nil {
		return nil, err
	}
	f.record.add("read back: r-main has version %s", stands["routes/r-main"])
	for i := range 10 {
		c.send(http.MethodGet, "main.example", fmt.Sprintf("/main/late/%d", i), "", nil)
	}
	var out []string
	if status == http.StatusOK {
		out = append(out, "CONFIG: a call that is not one JSON value was acknowledged with 200")
	}
	if v := stands["routes/r-main"]; v != version(1) {
		out = append(out, "CONFIG: the content of the invalid call is in force: r-main is read back with version "+v)
	}
	if n := f.runsOf("stock", "/main/late/"); n > 0 {
		out = append(out, fmt.Sprintf("CONFIG: %d of 10 requests were run by the service that the invalid call names", n))
	}
	return out, nil
}
