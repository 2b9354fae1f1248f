package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

// Guards against lost accepted commands, diverging replicas and linearizable reads that
// miss an accepted command. Replicas are partitioned, stopped and restarted while
// several callers propose through all of them.
func TestAcceptedCommandsSurviveFaults(t *testing.T) {
	c := &cluster{t: t}
	c.init()
	c.snapshotEvery = 20
	c.start("a", "b", "c")
	names := []string{"a", "b", "c"}
	var mu sync.Mutex
	var accepted []string
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for caller := range 4 {
		cl := &client{n: c.network, address: "node", role: "node"}
		r := NewRemote(cl, names, 1)
		wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				command := fmt.Sprintf("%d-%d", caller, i)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				if _, err := r.Propose(ctx, []byte(command)); err == nil {
					mu.Lock()
					accepted = append(accepted, command)
					mu.Unlock()
				}
				cancel()
			}
		})
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 8 {
		name := names[random.IntN(len(names))]
		switch random.IntN(3) {
		case 0:
			c.network.isolate(name, true)
			time.Sleep(testTiming.ElectionMax)
			c.network.isolate(name, false)
		case 1:
			c.stop(name)
			time.Sleep(testTiming.ElectionMin)
			c.open(name)
		case 2:
			other := names[random.IntN(len(names))]
			c.network.setFault(c.network.partitioned, name, other, true)
			time.Sleep(testTiming.ElectionMax)
			c.network.setFault(c.network.partitioned, name, other, false)
		}
		mu.Lock()
		before := slices.Clone(accepted)
		mu.Unlock()
		c.checkRead(names[random.IntN(len(names))], before)
	}
	close(stop)
	wait.Wait()
	c.checkReplicasAgree(accepted)
}

// checkRead checks that a replica has applied the commands in accepted once ReadBarrier
// returns. They must have been accepted before the call.
func (c *cluster) checkRead(name string, accepted []string) {
	c.t.Helper()
	p := c.processes[name]
	c.noError(p.group.ReadBarrier(c.context()))
	applied := map[string]bool{}
	for _, command := range p.machine.commands() {
		applied[command] = true
	}
	for _, command := range accepted {
		if !applied[command] {
			c.t.Fatalf("%s has not applied the accepted command %q when ReadBarrier returns, want it applied", name, command)
		}
	}
}

// checkReplicasAgree checks that all replicas apply the same commands, including those
// in accepted, and that the times of their entries do not decrease.
func (c *cluster) checkReplicasAgree(accepted []string) {
	c.t.Helper()
	if len(accepted) == 0 {
		c.t.Fatal("no command was accepted, want at least one")
	}
	for name := range c.processes {
		c.checkRead(name, accepted)
	}
	for name, p := range c.processes {
		p.machine.mu.Lock()
		if !slices.IsSorted(p.machine.Times) {
			c.t.Errorf("times of the entries applied by %s decrease, want ascending order", name)
		}
		p.machine.mu.Unlock()
	}
	// A command whose proposal ended with an unknown outcome may still be committed now.
	c.eventually("all replicas have applied the same commands", func() bool {
		want := c.processes["a"].machine.commands()
		return slices.Equal(c.processes["b"].machine.commands(), want) &&
			slices.Equal(c.processes["c"].machine.commands(), want)
	})
}
