package admit

import "time"

// maxUploads returns the number of slots that requests with unfinished bodies may hold or wait
// for: half of the slots. The time that such a request takes depends on its client, which may
// send a byte at a time until the deadline. Without the bound a few such clients hold every
// slot, and the requests of all others are refused.
func (c *Controller) maxUploads() int { return max(1, c.config.Slots/2) }

// uploadsFull reports whether a further request with an unfinished body must be refused. It is
// not queued, because the time until such a slot is free is not known.
func (c *Controller) uploadsFull() bool {
	uploads := c.uploading
	for i := range c.queue {
		if c.queue[i].request.Uploading {
			uploads++
		}
	}
	return uploads >= c.maxUploads()
}

// BodyReceived records that the whole body of a running request has arrived, and returns the
// queued requests to start or refuse.
func (c *Controller) BodyReceived(now time.Time, id uint64) []Action {
	c.actions = c.actions[:0]
	r, ok := c.running[id]
	if !ok || !r.uploading {
		return nil
	}
	r.uploading = false
	c.running[id] = r
	c.uploading--
	c.expire(now)
	c.dispatch(now)
	return c.actions
}
