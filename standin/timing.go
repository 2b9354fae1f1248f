package standin

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// timing draws execution times. They vary at random, swing periodically, are longer
// after the start, and can be slowed down or frozen for a period.
type timing struct {
	mu          sync.Mutex
	config      Config
	rng         *rand.Rand
	start       time.Time
	slowFactor  float64
	slowUntil   time.Time
	frozenUntil time.Time
}

func newTiming(c Config, start time.Time) *timing {
	return &timing{config: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), start: start, slowFactor: 1}
}

// duration returns the execution time of work that starts at now.
func (t *timing) duration(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	// The factor follows a log-normal distribution with mean 1, so that the configured
	// service time is the mean.
	factor := math.Exp(t.rng.NormFloat64()*t.config.Spread - t.config.Spread*t.config.Spread/2)
	factor *= t.swingFactor(now) * t.coldFactor(now)
	if now.Before(t.slowUntil) {
		factor *= t.slowFactor
	}
	d := time.Duration(float64(t.config.ServiceTime) * factor)
	if now.Before(t.frozenUntil) {
		d += t.frozenUntil.Sub(now)
	}
	return d
}

// swingFactor follows a cosine between 1 and Config.SwingFactor, beginning with 1.
func (t *timing) swingFactor(now time.Time) float64 {
	if t.config.SwingPeriod <= 0 {
		return 1
	}
	phase := 2 * math.Pi * float64(now.Sub(t.start)) / float64(t.config.SwingPeriod)
	return 1 + (t.config.SwingFactor-1)*(1-math.Cos(phase))/2
}

// coldFactor falls linearly from Config.ColdFactor at the start to 1 at the end of
// the cold start.
func (t *timing) coldFactor(now time.Time) float64 {
	age := now.Sub(t.start)
	if t.config.ColdStart <= 0 || age >= t.config.ColdStart {
		return 1
	}
	remaining := 1 - float64(age)/float64(t.config.ColdStart)
	return 1 + (t.config.ColdFactor-1)*remaining
}

// wait blocks for the execution time. It returns false if ctx ends before that,
// unless ignoreContext is set.
func (t *timing) wait(ctx context.Context, ignoreContext bool) bool {
	timer := time.NewTimer(t.duration(time.Now()))
	defer timer.Stop()
	if ignoreContext {
		<-timer.C
		return true
	}
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *timing) setSlow(factor float64, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowFactor, t.slowUntil = factor, until
}

func (t *timing) setFrozen(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.frozenUntil = until
}
