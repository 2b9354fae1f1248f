package observe

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// configInForceMessage is the message that a node logs when it begins to use a new
// configuration.
const configInForceMessage = `msg="configuration in force"`

// Spread is how long configuration changes took to reach the nodes. The delays of a
// change count from the first log entry about the change. The leader writes this entry
// when it accepts the change.
type Spread struct {
	Changes    int     `json:"changes"` // number of configuration versions that were measured
	Nodes      int     `json:"nodes"`
	P50Millis  float64 `json:"p50_ms"` // over all nodes and changes
	P99Millis  float64 `json:"p99_ms"`
	MaxMillis  float64 `json:"max_ms"`
	Incomplete int     `json:"incomplete"` // changes that not every node logged
}

// ReadSpread reads the logs of the targets and returns the spread of the
// configuration versions above afterVersion.
func ReadSpread(targets []Target, afterVersion uint64) (Spread, error) {
	timesByVersion := map[uint64][]time.Time{}
	for _, t := range targets {
		if err := readLog(t.Log, timesByVersion); err != nil {
			return Spread{}, fmt.Errorf("read log of %s: %w", t.Name, err)
		}
	}
	out := Spread{Nodes: len(targets)}
	var delays []time.Duration
	for version, times := range timesByVersion {
		if version <= afterVersion {
			continue
		}
		out.Changes++
		if len(times) != len(targets) {
			out.Incomplete++
		}
		delays = append(delays, delaysAfterFirst(times)...)
	}
	sortDurations(delays)
	out.P50Millis = millis(quantile(delays, 0.5))
	out.P99Millis = millis(quantile(delays, 0.99))
	out.MaxMillis = millis(quantile(delays, 1))
	return out, nil
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// delaysAfterFirst returns for each time how long after the earliest one it is.
func delaysAfterFirst(times []time.Time) []time.Duration {
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

// readLog reads the log at path and adds to timesByVersion when each configuration
// version came into force.
func readLog(path string, timesByVersion map[uint64][]time.Time) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	s := bufio.NewScanner(f)
	for s.Scan() {
		line := s.Text()
		if !strings.Contains(line, configInForceMessage) {
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
		timesByVersion[version] = append(timesByVersion[version], at)
	}
	return s.Err()
}

// field returns the value of a key in a log line of key=value pairs, or "" if the line
// lacks it.
func field(line, key string) string {
	for _, f := range strings.Fields(line) {
		if k, v, ok := strings.Cut(f, "="); ok && k == key {
			return v
		}
	}
	return ""
}
