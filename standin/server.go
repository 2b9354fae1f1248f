package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"bramleymill/fleet"
)

// Headers that callers may send to a stand-in.
const (
	HeaderWorkID = "Work-Id"       // identifies the work; unchanged when the request is sent again
	HeaderCrash  = "Standin-Crash" // with any value, the process exits during the execution
	// HeaderLevels is the number of nested calls in the chain that the request starts.
	// If it is not zero, the stand-in makes a nested call with the number reduced by
	// one, whatever the method of the request. Without the header, every request with
	// a method other than GET and HEAD makes one nested call.
	HeaderLevels = "Standin-Levels"
	// HeaderBreak, with any value, makes the last server of the chain, and each server
	// whose nested call failed, close its connection without an answer. It is passed on
	// to the nested calls of requests with HeaderLevels.
	HeaderBreak = "Standin-Break"
)

// crashExitCode is the exit status of the process after a request with HeaderCrash.
const crashExitCode = 3

// Server is a stand-in backend server.
type Server struct {
	config       Config
	logger       *slog.Logger
	recorder     *Recorder
	timing       *timing
	loadReporter *loadReporter
	slots        chan struct{}
	waiting      atomic.Int64
	inFlight     atomic.Int64
	draining     atomic.Bool
	httpServer   *http.Server
	listener     net.Listener
	client       *http.Client
	exit         func(code int)
}

// New validates the configuration, opens the record file and starts to listen.
// Connections are accepted once Serve is called.
func New(c Config, logger *slog.Logger) (*Server, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	rec, err := OpenRecorder(c.RecordFile)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{
		config:       c,
		logger:       logger,
		recorder:     rec,
		timing:       newTiming(c, time.Now()),
		loadReporter: newLoadReporter(c),
		slots:        make(chan struct{}, c.Slots),
		listener:     newLimitedListener(l, c.Connections, c.OpenDelay),
		client:       &http.Client{},
		exit:         os.Exit,
	}
	s.httpServer = &http.Server{Handler: s.routes()}
	return s, nil
}

// Address returns the address that the server listens on, with its actual port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers requests until Shutdown is called, and then returns nil.
func (s *Server) Serve() error {
	if err := s.httpServer.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// Shutdown refuses new work, waits until the work in flight has ended or ctx is done,
// and closes the record file.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	err := s.httpServer.Shutdown(ctx)
	return errors.Join(err, s.recorder.Close())
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("POST /standin/slow", s.slow)
	mux.HandleFunc("POST /standin/freeze", s.freeze)
	mux.HandleFunc("POST /standin/drain", s.drain)
	mux.HandleFunc("/", s.work)
	return mux
}

func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.config.ReportDelay)
	if s.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.config.ReportDelay)
	reported := s.loadReporter.report(time.Now(), Load{InFlight: s.inFlight.Load(), Waiting: s.waiting.Load(), Slots: s.config.Slots})
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(reported); err != nil {
		s.logger.Warn("could not write load report", "error", err)
	}
}

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	if s.config.FailFast {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if !s.acquireSlot(r.Context()) {
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	s.execute(w, r)
}

// acquireSlot waits for a free slot. It returns false if too many requests wait already
// or if the caller disconnects.
func (s *Server) acquireSlot(ctx context.Context) bool {
	n := s.waiting.Add(1)
	defer s.waiting.Add(-1)
	if s.config.ShedAbove > 0 && n > int64(s.config.ShedAbove) {
		return false
	}
	select {
	case s.slots <- struct{}{}:
		s.inFlight.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) releaseSlot() {
	s.inFlight.Add(-1)
	<-s.slots
}

// execute runs the work of a request. It records the start before the work begins,
// so that an execution that a crash interrupts is counted too.
func (s *Server) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		http.Error(w, "could not read the request body", http.StatusBadRequest)
		return
	}
	s.record(Started, r)
	if s.config.AllowCrash && r.Header.Get(HeaderCrash) != "" {
		s.logger.Warn("exiting because the request has the header Standin-Crash", "work_id", r.Header.Get(HeaderWorkID))
		s.exit(crashExitCode)
	}
	levels := r.Header.Get(HeaderLevels)
	err = s.callNested(r, levels)
	if err != nil {
		s.record(Aborted, r)
	}
	if r.Header.Get(HeaderBreak) != "" && (err != nil || levels == "0") {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		s.logger.Debug("nested call failed", "error", err)
		http.Error(w, "nested call: "+err.Error(), http.StatusFailedDependency)
		return
	}
	if !s.timing.wait(r.Context(), s.config.IgnoreContext) {
		s.record(Aborted, r)
		return
	}
	s.record(Finished, r)
	s.answer(w, r, body)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, body int64) {
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set(HeaderWorkID, r.Header.Get(HeaderWorkID))
	h.Set("Standin-Body-Bytes", strconv.FormatInt(body, 10))
	h.Set("Content-Length", strconv.Itoa(s.config.AnswerBytes))
	if r.Method == http.MethodHead {
		return
	}
	w.Write(repeatWorkID(r.Header.Get(HeaderWorkID), s.config.AnswerBytes))
}

// repeatWorkID returns n bytes that repeat the work id, so that a caller can check
// whether every byte of an answer belongs to its request.
func repeatWorkID(workID string, n int) []byte {
	b := make([]byte, n)
	if workID == "" {
		workID = "."
	}
	for i := range b {
		b[i] = workID[i%len(workID)]
	}
	return b
}

// callNested calls the configured URL, if there is one and the request requires a
// nested call, while the execution occupies its slot.
func (s *Server) callNested(r *http.Request, levels string) error {
	url := s.config.CallURL
	if r.Header.Get(fleet.HeaderCall) == "" {
		url = s.config.DirectCallURL
	}
	if url == "" || levels == "0" || levels == "" && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		return nil
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set(fleet.HeaderCall, r.Header.Get(fleet.HeaderCall))
	req.Header.Set(HeaderWorkID, r.Header.Get(HeaderWorkID)+"/nested")
	if n, err := strconv.Atoi(levels); err == nil {
		req.Header.Set(HeaderLevels, strconv.Itoa(n-1))
		req.Header.Set(HeaderBreak, r.Header.Get(HeaderBreak))
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, error kind %s", resp.StatusCode, resp.Header.Get(fleet.HeaderKind))
	}
	return nil
}

func (s *Server) record(e Event, r *http.Request) {
	remainingMillis, _ := strconv.ParseInt(r.Header.Get(fleet.HeaderDeadlineMillis), 10, 64)
	err := s.recorder.Write(Record{
		Event:   e,
		WorkID:  r.Header.Get(HeaderWorkID),
		Service: s.config.Service,
		Server:  s.Address(),
		Method:  r.Method,
		Path:    r.URL.Path,
		At:      time.Now(),

		DeadlineMillis: remainingMillis,
	})
	if err != nil {
		s.logger.Error("could not write execution record", "error", err)
	}
}
