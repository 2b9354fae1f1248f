package metrics

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

// Usage is the processor time and memory used by a process.
type Usage struct {
	CPU      time.Duration // user and system time since the process started
	Resident int64         // resident set size in bytes
}

// ReadUsage returns the current usage of this process.
func ReadUsage() (Usage, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return Usage{}, fmt.Errorf("read processor time: %w", err)
	}
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return Usage{}, fmt.Errorf("read memory: %w", err)
	}
	fields := bytes.Fields(b)
	if len(fields) < 2 {
		return Usage{}, fmt.Errorf("read memory: statm has %q, want at least 2 fields", b)
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return Usage{}, fmt.Errorf("read memory: %w", err)
	}
	cpu := time.Duration(r.Utime.Nano() + r.Stime.Nano())
	return Usage{CPU: cpu, Resident: pages * int64(os.Getpagesize())}, nil
}

// UpdateUsage sets the gauges for the processor time and memory of this process.
func (m *Metrics) UpdateUsage() error {
	u, err := ReadUsage()
	if err != nil {
		return err
	}
	m.Set("process_cpu_seconds", u.CPU.Seconds())
	m.Set("process_resident_bytes", float64(u.Resident))
	return nil
}
