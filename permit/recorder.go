package permit

import (
	"context"
	"time"

	"bramleymill/quota"
)

const (
	// recordInterval is the time between two writes of the record.
	recordInterval = 100 * time.Millisecond
	// recordAhead is the time for which a write permits the issue. A disk that stalls for less
	// does not stop the issuer; a later process loses this time.
	recordAhead = 500 * time.Millisecond
)

// runRecord keeps the record until ctx ends.
func (i *Issuer) runRecord(ctx context.Context) {
	t := time.NewTicker(recordInterval)
	defer t.Stop()
	for {
		if err := i.keepRecord(); err != nil && !i.recordFailed {
			i.recordFailed = true
			i.config.Logger.Error("the time of issue of permits cannot be recorded; no permits are issued until it can", "error", err)
		} else if err == nil {
			i.recordFailed = false
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// keepRecord writes until when this process may issue. Before the first write it finds out how
// long nothing has been issued. It writes nothing while the issuer may not issue, so that a
// control instance without a majority does not delay what follows.
func (i *Issuer) keepRecord() error {
	// The confirmation is read before the state that it confirms.
	if confirmed := i.confirmed(); confirmed >= quota.ConfirmationLimit {
		return nil
	}
	changed, applied := i.config.Membership()
	voter, _, ok := i.config.Voters()
	if !voter || !ok || applied < changed {
		return nil
	}
	i.mu.Lock()
	now := i.update()
	wait := max(0, i.core.IssuesFrom()-now)
	refusal := i.core.Refusal(now, 0)
	i.mu.Unlock()
	if refusal == quota.NotVoter || refusal == quota.Stopping {
		return nil
	}
	record, reading := i.config.Record, i.config.Record.readings()
	next := i.recorded
	next.boot, next.applied, next.until = reading.Boot, applied, reading.after(wait+recordAhead)
	idle, allowance := time.Duration(0), false
	if !i.resumed {
		earlier := &record.earlier
		known := record.known && earlier.boot != 0 && reading.Boot != 0 && wait == 0 && changed <= earlier.applied
		if known {
			idle = max(0, reading.since(earlier.boot, earlier.until))
			allowance = reading.since(earlier.boot, earlier.allowance) >= quota.RefillTime
		}
		next.allowance = reading.after(wait + recordInterval + quota.AllowanceTime)
		if known && !allowance && earlier.boot == reading.Boot {
			next.allowance = earlier.allowance
		}
	}
	if err := record.write(&next); err != nil {
		return err
	}
	i.recorded = next
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.resumed {
		i.resumed = true
		resumed := i.update()
		allowance = allowance && resumed-now < recordInterval // the write may have stalled
		if idle > 0 || allowance {
			i.core.Resume(resumed, idle, allowance)
			i.config.Logger.Info("quotas resumed", "unused_for", idle, "allowance", allowance)
		}
	}
	i.core.SetRecorded(now + recordAhead)
	return nil
}
