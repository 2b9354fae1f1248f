package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a trial.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// trialTimeout bounds a whole trial, which must end within 120 s.
const trialTimeout = 115 * time.Second

// trial is one script. It returns what broke the rule, or nil, and an error if it could not
// run.
type trial func(f *fleet, trouble bool) (violations []string, err error)

var trials = map[string]trial{
	"planned-replacement": plannedReplacement,
	"large-config":        largeConfig,
	"same-key":            sameKey,
	"first-start":         firstStart,
	"surplus-brace":       surplusBrace,
}

func main() {
	name := flag.String("trial", "", "name of the trial")
	binary := flag.String("binary", "target/bramleymill", "program of the deploy file")
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *binary, *recordFile, os.Getenv("TROUBLE") != "0"))
}

func run(name, binary, recordFile string, trouble bool) int {
	play, ok := trials[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown trial %q\n", name)
		return exitNotRun
	}
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	f, err := newFleet(binary, rec)
	if err != nil {
		rec.add("could not run: %v", err)
		return exitNotRun
	}
	defer f.stop()
	rec.add("trial %s, trouble %t", name, trouble)

	type outcome struct {
		violations []string
		err        error
	}
	done := make(chan outcome, 1)
	go func() {
		v, err := play(f, trouble)
		done <- outcome{v, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	var o outcome
	select {
	case o = <-done:
	case <-stopped:
		o.err = errors.New("the trial was stopped")
	case <-time.After(trialTimeout):
		o.err = errors.New("the trial took too long")
	}
	return report(rec, o.violations, o.err)
}

func report(rec *record, violations []string, err error) int {
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case len(violations) > 0:
		for _, v := range violations {
			rec.add("BROKEN: %s", v)
			fmt.Println("BROKEN:", v)
		}
		return exitBroken
	}
	rec.add("held")
	fmt.Println("held")
	return exitHeld
}
