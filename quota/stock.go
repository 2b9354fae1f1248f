package quota

import "time"

// Stock is what an entry node knows about the quota of a customer.
type Stock struct {
	Permits uint32        // permits that can be used now
	Verdict Verdict       // on the next request; zero: a control instance would be asked
	Wait    time.Duration // with Exceeded, the time after which a permit is expected
}

// Stock returns the stock of a customer. It neither takes nor requests a permit.
func (c *Client) Stock(now time.Duration, customer string) Stock {
	a := c.accounts[customer]
	if a == nil {
		a = &account{name: customer, id: IDOf(customer)}
	}
	s := Stock{}
	for _, b := range a.stock {
		if b.expires > now {
			s.Permits += b.count
		}
	}
	if s.Permits > 0 {
		s.Verdict = Granted
		return s
	}
	_, s.Wait, s.Verdict = c.target(now, a)
	if s.Verdict != Exceeded {
		s.Wait = 0
	}
	return s
}
