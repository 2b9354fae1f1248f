package proxy

import (
	"time"

	"bramleymill/filter"
)

// scheduledAnswer writes the body of an answer when the link to the other nodes has room for it.
type scheduledAnswer struct {
	filter.Answer
	proxy *Proxy
	call  *filter.Call
}

func (p *Proxy) scheduledAnswer(c *filter.Call, a filter.Answer) filter.Answer {
	if p.link == nil {
		return a
	}
	return &scheduledAnswer{a, p, c}
}

func (a *scheduledAnswer) Write(b []byte) (int, error) {
	written := 0
	err := a.proxy.link.Send(a.call.Ctx, a.call.Meta.Class, a.call.Meta.Urgency, b, func(part []byte) error {
		n, err := a.Answer.Write(part)
		written += n
		return err
	})
	return written, err
}

// LinkBacklog returns the time until the link of the machine has sent the answers to other nodes
// that are complete or expected. It is zero if the bandwidth of the link is not known.
func (p *Proxy) LinkBacklog() time.Duration { return p.link.Backlog() }
