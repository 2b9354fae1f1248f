package observe

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// inForce is the log message of a node that puts a configuration in force.
const inForce = `msg="configuration in force"`

// Spread tells how long changes took from the first node that had them, which
// is the leader at acceptance, to the others.
type Spread struct {
	Changes    int     `json:"changes"`
	Nodes      int     `json:"nodes"`
	P50Millis  float64 `json:"p50_ms"` // over all nodes and changes
	P99Millis  float64 `json:"p99_ms"`
	MaxMillis  float64 `json:"max_ms"`
	Incomplete int     `json:"incomplete"` // changes that not every node logged
}

// ReadSpread reads the logs of the targets and measures every version above first.
func ReadSpread(targets []Target, first uint64) (Spread, error) {
	seen := map[uint64][]time.Time{}
	for _, t := range targets {
		if err := readLog(t.Log, seen); err != nil {
			return Spread{}, fmt.Errorf("%s: %w", t.Name, err)
		}
	}
	out := Spread{Nodes: len(targets)}
	var delays []time.Duration
	for version, times := range seen {
		if version <= first {
			continue
		}
		out.Changes++
		if len(times) != len(targets) {
			out.Incomplete++
		}
		delays = append(delays, since(times)...)
	}
	sortDurations(delays)
	out.P50Millis = millis(quantile(delays, 0.5))
	out.P99Millis = millis(quantile(delays, 0.99))
	out.MaxMillis = millis(quantile(delays, 1))
	return out, nil
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func since(times []time.Time) []time.Duration {
	first := times[0]
	for _, t := range times {
		if t.Before(first) {
			first = t
		}
	}
	out := make([]time.Duration, len(times))
	for i, t := range times {
		out[i] = t.Sub(first)
	}
	return out
}

func readLog(path string, seen map[uint64][]time.Time) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	s := bufio.NewScanner(f)
	for s.Scan() {
		line := s.Text()
		if !strings.Contains(line, inForce) {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, field(line, "time"))
		if err != nil {
			return err
		}
		version, err := strconv.ParseUint(field(line, "version"), 10, 64)
		if err != nil {
			return err
		}
		seen[version] = append(seen[version], at)
	}
	return s.Err()
}

// field returns the value of a key in a key=value line.
func field(line, key string) string {
	for _, f := range strings.Fields(line) {
		if k, v, ok := strings.Cut(f, "="); ok && k == key {
			return v
		}
	}
	return ""
}
