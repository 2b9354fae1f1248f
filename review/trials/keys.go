package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Orders of the users. The second user comes with the burst: burstOrders is 0.8 of orders, as
// the burst of the site files goes up to 1.8 times the traffic.
const (
	orders      = 20
	burstOrders = 16
	orderPause  = 100 * time.Millisecond
	secondAfter = 50 * time.Millisecond // from an order of the first user to one of the second
)

// sameKey lets users order the same article. The application of each user numbers its orders
// from 1 in the header Idempotency-Key, which is meant for the backend server. The pages name
// no such header, so it is passed on like others. With the burst, a second user comes on
// another machine. Each request must get the answer to itself.
func sameKey(f *fleet, trouble bool) ([]string, error) {
	if err := f.start("orders", "orders", "orders"); err != nil {
		return nil, err
	}
	for i, m := range f.sides {
		if _, err := f.startBackend(m, fmt.Sprintf("i-orders%d", i+1), "orders", time.Now()); err != nil {
			return nil, err
		}
	}
	if err := f.apply(limits(1), service("orders", 1), route("r-order", 1, "order.example", "/order/", "orders", names["once"])); err != nil {
		return nil, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	first, second := f.newClient(f.sides[0], "user1-"), f.newClient(f.sides[1], "user2-")
	if err := f.newClient(f.sides[0], "warm").awaitServed(http.MethodPost, "order.example", "/order/warm", 10*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	var running sync.WaitGroup
	order := func(c *client, number int) {
		c.send(http.MethodPost, "order.example", "/order/new", `{"glove":"cotton","size":"M"}`, map[string]string{"Idempotency-Key": fmt.Sprintf("order-%d", number)})
	}
	for n := 1; n <= orders; n++ {
		running.Go(func() { order(first, n) })
		time.Sleep(secondAfter)
		if trouble && n <= burstOrders {
			running.Go(func() { order(second, n) })
		}
		time.Sleep(orderPause - secondAfter)
	}
	running.Wait()
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
		if !strings.HasPrefix(s.id, "user") {
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
