package replica

import (
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bramleymill/fleet"
	"bramleymill/keys"
	"bramleymill/raft"
	"bramleymill/transport"
)

// BenchmarkPropose measures commits of 256-byte commands by three replicas in one test
// process, which are connected in memory and write to the disk of the machine.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			c := &cluster{t: b, discard: true}
			c.init()
			c.start("a", "b", "c")
			g := c.processes[c.leader()].group
			command := make([]byte, 256)
			latency := hdrhistogram.New(1, int64(time.Minute), 3)
			var mu sync.Mutex
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			b.ResetTimer()
			var wait sync.WaitGroup
			for range callers {
				wait.Go(func() {
					for remaining.Add(-1) >= 0 {
						start := time.Now()
						if _, err := g.Propose(context.Background(), command); err != nil {
							b.Error(err)
							return
						}
						mu.Lock()
						_ = latency.RecordValue(int64(time.Since(start))) // the value is within the bounds of the histogram
						mu.Unlock()
					}
				})
			}
			wait.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(latency.ValueAtQuantile(50))/1e3, "p50-µs")
			b.ReportMetric(float64(latency.ValueAtQuantile(99))/1e3, "p99-µs")
		})
	}
}

// BenchmarkCatchUp measures the time from opening a replica that missed 1,000 entries
// until it has applied them. Elections are excluded.
func BenchmarkCatchUp(b *testing.B) {
	c := newCluster(b, "a", "b", "c")
	command := make([]byte, 1024)
	for b.Loop() {
		b.StopTimer()
		c.stop("c")
		g := c.processes[c.leader()].group
		var wait sync.WaitGroup
		for range 50 {
			wait.Go(func() {
				for range 20 {
					if _, err := g.Propose(context.Background(), command); err != nil {
						b.Error(err)
					}
				}
			})
		}
		wait.Wait()
		b.StartTimer()
		c.open("c")
		c.noError(c.processes["c"].group.ReadBarrier(c.context()))
	}
}

// BenchmarkFailover measures the time from the loss of the leader until a command
// proposed at another replica is committed, with the default timing.
func BenchmarkFailover(b *testing.B) {
	c := &cluster{t: b}
	c.init()
	c.timing = raft.DefaultTiming
	c.start("a", "b", "c")
	for b.Loop() {
		b.StopTimer()
		old := c.leader()
		c.network.isolate(old, true)
		b.StartTimer()
		for name := range c.processes {
			if name != old {
				c.propose(name, "x")
				break
			}
		}
		b.StopTimer()
		c.network.isolate(old, false)
		c.noError(c.processes[old].group.ReadBarrier(c.context()))
		b.StartTimer()
	}
}

// BenchmarkConfirm measures linearizable reads on the leader, which relies on its lease,
// and on each follower, which requests a read index from the leader.
func BenchmarkConfirm(b *testing.B) {
	c := newCluster(b, "a", "b", "c")
	leader := c.leader()
	for name, p := range c.processes {
		role := "follower-" + name
		if name == leader {
			role = "leader"
		}
		b.Run(role, func(b *testing.B) {
			for b.Loop() {
				c.noError(p.group.ReadBarrier(context.Background()))
			}
		})
	}
}

// BenchmarkIdle measures the CPU time of three idle hosts with two groups each, which
// are in one test process and connected by QUIC on loopback.
func BenchmarkIdle(b *testing.B) {
	c := &cluster{t: b}
	c.init()
	folder := b.TempDir()
	c.noError(keys.InitAuthority(folder, keys.Options{}))
	var opened []*Group
	for _, name := range []fleet.NodeID{"a", "b", "c"} {
		c.noError(keys.Issue(folder, name, fleet.RoleControl, keys.Options{}))
		store, err := keys.Load(keys.Config{Files: keys.FilesOf(folder, name)})
		c.noError(err)
		mux := transport.NewMux()
		e, err := transport.NewEndpoint(mux, transport.Config{Address: "127.0.0.1:0", Keys: store})
		c.noError(err)
		b.Cleanup(func() { c.noError(e.Close(context.Background())) })
		host := NewHost(mux, e)
		go func() { _ = e.Serve(context.Background()) }() // returns when e is closed
		for number := range uint32(2) {
			opened = append(opened, c.openIdle(host, e, name, number, opened))
		}
	}
	c.eventually("three voters", func() bool {
		return len(opened[0].Status().Voters) == 3 && len(opened[1].Status().Voters) == 3
	})
	const idleTime = 5 * time.Second
	for b.Loop() {
		before := cpuTime()
		time.Sleep(idleTime)
		b.ReportMetric(float64(cpuTime()-before)/float64(idleTime)*100, "%cpu")
	}
}

// openIdle opens a replica at an endpoint. opened lists the replicas opened so far. The
// first replica of each of the two groups is bootstrapped.
func (c *cluster) openIdle(h *Host, e *transport.Endpoint, name fleet.NodeID, number uint32, opened []*Group) *Group {
	config := Config{
		Group: number, Node: name, Address: e.Address(), Folder: filepath.Join(c.base, string(name)),
		Machine: &recordingMachine{}, Client: e, Seed: uint64(name[0]), Host: h, Logger: slog.New(slog.DiscardHandler),
	}
	if len(opened) > 0 {
		config.Seeds = []string{opened[0].config.Address}
	}
	g, err := Open(config)
	c.noError(err)
	c.t.Cleanup(func() { c.noError(g.Close()) })
	if len(opened) < 2 {
		c.noError(g.Bootstrap(c.context()))
	}
	return g
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // cannot fail with these arguments
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
