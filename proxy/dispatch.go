package proxy

import (
	"net/http"
	"strconv"
	"time"

	"bramleymill/errkind"
	"bramleymill/filter"
)

// dispatchDialect sends the call to a backend server that uses the dialect d.
func (b *backend) dispatchAs(c *filter.Call, d *Dialect) error {
	instance := ""
	if b.announced != nil {
		known := b.announced.known()
		if known == nil {
			return errkind.New(errkind.BackendDown, "the instance of the backend server is not known yet")
		}
		instance = known.Instance
	}
	id := c.Request.Header.Get(d.RequestID)
	b.tokens.hold(id, &filter.Parent{RequestID: c.Meta.RequestID, Deadline: c.Deadline, Depth: c.Meta.Depth})
	defer b.tokens.revoke(id)
	for try := 1; ; try++ {
		x := &exchange{call: c, host: b.address, rules: b.rules, header: b.headerAs(c, d, instance),
			id: id, skip: maxStray, expect: c.Body.Expect, expectTimeout: backendExpectTimeout}
		resp, written, err := x.roundTrip(b.pool)
		switch {
		case err == nil:
			defer x.end()
			return b.receiveAs(x, d, resp, instance)
		case written:
			return lost(c, "connection to the backend server broke", err)
		case x.link == nil || try == maxUnsentRetries:
			b.monitor.check()
			return notSent(c, errkind.BackendDown, err)
		}
	}
}

func (b *backend) headerAs(c *filter.Call, d *Dialect, instance string) http.Header {
	h := b.rules.endToEnd(c.Request.Header)
	set := func(name, value string) {
		name = http.CanonicalHeaderKey(name)
		delete(h, name)
		if value != "" {
			h[name] = []string{value}
		}
	}
	set(d.CallerService, c.Meta.From)
	set(d.ExpectInstance, instance)
	left := max(1, c.Deadline.Sub(b.clock.Now()).Milliseconds())
	set(d.Timeout, strconv.FormatInt(left, 10))
	return h
}

// receiveDialect passes an answer on to the caller, unless it proves that the
// request did not run or does not belong to the request.
func (b *backend) receiveAs(x *exchange, d *Dialect, resp *http.Response, instance string) error {
	c := x.call
	c.HeadAt = b.clock.Now()
	if load, ok := parseLoad(resp.Header.Get(d.Load)); ok {
		b.loaded(load)
	}
	fail := func(kind errkind.Kind, reason string) error {
		c.HeadAt = time.Time{}
		_ = resp.Body.Close()
		return errkind.New(kind, "the backend server %s: status %d", reason, resp.StatusCode)
	}
	switch d.judge(x.id, resp) {
	case refused:
		if resp.StatusCode == http.StatusMisdirectedRequest {
			if b.announced != nil {
				b.announced.forget(instance)
			}
			return fail(errkind.StaleTarget, "is a different instance")
		}
		return fail(errkind.BackendRefused, "did not run the request")
	case stray, spoiled:
		return fail(errkind.ConnectionLost, "sent an answer that does not belong to the request")
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return fail(errkind.ConnectionLost, "switched protocols without a request for it")
	}
	life := b.monitor.Generation()
	return x.relay(resp, b.rules.answer(resp.Header), func() error {
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && b.monitor.Died(c.Ctx, life) {
			return errkind.New(errkind.ConnectionLost, "the backend server process ended during an answer without a length")
		}
		return nil
	})
}
