package standin

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// timing decides how long an execution takes.
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

// duration returns the execution time of a request that starts at now.
func (t *timing) duration(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A logarithmic normal distribution with the configured mean.
	f := math.Exp(t.rng.NormFloat64()*t.config.Spread - t.config.Spread*t.config.Spread/2)
	f *= t.swing(now) * t.cold(now)
	if now.Before(t.slowUntil) {
		f *= t.slowFactor
	}
	d := time.Duration(float64(t.config.ServiceTime) * f)
	if now.Before(t.frozenUntil) {
		d += t.frozenUntil.Sub(now)
	}
	return d
}

func (t *timing) swing(now time.Time) float64 {
	if t.config.SwingPeriod <= 0 {
		return 1
	}
	phase := 2 * math.Pi * float64(now.Sub(t.start)) / float64(t.config.SwingPeriod)
	return 1 + (t.config.SwingFactor-1)*(1-math.Cos(phase))/2
}

func (t *timing) cold(now time.Time) float64 {
	age := now.Sub(t.start)
	if t.config.ColdStart <= 0 || age >= t.config.ColdStart {
		return 1
	}
	left := 1 - float64(age)/float64(t.config.ColdStart)
	return 1 + (t.config.ColdFactor-1)*left
}

// wait blocks for the execution time. It returns false when the caller went
// away first and that is honoured.
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
