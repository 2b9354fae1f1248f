package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Behaviour of a backend server.
const (
	slots    = 6
	queued   = 6 // requests that wait for a slot
	workTime = 10 * time.Millisecond
)

// arrival is a request that a backend server ran.
type arrival struct {
	id       string
	instance string
	service  string
	path     string
}

// backend is a stand-in for one process of a backend server.
type backend struct {
	fleet    *fleet
	machine  *machine
	instance string
	service  string
	born     int64
	server   *http.Server
	slots    chan struct{}
	waiting  chan struct{}
	stopBeat chan struct{}

	mu       sync.Mutex
	sequence int
	ended    bool
	arrivals []arrival
}

// startBackend starts a backend server at the application address of m and its heartbeats,
// which state the start born. No server leaves in the trials.
func (f *fleet) startBackend(m *machine, instance, service string, born time.Time) (*backend, error) {
	l, err := net.Listen("tcp", m.address("app"))
	if err != nil {
		return nil, err
	}
	b := &backend{fleet: f, machine: m, instance: instance, service: service, born: born.UnixMilli(),
		slots: make(chan struct{}, slots), waiting: make(chan struct{}, slots+queued), stopBeat: make(chan struct{})}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: 10 * time.Second}
	f.mu.Lock()
	f.backends = append(f.backends, b)
	f.mu.Unlock()
	f.record.add("backend server %s of %s starts on %s, born %d", instance, service, m.name, b.born)
	go func() { _ = b.server.Serve(l) }()
	go b.beat()
	return b, nil
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(names["load"], fmt.Sprintf("%d,%d,%d,100", len(b.slots), max(0, len(b.waiting)-len(b.slots)), slots))
	if r.URL.Path == "/health" {
		h.Set(names["instance"], b.instance)
		return
	}
	id := r.Header.Get("Bramleymill-Request-Id")
	h.Set("Bramleymill-Request-Id", id)
	if expected := r.Header.Get(names["expected"]); expected != "" && expected != b.instance {
		h.Set(names["instance"], b.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case b.waiting <- struct{}{}:
		defer func() { <-b.waiting }()
	default:
		h.Set(names["not run"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.slots <- struct{}{}
	defer func() { <-b.slots }()
	b.ran(arrival{id, b.instance, b.service, r.URL.Path})
	time.Sleep(workTime)
	h.Set(names["stamp"], b.instance+"."+id)
	_, _ = fmt.Fprintf(w, "answer to %s by %s, %d bytes received\n", id, b.instance, len(body)) // the node may have disconnected
}

func (b *backend) ran(a arrival) {
	b.mu.Lock()
	b.arrivals = append(b.arrivals, a)
	b.mu.Unlock()
	b.fleet.record.add("run: %s %s by %s of %s", a.id, a.path, a.instance, a.service)
}

// runs returns the requests that the server has run.
func (b *backend) runs() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival{}, b.arrivals...)
}

// beat sends a heartbeat every heartbeat interval.
func (b *backend) beat() {
	for {
		b.announce()
		select {
		case <-b.stopBeat:
			return
		case <-time.After(heartbeat):
		}
	}
}

// announce sends one heartbeat.
func (b *backend) announce() {
	b.mu.Lock()
	b.sequence++
	sequence := b.sequence
	b.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"address": b.machine.address("app"), "born": b.born,
		names["server info"]: map[string]any{"service": b.service, "version": "v1", "zone": "nitra-a", "slots": slots},
		"status":             map[string]any{"state": "ready", "sequence": sequence, names["warmup"]: "0ms"},
	})
	if err != nil {
		panic(err) // maps of strings and numbers
	}
	status := b.put(body)
	b.fleet.record.add("heartbeat: %s ready sequence %d: %d", b.instance, sequence, status)
}

// put sends a heartbeat and returns the status of the answer; zero: no answer.
func (b *backend) put(body []byte) int {
	req, err := http.NewRequest(http.MethodPut, b.machine.url("control", "/v1/instances/"+b.instance), bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// end ends the process of the server at once.
func (b *backend) end() {
	b.mu.Lock()
	ended := b.ended
	b.ended = true
	b.mu.Unlock()
	if ended {
		return
	}
	close(b.stopBeat)
	_ = b.server.Close()
	b.fleet.record.add("backend server %s ends", b.instance)
}
