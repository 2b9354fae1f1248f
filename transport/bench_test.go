package transport_test

import (
	"context"
	"syscall"
	"testing"
	"time"
)

// processorTime returns the user and system time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		b.Fatal(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkCall measures the time and the processor time of a call over loopback. Both
// endpoints run in this process.
func BenchmarkCall(b *testing.B) {
	f := newFolder(b, "katalog-1", "control-1")
	n, c := open(b, loadStore(b, f, "katalog-1", nil)), open(b, loadStore(b, f, "control-1", nil))
	r := echo{Text: "a message of the size of a heartbeat, which has about a hundred bytes"}
	if _, err := call(b, n, c, r); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	processorTimeBefore := processorTime(b)
	for b.Loop() {
		if err := n.Call(context.Background(), c.Address(), kindEcho, &r, new(echo)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((processorTime(b)-processorTimeBefore).Microseconds())/float64(b.N), "cpu-µs/op")
}
