package member_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"bramleymill/fleet"
	"bramleymill/member"
	"bramleymill/transport"
	"bramleymill/transport/memory"
)

type fixed struct{}

func (fixed) Accepted() (uint64, []byte, time.Duration, bool) { return 1, []byte("one"), 0, true }

// Guards, under the race detector, against data races that the simulations in one
// goroutine cannot show.
func TestRunConcurrently(t *testing.T) {
	net := memory.New(memory.Config{Seed: 1})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var members []*member.Member
	for i := range 8 {
		name, role, source := fleet.NodeID(fmt.Sprintf("node-%d", i)), fleet.RoleNode, member.ConfigSource(nil)
		if i < 2 {
			role, source = fleet.RoleControl, fixed{}
		}
		mux := transport.NewMux()
		c := net.Join(transport.Peer{Node: name, Role: role, Address: "addr-" + string(name)}, mux)
		m, err := member.New(member.Config{
			Self: fleet.Server{Node: name, Incarnation: 1, Service: "katalog", PeerAddress: "addr-" + string(name), State: fleet.Starting},
			// Each member accepts two children, so some nodes are relays.
			Seeds: []string{"addr-node-0", "addr-node-1"}, Client: c, Mux: mux, Seed: uint64(i), MaxChildren: 2, Source: source,
		})
		if err != nil {
			t.Fatal(err)
		}
		m.OnConfig(func(uint64, []byte) { m.SetState(fleet.Ready) })
		m.OnCrash(func(fleet.CrashReport) { m.ObservePeerVersion(2) })
		members = append(members, m)
	}
	for _, m := range members {
		running.Go(func() { _ = m.Run(ctx) })
	}
	members[7].BroadcastCrash(fleet.CrashReport{Service: "katalog"})
	for _, m := range members {
		for _ = m.Subscribe(ctx, "katalog"); !allReady(m.Servers("katalog"), len(members)); {
			time.Sleep(time.Millisecond)
		}
		m.View()
	}
	if err := members[7].Leave(ctx); err != nil {
		t.Error(err)
	}
}

func allReady(s []fleet.Server, want int) bool {
	for _, x := range s {
		if x.State != fleet.Ready {
			return false
		}
	}
	return len(s) == want
}
