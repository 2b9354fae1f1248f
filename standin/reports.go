package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Load is the answer of the load endpoint.
type Load struct {
	InFlight int64 `json:"in_flight"`
	Waiting  int64 `json:"waiting"`
	Slots    int   `json:"slots"`
}

// reports delays what the load endpoint tells by the configured lag.
type reports struct {
	mu      sync.Mutex
	lag     time.Duration
	idle    bool
	history []datedLoad
}

type datedLoad struct {
	at   time.Time
	load Load
}

func newReports(c Config) *reports { return &reports{lag: c.ReportLag, idle: c.ReportIdle} }

// at notes the current load and returns the newest one that is at least lag old.
func (r *reports) at(now time.Time, current Load) Load {
	if r.idle {
		return Load{Slots: current.Slots}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, datedLoad{now, current})
	first := 0
	for first+1 < len(r.history) && now.Sub(r.history[first+1].at) >= r.lag {
		first++
	}
	r.history = r.history[first:]
	return r.history[0].load
}

// slow multiplies the execution time for a while: ?factor=10&for=5s.
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

// freeze holds executions back for a while: ?for=2s.
func (s *Server) freeze(w http.ResponseWriter, r *http.Request) {
	d, err := time.ParseDuration(r.FormValue("for"))
	if err != nil {
		http.Error(w, "for: use a duration such as 2s", http.StatusBadRequest)
		return
	}
	s.timing.setFrozen(time.Now().Add(d))
	fmt.Fprintf(w, "frozen for %v\n", d)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	s.draining.Store(true)
	fmt.Fprintln(w, "draining")
}
