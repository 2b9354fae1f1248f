package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Load is the answer of the load endpoint: executions in progress, requests that wait
// for a slot, and the number of slots.
type Load struct {
	InFlight int64 `json:"in_flight"`
	Waiting  int64 `json:"waiting"`
	Slots    int   `json:"slots"`
}

// loadReporter makes the load endpoint report the load of some time ago, as set by
// Config.ReportLag, or always an idle server.
type loadReporter struct {
	mu      sync.Mutex
	lag     time.Duration
	idle    bool
	history []loadSample
}

type loadSample struct {
	at   time.Time
	load Load
}

func newLoadReporter(c Config) *loadReporter {
	return &loadReporter{lag: c.ReportLag, idle: c.ReportIdle}
}

// report records the current load. It returns the newest recorded load whose age is at
// least Config.ReportLag, or the oldest recorded load if all are newer than that.
func (r *loadReporter) report(now time.Time, current Load) Load {
	if r.idle {
		return Load{Slots: current.Slots}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, loadSample{now, current})
	first := 0
	for first+1 < len(r.history) && now.Sub(r.history[first+1].at) >= r.lag {
		first++
	}
	r.history = r.history[first:]
	return r.history[0].load
}

// slow multiplies the execution times of requests that start within a period, for
// example with the query "?factor=10&for=5s".
func (s *Server) slow(w http.ResponseWriter, r *http.Request) {
	factor, err := strconv.ParseFloat(r.FormValue("factor"), 64)
	if err != nil || factor < 1 {
		http.Error(w, "factor: use a number of at least 1", http.StatusBadRequest)
		return
	}
	d, err := time.ParseDuration(r.FormValue("for"))
	if err != nil {
		http.Error(w, "for: use a duration such as 5s", http.StatusBadRequest)
		return
	}
	s.timing.setSlow(factor, time.Now().Add(d))
	fmt.Fprintf(w, "slow by %v for %v\n", factor, d)
}

// freeze delays executions that start within a period until the period has ended, for
// example with the query "?for=2s".
func (s *Server) freeze(w http.ResponseWriter, r *http.Request) {
	d, err := time.ParseDuration(r.FormValue("for"))
	if err != nil {
		http.Error(w, "for: use a duration such as 2s", http.StatusBadRequest)
		return
	}
	s.timing.setFrozen(time.Now().Add(d))
	fmt.Fprintf(w, "frozen for %v\n", d)
}

// drain makes the stand-in refuse new work and report itself as draining.
func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	s.draining.Store(true)
	fmt.Fprintln(w, "draining")
}
