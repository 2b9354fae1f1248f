package main

import (
	"sync"
	"time"
)

func init() { cases["late-heartbeat"] = lateHeartbeat }

const (
	drainBound   = 2 * time.Second
	contactBound = 3 * time.Second
	heldFor      = 5 * time.Second // delay of the late heartbeat
	servesFor    = 14 * time.Second
)

// lateHeartbeat checks DRAIN: a heartbeat arrives late, after its sender has announced its
// end to the same node, and the node was started again in between.
func lateHeartbeat(f *fleet, trouble bool) (bool, error) {
	var m *machine
	var leaving *backend
	for i := range 3 {
		side, b, err := f.addSide("objednavky", backendConfig{slots: 11, work: 78 * time.Millisecond})
		if err != nil {
			return false, err
		}
		if i == 0 {
			m, leaving = side, b
		}
	}
	err := f.start(patchOf(true, []service{{"objednavky", 7}}, []route{
		{Name: "r-order", Host: "orders.example", Prefix: "/orders/", Service: "objednavky", Version: 7, TimeoutMS: 600, TargetMS: 250, Priority: 1},
	}))
	if err != nil {
		return false, err
	}
	stop := f.rec.now() + 25*time.Second
	var running sync.WaitGroup
	var orders tally
	running.Go(func() {
		f.traffic(kind{name: "order", method: "POST", host: "orders.example", path: "/orders/", perSecond: 60, deadline: 600 * time.Millisecond}, stop, &orders)
	})
	time.Sleep(3 * time.Second)
	leaving.silent.Store(true)
	time.Sleep(heartbeatInterval) // the heartbeat that was being sent ends
	late := leaving.heartbeatText("ready")
	f.rec.add("backend %s sends a heartbeat (ready), which is held up: %s", leaving.instance, late)
	sentLate := f.rec.now()
	leaving.leaving.Store(true)
	status, _ := f.call("DELETE", leaving.heartbeatURL(), render("heartbeat.tmpl", leaving.farewell()))
	acknowledged := f.rec.now()
	f.rec.add("backend %s says that it ends, answer %d", leaving.instance, status)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		f.rec.add("disruption: the process of %s is killed", m.Name)
		m.kill()
		time.Sleep(restartDelay)
		if err := m.start(); err != nil {
			return false, err
		}
		f.rec.add("the process of %s is started again", m.Name)
	}
	startedAt := m.startedAt
	time.Sleep(sentLate + heldFor - f.rec.now())
	status, _ = f.call("PUT", leaving.heartbeatURL(), late)
	f.rec.add("the late heartbeat arrives, answer %d", status)
	time.Sleep(acknowledged + servesFor - f.rec.now())
	f.rec.add("backend %s exits", leaving.instance)
	leaving.close()
	running.Wait()
	if status == 0 || orders.served == 0 {
		return false, errTooFew
	}
	after := 0
	for id, runs := range f.book.all() {
		for _, r := range runs {
			if r.instance == leaving.instance && r.at > acknowledged+drainBound && r.at > startedAt+contactBound {
				after++
				if after <= 5 {
					f.rec.add("id=%s reached the backend %.3f s after the acknowledgement", id, (r.at - acknowledged).Seconds())
				}
			}
		}
	}
	f.rec.add("%d requests reached the backend later than drain after the acknowledgement", after)
	return after > 0, nil
}

// farewell returns what the backend server says of itself when it ends.
func (b *backend) farewell() map[string]any {
	return map[string]any{"Address": b.machine.address(b.fleet.ports.App), "Service": b.service, "Zone": b.machine.Zone,
		"Slots": b.config.slots, "State": "draining", "Sequence": b.sequence.Add(1), "Born": b.born}
}
