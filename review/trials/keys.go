package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Some clients repeat each request at once; retries is the dose of retry_abuse in the site
// file.
const (
	orders  = 20
	retries = 3
)

// sameKey sends orders that bear an Idempotency-Key header for the backend server. The pages
// name no such header, so it is passed on like others. Each attempt of a client has its own
// request id and must get the answer to that request.
func sameKey(f *fleet, trouble bool) ([]string, error) {
	if err := f.start("orders", "orders", "orders"); err != nil {
		return nil, err
	}
	for i, m := range f.sidecars {
		if _, err := f.startBackend(m, fmt.Sprintf("i-orders%d", i+1), "orders", time.Now()); err != nil {
			return nil, err
		}
	}
	if err := f.apply(limits(1), service("orders", 1), route("r-order", 1, "order.example", "/order/", "orders", "non_idempotent")); err != nil {
		return nil, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	c := f.newClient(f.sidecars[0], "a")
	if err := c.awaitServed(http.MethodPost, "order.example", "/order/warm", 10*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	for n := range orders {
		header := map[string]string{"Idempotency-Key": fmt.Sprintf("order-%d", n)}
		var repeats sync.WaitGroup
		post := func(m *machine, name string) {
			f.newClient(m, name).send(http.MethodPost, "order.example", "/order/new", `{"glove":"cotton","size":"M"}`, header)
		}
		post(f.sidecars[n%len(f.sidecars)], fmt.Sprintf("o%02d-first-", n))
		if trouble {
			for r := range retries {
				repeats.Go(func() { post(f.sidecars[(n+r)%len(f.sidecars)], fmt.Sprintf("o%02d-again%d-", n, r)) })
			}
		}
		repeats.Wait()
	}
	return foreignAnswers(f), nil
}

// foreignAnswers finds the answers that belong to another request.
func foreignAnswers(f *fleet) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ran := map[string]bool{}
	for _, b := range f.backends {
		for _, a := range b.runs() {
			ran[a.id] = true
		}
	}
	answered, foreign, refused := 0, 0, map[int]int{}
	example := ""
	for _, s := range f.sentRequests() {
		if !strings.HasPrefix(s.id, "o") {
			continue
		}
		switch {
		case s.status == http.StatusOK:
			answered++
			if !strings.Contains(s.body, s.id) || !ran[s.id] {
				foreign++
				example = fmt.Sprintf("request %s got %q with the stamp %q and was never run", s.id, s.body, s.stamp)
			}
		case s.status >= 300 && s.status < 500:
			refused[s.status]++
		}
	}
	f.record.add("%d requests were answered with 200, %d of them with the answer to another request; statuses from 300 to 499: %v", answered, foreign, refused)
	if foreign == 0 {
		return nil
	}
	return []string{fmt.Sprintf("MIXED: %d of %d successes belong to another request, for example: %s", foreign, answered, example)}
}
