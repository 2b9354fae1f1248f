// Command harness runs the review cases: it starts the programs of the deploy file as
// separate processes on loopback addresses, with stand-ins for clients, backend servers
// and the platform, and checks one rule for each case.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit is the longest time that a case may run.
const caseLimit = 118 * time.Second

var errUsage = errors.New("usage: harness CASE RECORD")

// cases maps the name of each case to its function. A function reports whether the rule was
// broken. trouble states whether the disruption is applied.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func runCase(name, recordPath string, trouble bool) int {
	rec, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	rec.add("case %s, disruption %t", name, trouble)
	f, err := newFleet(rec)
	if err != nil {
		rec.add("cannot run: %v", err)
		return exitNotRun
	}
	defer f.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](f, trouble)
		done <- result{broken, err}
	}()
	limit := time.NewTimer(caseLimit)
	defer limit.Stop()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.add("cannot run: %v", r.err)
			return exitNotRun
		case r.broken:
			rec.add("result: the rule was broken")
			return exitBroken
		}
		rec.add("result: the rule held")
		return exitHeld
	case <-limit.C:
		rec.add("cannot run: the case took longer than %v", caseLimit)
	case <-interrupted:
		rec.add("cannot run: interrupted")
	}
	return exitNotRun
}
