package proxy

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"bramleymill/errkind"
	"bramleymill/filter"
)

// dispatchDialect sends the call to a backend server that uses the dialect d.
func (b *backend) dispatchDialect(c *filter.Call, d *Dialect) error {
	instance := ""
	if b.announced != nil {
		current := b.announced.latest()
		if current == nil {
			return errkind.New(errkind.BackendDown, "the instance of the backend server is not known yet")
		}
		instance = current.Instance
	}
	id := c.Request.Header.Get(d.RequestID)
	b.tokens.register(id, &filter.Parent{RequestID: c.Meta.RequestID, Deadline: c.Deadline, Depth: c.Meta.Depth, Repeated: c.Meta.Repeated, Customer: c.Meta.Customer})
	revoke := sync.OnceFunc(func() { b.tokens.revoke(id) }) // once: another attempt may register the id again
	defer revoke()
	for attempt := 1; ; attempt++ {
		x := &exchange{call: c, host: b.address, rules: b.rules, header: b.dialectHeader(c, d, instance),
			served: &b.buffered, id: id, skip: maxSkipped, expect: c.Body.ExpectsContinue, expectTimeout: backendExpectTimeout}
		resp, written, err := x.roundTrip(b.pool)
		switch {
		case err == nil:
			defer x.end()
			return b.receiveDialect(x, d, resp, instance, revoke)
		case written:
			return lost(c, "connection to the backend server broke", err)
		case x.link == nil || attempt == maxSendAttempts:
			b.monitor.redialNow()
			return notSent(c, errkind.BackendDown, err)
		}
	}
}

func (b *backend) dialectHeader(c *filter.Call, d *Dialect, instance string) http.Header {
	h := b.rules.endToEnd(c.Request.Header)
	set := func(name, value string) {
		name = http.CanonicalHeaderKey(name)
		delete(h, name)
		if name != "" && value != "" {
			h[name] = []string{value}
		}
	}
	set(d.CallerService, c.Meta.EntryService)
	set(d.Customer, c.Meta.Customer)
	set(d.ExpectInstance, instance)
	remaining := max(1, c.Deadline.Sub(b.clock.Now()).Milliseconds())
	set(d.Timeout, strconv.FormatInt(remaining, 10))
	return h
}

// receiveDialect passes an answer on to the caller, unless it proves that the
// request did not run or does not belong to the request. It calls revoke at the end of the
// answer: the id must not admit nested calls after the caller has received the whole answer.
func (b *backend) receiveDialect(x *exchange, d *Dialect, resp *http.Response, instance string, revoke func()) error {
	c := x.call
	c.HeadAt = b.clock.Now()
	if load, ok := parseLoad(resp.Header.Get(d.Load)); ok {
		b.onLoad(load)
	}
	// The body of a refused answer is not read, so its connection is not used again. A
	// later attempt of the same request therefore cannot receive the same refusal once more.
	fail := func(kind errkind.Kind, reason string) error {
		c.HeadAt = time.Time{}
		_ = resp.Body.Close()
		return errkind.New(kind, "the backend server %s: status %d", reason, resp.StatusCode)
	}
	verdict := d.classify(x.id, resp)
	if verdict == answered && resp.Header.Get(d.Stamp) != "" || verdict == notRun && resp.StatusCode != http.StatusMisdirectedRequest {
		b.onAnswer(instance, resp.Header)
	}
	switch verdict {
	case notRun:
		if resp.StatusCode == http.StatusMisdirectedRequest {
			if b.announced != nil {
				b.announced.forget(instance)
			}
			return fail(errkind.StaleTarget, "is a different instance")
		}
		return fail(errkind.BackendRefused, "did not run the request")
	case mismatched, unstamped:
		return fail(errkind.ConnectionLost, "sent an answer that does not belong to the request")
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return fail(errkind.ConnectionLost, "switched protocols although the request had no Upgrade header")
	}
	generation := b.monitor.Generation()
	return x.relay(resp, b.rules.answer(resp.Header), func() error {
		revoke()
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && b.monitor.Died(c.Ctx, generation) {
			return errkind.New(errkind.ConnectionLost, "the backend server process ended during an answer without a length")
		}
		return nil
	})
}
