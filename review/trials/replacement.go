package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

// Times of the planned replacement of a core machine and of the loss that follows it.
const (
	grace    = 6 * time.Second
	darkTime = 3 * time.Second // for which the machines that lose their disks are down
)

// plannedReplacement replaces a core machine as planned. The new machine has had its time to
// catch up when the old one is removed. Then two machines lose their disks, as many as must be
// borne at once. What was acknowledged must be read back afterwards.
func plannedReplacement(f *fleet, trouble bool) ([]string, error) {
	if err := startShop(f); err != nil {
		return nil, err
	}
	c := f.newClient(f.sides[0], "a")
	if err := c.awaitServed(http.MethodGet, "main.example", "/main/warm", 10*time.Second); err != nil {
		return nil, err
	}
	old := f.core[4]
	next := &machine{fleet: f, name: "core-6", ip: f.spareIP}
	if err := errors.Join(next.writeSettings(false), next.start()); err != nil {
		return nil, err
	}
	f.core = append(f.core[:4:4], next)
	time.Sleep(catchUp + 2*time.Second)
	f.record.add("%s has run for %v; %s gets SIGTERM and is removed for good", next.name, catchUp+2*time.Second, old.name)
	old.signal(syscall.SIGTERM)
	select {
	case <-old.ended:
		f.record.add("%s has ended", old.name)
	case <-time.After(grace):
		old.kill()
		f.record.add("%s was killed after its grace time", old.name)
	}
	if err := f.apply(route("r-main", 2, "main.example", "/main/", "stock", "idempotent")); err != nil {
		return nil, err
	}
	f.record.add("version 2 of r-main is acknowledged")
	if trouble {
		if err := f.wipe(f.core[0], f.core[1]); err != nil {
			return nil, err
		}
	}
	time.Sleep(recovery)
	return f.judgeReadBack()
}

// wipe makes machines lose power and their disks at the same moment. They start again at
// their addresses after darkTime.
func (f *fleet) wipe(machines ...*machine) error {
	for _, m := range machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range machines {
		m.kill()
		if err := os.RemoveAll(m.dataFolder()); err != nil {
			return err
		}
		f.record.add("%s loses power and its disk", m.name)
	}
	time.Sleep(darkTime)
	for _, m := range machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// judgeReadBack reads the configuration back from all core machines that run.
func (f *fleet) judgeReadBack() ([]string, error) {
	started := time.Now()
	stands, err := f.readBack()
	took := time.Since(started).Round(100 * time.Millisecond)
	body, patchErr := patchOf(route("r-main", 3, "main.example", "/main/", "shop", "idempotent"))
	if patchErr != nil {
		return nil, patchErr
	}
	status, patchErr := f.sendPatch(body, recovery)
	f.record.add("not judged: a further change gets status %d, error %v", status, patchErr)
	switch v := stands["routes/r-main"]; {
	case err != nil:
		f.record.add("read back: %v", err)
		return []string{fmt.Sprintf("CONFIG: read back for %v, nothing comes, though version 2 of r-main was acknowledged and 5 of 5 core machines run", took)}, nil
	case v != version(2):
		return []string{"CONFIG: r-main is read back with version " + v + ", though version 2 was acknowledged"}, nil
	}
	f.record.add("read back: r-main has version 2")
	return nil, nil
}
