package admit

import "time"

// reroutableLinkWait is the time for which the answer to a reroutable request may wait for the
// link, in multiples of its transfer time. With a longer wait another server is tried.
const reroutableLinkWait = 1

// linkTooBusy reports whether r is refused because the link could not send its answer in time.
// It answers the load of large answers on a link of little bandwidth: slots are free, but every
// further answer waits for the link, and a request that starts now would be answered late.
// Internal requests have small answers and are not refused.
func (c *Controller) linkTooBusy(now time.Time, r Request) bool {
	if r.Transfer <= 0 || r.Target.IsZero() || r.Internal {
		return false
	}
	run := c.runTime(now, r)
	if r.Reroutable {
		return r.LinkWait-run > reroutableLinkWait*r.Transfer
	}
	limit := r.Target
	if r.OnlyServer {
		limit = r.Deadline
	}
	return now.Add(max(run, r.LinkWait) + r.Transfer).After(limit)
}
