package proxy

import (
	"bramleymill/errkind"
	"bramleymill/filter"
)

// reportNoSlot returns a handler that reports when next refuses a request because no slot is
// free.
func (p *Proxy) reportNoSlot(next filter.Handler) filter.Handler {
	return filter.HandlerFunc(func(c *filter.Call) error {
		err := next.Serve(c)
		if err != nil {
			p.noSlot(err)
		}
		return err
	})
}

// noSlot calls OnNoSlot if err states that no slot is free.
func (p *Proxy) noSlot(err error) {
	if p.config.OnNoSlot == nil {
		return
	}
	switch errkind.Of(err).Kind {
	case errkind.QueueFull, errkind.SlotsReserved:
		p.config.OnNoSlot()
	}
}
