package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// model records the requests that the Controller c must have queued and running according to
// its verdicts and actions.
type model struct {
	c       *Controller
	now     time.Time
	queued  map[uint64]Request
	running map[uint64]Request
	nextID  uint64
}

func (m *model) apply(t *rapid.T, actions []Action) {
	for _, a := range actions {
		r, ok := m.queued[a.ID]
		if !ok {
			t.Fatalf("action for request %d, which is not queued; want no action for it", a.ID)
		}
		delete(m.queued, a.ID)
		if a.Kind != "" {
			if errkind.Lookup(a.Kind).Outcome == errkind.Unknown {
				t.Fatalf("queued request is refused with error kind %s of outcome unknown, want an error kind that states that it did not run", a.Kind)
			}
			continue
		}
		if !m.now.Before(r.Deadline) {
			t.Fatalf("request %d started after its deadline, want it refused", a.ID)
		}
		for id, other := range m.queued {
			if other.rank() > r.rank() || other.rank() == r.rank() && other.Deadline.Before(r.Deadline) && other.privileged() == r.privileged() {
				t.Fatalf("request %d (rank %d, deadline %v) started before request %d (rank %d, deadline %v), want it after", a.ID, r.rank(), r.Deadline, id, other.rank(), other.Deadline)
			}
		}
		m.running[a.ID] = r
	}
}

func (m *model) offer(t *rapid.T) {
	r := Request{
		Urgency:    fleet.Urgency(rapid.IntRange(1, 4).Draw(t, "urgency")),
		Internal:   rapid.Bool().Draw(t, "internal"),
		Deadline:   m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "deadline")) * time.Millisecond),
		Class:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"),
		Reroutable: rapid.Bool().Draw(t, "reroutable"),
		OnlyServer: rapid.Bool().Draw(t, "only server"),
	}
	m.nextID++
	verdict, _, actions := m.c.Offer(m.now, m.nextID, r)
	m.apply(t, actions)
	switch verdict {
	case Admitted:
		m.running[m.nextID] = r
	case Queued:
		m.queued[m.nextID] = r
	}
}

func (m *model) check(t *rapid.T, c Config) {
	l := m.c.Load(m.now)
	if l.InFlight != len(m.running) || l.Queued != len(m.queued) {
		t.Fatalf("load = %+v, want %d in flight and %d queued according to the verdicts and actions", l, len(m.running), len(m.queued))
	}
	ordinary := 0
	for _, r := range m.running {
		if !r.privileged() {
			ordinary++
		}
	}
	withAlternative := 0 // requests that other servers could run; only these are bounded by QueueLength
	for _, r := range m.queued {
		if !r.OnlyServer {
			withAlternative++
		}
	}
	if c = c.withDefaults(); l.InFlight > c.Slots || ordinary > c.Slots-c.Reserved || l.Queued > onlyServerQueueFactor*c.QueueLength || withAlternative > c.QueueLength {
		t.Fatalf("in flight = %d, of them ordinary = %d, queued = %d, of them with an alternative server = %d; want all within the limits %+v", l.InFlight, ordinary, l.Queued, withAlternative, c)
	}
}

// Guards against more running requests than slots, ordinary requests in reserved slots, a
// wrong order of the queue, requests that are started or refused twice or never, and requests
// that stay queued after their deadline.
func TestSlotsAndQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{
			Slots:       rapid.IntRange(1, 6).Draw(t, "slots"),
			QueueLength: rapid.IntRange(0, 6).Draw(t, "queue"),
			Connections: rapid.IntRange(0, 8).Draw(t, "connections"),
		}
		m := &model{c: NewController(c), now: start, queued: map[uint64]Request{}, running: map[uint64]Request{}}
		t.Repeat(map[string]func(*rapid.T){
			"offer": m.offer,
			"done": func(t *rapid.T) {
				id := rapid.Uint64Range(1, m.nextID+1).Draw(t, "id")
				if _, ok := m.running[id]; ok {
					delete(m.running, id)
					m.apply(t, m.c.Done(m.now, id, time.Duration(rapid.IntRange(0, 50).Draw(t, "served"))*time.Millisecond))
				}
			},
			"cancel": func(t *rapid.T) {
				id := rapid.Uint64Range(1, m.nextID+1).Draw(t, "id")
				_, want := m.queued[id]
				delete(m.queued, id)
				got, actions := m.c.Cancel(m.now, id)
				if got != want {
					t.Fatalf("Cancel of request %d = %t, want %t", id, got, want)
				}
				m.apply(t, actions)
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
				m.apply(t, m.c.Tick(m.now))
				for id, r := range m.queued {
					if !m.now.Before(r.Deadline) {
						t.Fatalf("request %d is still queued after its deadline, want it refused", id)
					}
				}
			},
			"": func(t *rapid.T) { m.check(t, c) },
		})
	})
}
