package benchmark

import (
	"context"
	"testing"
	"time"

	"bramleymill/admit"
	"bramleymill/clock"
	"bramleymill/fleet"
	"bramleymill/retry"
)

// BenchmarkAdmission admits and ends requests at a gate with free slots.
func BenchmarkAdmission(b *testing.B) {
	g := admit.NewGate(admit.Config{Slots: 10, QueueLength: 100}, clock.System{})
	r := admit.Request{Urgency: fleet.UrgencyNormal, Deadline: time.Now().Add(time.Hour), Class: "order"}
	b.ReportAllocs()
	for b.Loop() {
		release, err := g.Acquire(context.Background(), r)
		if err != nil {
			b.Fatal(err)
		}
		release(time.Millisecond)
	}
}

// BenchmarkRetryBudget earns for each request and asks for one retry.
func BenchmarkRetryBudget(b *testing.B) {
	now := time.Now()
	budget := retry.NewBudget(now, retry.DefaultRetryRatio, retry.DefaultRetryReserve)
	b.ReportAllocs()
	for b.Loop() {
		budget.Earn()
		_ = budget.Spend(now)
	}
}
