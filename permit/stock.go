package permit

import "bramleymill/quota"

// Stock returns what this node knows about the quota of a customer. It neither takes nor requests
// a permit.
func (c *Client) Stock(customer string) quota.Stock {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Stock(c.now(), customer)
}
