package proxy

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"bramleymill/clock"
)

// BenchmarkCall compares three kinds of calls: to the backend server directly, through
// one node, and through an entry node and a server node. The calls alternate within
// one run.
func BenchmarkCall(b *testing.B) {
	c := newCluster(b)
	realTime := func(c *Config) { c.Clock = clock.System{} }
	text := strings.Repeat("x", 512)
	entry := c.node("entry", nil, realTime)
	server := c.node("a", answer(text), realTime)
	urls := []string{server.backend.URL, server.caller.URL, entry.caller.URL}
	durations := make([][]time.Duration, len(urls))
	client := &http.Client{Transport: &http.Transport{}}
	for b.Loop() {
		for i, url := range urls {
			start := time.Now()
			resp, err := client.Get(url + "/x")
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			durations[i] = append(durations[i], time.Since(start))
		}
	}
	for i, name := range []string{"direct", "one-node", "two-nodes"} {
		d := durations[i]
		slices.Sort(d)
		b.ReportMetric(float64(d[len(d)/2].Nanoseconds())/1000, name+"-p50-µs")
		b.ReportMetric(float64(d[len(d)*99/100].Nanoseconds())/1000, name+"-p99-µs")
	}
}
