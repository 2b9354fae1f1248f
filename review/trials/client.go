package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is a request of a client and its answer.
type sent struct {
	id     string
	status int // zero: no answer
	stamp  string
	body   string
}

// client sends requests to the outbound address of its machine.
type client struct {
	fleet   *fleet
	machine *machine
	http    *http.Client
	name    string
	next    atomic.Uint64

	mu  sync.Mutex
	log []sent
}

func (f *fleet) newClient(m *machine, name string) *client {
	c := &client{fleet: f, machine: m, name: name, http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clients = append(f.clients, c)
	return c
}

// sentRequests returns the requests of all clients. The caller holds mu.
func (f *fleet) sentRequests() []sent {
	var out []sent
	for _, c := range f.clients {
		out = append(out, c.requests()...)
	}
	return out
}

// send sends one request with an id of its own.
func (c *client) send(method, host, path, body string, header map[string]string) sent {
	s := sent{id: fmt.Sprintf("%s%06d", c.name, c.next.Add(1))}
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, c.machine.url("outbound", path), reader)
	if err != nil {
		panic(err) // the arguments are constants of the trials
	}
	req.Host = host
	req.Header.Set("Bramleymill-Request-Id", s.id)
	req.Header.Set("Bramleymill-Deadline-Ms", "1500")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	at := time.Since(c.fleet.record.start)
	resp, err := c.http.Do(req)
	if err == nil {
		text, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if readErr == nil {
			s.status, s.stamp, s.body = resp.StatusCode, resp.Header.Get(names["stamp"]), strings.TrimSpace(string(text))
		}
	}
	c.fleet.record.add("client %s on %s: %s %s%s sent at %.3f s: status %d, stamp %q, body %q", c.name, c.machine.name, method, host, path,
		at.Seconds(), s.status, s.stamp, s.body)
	c.mu.Lock()
	c.log = append(c.log, s)
	c.mu.Unlock()
	return s
}

// requests returns what the client has sent so far.
func (c *client) requests() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent{}, c.log...)
}

// awaitServed waits until requests to a route are answered with success.
func (c *client) awaitServed(method, host, path string, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if c.send(method, host, path, "", nil).status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s%s is not served", host, path)
}
