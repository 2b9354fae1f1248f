package observe

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// Cost is the resource usage of all nodes of one role. A field with the suffix Max is
// the largest value of any node. The other fields, except Nodes, are means over the nodes.
type Cost struct {
	Nodes                   int     `json:"nodes"`
	CPUPercent              float64 `json:"cpu_percent_of_core"`
	CPUPercentMax           float64 `json:"cpu_percent_of_core_max"`
	ResidentMB              float64 `json:"resident_mb"`
	ResidentMBMax           float64 `json:"resident_mb_max"`
	BytesSentPerSecond      float64 `json:"control_bytes_sent_per_second"` // without the overhead of QUIC
	BytesSentPerSecondMax   float64 `json:"control_bytes_sent_per_second_max"`
	MessagesSentPerSecond   float64 `json:"control_messages_sent_per_second"`
	MessagesServedPerSecond float64 `json:"control_messages_served_per_second"`
}

// sample holds the resource usage and metrics of a node at one time.
type sample struct {
	process Process
	metrics map[string]float64
	at      time.Time
}

func takeSample(ctx context.Context, t Target) (sample, error) {
	at := time.Now()
	p, err := ReadProcess(t.PID)
	if err != nil {
		return sample{}, fmt.Errorf("measure node %s: %w", t.Name, err)
	}
	m, err := Scrape(ctx, t.Metrics)
	if err != nil {
		return sample{}, fmt.Errorf("measure node %s: %w", t.Name, err)
	}
	return sample{p, m, at}, nil
}

// MeasureCost measures the targets over d and returns the cost of nodes and of control
// instances.
func MeasureCost(ctx context.Context, targets []Target, d time.Duration) (node, control Cost, err error) {
	before := make([]sample, len(targets))
	for i, t := range targets {
		if before[i], err = takeSample(ctx, t); err != nil {
			return Cost{}, Cost{}, err
		}
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return Cost{}, Cost{}, ctx.Err()
	}
	for i, t := range targets {
		after, err := takeSample(ctx, t)
		if err != nil {
			return Cost{}, Cost{}, err
		}
		if t.Control {
			control.add(before[i], after)
		} else {
			node.add(before[i], after)
		}
	}
	node.average()
	control.average()
	return node, control, nil
}

// add adds the usage of one node between two samples. The means are sums until
// average is called.
func (c *Cost) add(before, after sample) {
	seconds := after.at.Sub(before.at).Seconds()
	rate := func(name string) float64 { return (after.metrics[name] - before.metrics[name]) / seconds }
	cpuPercent := 100 * (after.process.CPU - before.process.CPU).Seconds() / seconds
	residentMB := float64(after.process.Resident) / 1e6
	bytesPerSecond := rate("bramleymill_control_bytes_sent")
	c.Nodes++
	c.CPUPercent += cpuPercent
	c.CPUPercentMax = max(c.CPUPercentMax, cpuPercent)
	c.ResidentMB += residentMB
	c.ResidentMBMax = max(c.ResidentMBMax, residentMB)
	c.BytesSentPerSecond += bytesPerSecond
	c.BytesSentPerSecondMax = max(c.BytesSentPerSecondMax, bytesPerSecond)
	c.MessagesSentPerSecond += rate("bramleymill_control_messages_sent")
	c.MessagesServedPerSecond += rate("bramleymill_control_messages_served")
}

// average divides the sums by the number of nodes.
func (c *Cost) average() {
	n := float64(max(c.Nodes, 1))
	for _, v := range []*float64{&c.CPUPercent, &c.ResidentMB, &c.BytesSentPerSecond, &c.MessagesSentPerSecond, &c.MessagesServedPerSecond} {
		*v /= n
	}
}

// quantile returns the value below which the share q of a sorted list lies, or zero
// for an empty list.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func sortDurations(d []time.Duration) { slices.Sort(d) }
