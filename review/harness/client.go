package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a backend server.
type run struct {
	service, instance string
	at                time.Duration
}

// book holds the runs of all requests by their id.
type book struct {
	mu      sync.Mutex
	runs    map[string][]run
	done    map[string]bool   // the run has ended well
	answers map[string]answer // what the client got
}

func newBook() *book {
	return &book{runs: map[string][]run{}, done: map[string]bool{}, answers: map[string]answer{}}
}

func (b *book) recordRun(id string, r run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id] = append(b.runs[id], r)
}

func (b *book) markDone(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.done[id] = true
}

func (b *book) isDone(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done[id]
}

func (b *book) recordAnswer(id string, a answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers[id] = a
}

// allAnswers returns a copy of the answers.
func (b *book) allAnswers() map[string]answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.answers)
}

// all returns a copy of the runs.
func (b *book) all() map[string][]run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runs)
}

// call sends one call of the operator or the platform. Without an answer the status is zero.
func (f *fleet) call(method, url, body string) (int, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// change sends a change of the configuration until it is acknowledged. It moves on to
// another control instance after each attempt without a clear answer.
func (f *fleet) change(patch string, limit time.Duration) bool {
	pause := 100 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); {
		m := f.core[rand.IntN(len(f.core))]
		status, text := f.call("PATCH", "http://"+m.address(f.ports.Control)+"/v1/config", patch)
		f.rec.add("operator sends a change of %d bytes to %s: %d %.100s", len(patch), m.Name, status, text)
		switch {
		case status == http.StatusOK:
			return true
		case status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			return false
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return false
}

// route is a route of the configuration.
type route struct {
	Name, Host, Prefix, Service   string
	Version                       int
	Idempotent                    bool
	TimeoutMS, TargetMS, Priority int
}

type service struct {
	Name    string
	Version int
}

// patchOf returns a change that sets services and routes, and the limits if first is set.
func patchOf(first bool, services []service, routes []route) string {
	var items []string
	for _, r := range routes {
		items = append(items, render("route.tmpl", r))
	}
	for _, s := range services {
		items = append(items, render("service.tmpl", s))
	}
	if first {
		items = append(items, render("limits.tmpl", nil))
	}
	return `{"upsert":{"resources":[` + strings.Join(items, ",") + `]},"remove":{"routes":[]}}`
}

// kind is a kind of request of the clients.
type kind struct {
	name, method, host, path string
	idempotent               bool
	perSecond                float64
	deadline                 time.Duration
}

// tally counts the requests of a kind.
type tally struct {
	mu                   sync.Mutex
	asked, served, other int
}

func (t *tally) add(served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	if served {
		t.served++
	} else {
		t.other++
	}
}

func (t *tally) share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.served) / float64(max(t.asked, 1))
}

// answer is what a client gets for one attempt.
type answer struct {
	status     int
	stamped    bool
	whole      bool
	retryAfter time.Duration
	err        error
}

// attempt sends one attempt of a request to the node on m.
func (f *fleet) attempt(c *http.Client, m *machine, k kind, path, id string, left time.Duration) answer {
	var body io.Reader
	if k.method != http.MethodGet {
		body = strings.NewReader("order " + id)
	}
	req, err := http.NewRequest(k.method, "http://"+m.address(f.ports.Outbound)+path, body)
	if err != nil {
		return answer{err: err}
	}
	req.Host = k.host
	req.Header.Set(headerRequestID, id)
	req.Header.Set(headerDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	f.rec.add("sent id=%s to=%s %s %s%s", id, m.Name, k.method, k.host, path)
	a := f.read(c, req, id, left)
	f.book.recordAnswer(id, a)
	f.rec.add("answered id=%s status=%d stamp=%t whole=%t error=%v", id, a.status, a.stamped, a.whole, a.err)
	return a
}

func (f *fleet) read(c *http.Client, req *http.Request, id string, left time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	resp, err := c.Do(req.WithContext(ctx))
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, stamped: resp.Header.Get(names.Stamp) != "", whole: string(text) == answerTo(id), err: err}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	return a
}

// request sends a request with one retry, as the clients of the pages do: after a promise
// that it has not run, or after any failure if it may be repeated.
func (f *fleet) request(c *http.Client, k kind, number int) bool {
	path := k.path + strconv.Itoa(number)
	begin := time.Now()
	for try := range 2 {
		left := k.deadline - time.Since(begin)
		m := f.anyMachine()
		if left <= 10*time.Millisecond || m == nil {
			return false
		}
		a := f.attempt(c, m, k, path, fmt.Sprintf("%s-%d-%d", k.name, number, try), left)
		switch {
		case a.status == http.StatusOK && a.stamped && a.whole:
			return true
		case !k.idempotent && !isPromise(a.status):
			return false
		}
		time.Sleep(min(a.retryAfter, (k.deadline-time.Since(begin))/3))
	}
	return false
}

// isPromise reports whether a status states that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// anyMachine returns a random machine that gets new work, or nil.
func (f *fleet) anyMachine() *machine {
	for range 50 {
		if m := f.sides[rand.IntN(len(f.sides))]; m.in.Load() {
			return m
		}
	}
	return nil
}

// traffic sends requests of a kind until the time stop after the start of the case.
func (f *fleet) traffic(k kind, stop time.Duration, t *tally) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second}}
	defer c.CloseIdleConnections()
	var open sync.WaitGroup
	defer open.Wait()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / k.perSecond))
	defer ticker.Stop()
	for number := 0; f.rec.now() < stop; number++ {
		select {
		case <-f.done:
			return
		case <-ticker.C:
		}
		open.Go(func() { t.add(f.request(c, k, number)) })
	}
}

var errTooFew = errors.New("too few requests were answered")
