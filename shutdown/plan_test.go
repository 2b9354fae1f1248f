package shutdown

import (
	"errors"
	"testing"
	"time"
)

// Guards against a stop that cancels requests although time is left, and against one that
// takes longer than it may.
func TestPlanUsesTheTotalTime(t *testing.T) {
	for name, l := range map[string]Limits{
		"platform": {Accept: 2200 * time.Millisecond, Drain: 2850 * time.Millisecond, Total: 6 * time.Second},
		"default":  {Drain: 10 * time.Second},
		"short":    {Drain: 100 * time.Millisecond, Total: 600 * time.Millisecond},
	} {
		if err := l.Validate(); err != nil {
			t.Errorf("%s: Validate: error %v, want none", name, err)
		}
		p := New(l)
		if p.Cancel != l.Accept+l.Drain || p.Announce > p.Refuse || p.Refuse > p.Close || p.Close > p.Cancel || p.Cancel >= p.Exit {
			t.Errorf("%s: plan %+v, want refuse <= close <= cancel < exit and cancel at %v", name, p, l.Accept+l.Drain)
		}
		if l.Total > 0 && p.Exit >= l.Total {
			t.Errorf("%s: exit at %v, want before %v", name, p.Exit, l.Total)
		}
	}
}

// Guards against a backend server that gets no requests although its node accepts requests of
// callers for a while, and against connections that are closed before the senders know.
func TestDepartureIsAnnouncedNearTheRefusal(t *testing.T) {
	p := New(Limits{Accept: 2200 * time.Millisecond, Drain: 2850 * time.Millisecond, Total: 6 * time.Second})
	if p.Announce < p.Refuse-time.Second || p.Close < p.Announce+noticeTime {
		t.Errorf("plan %+v, want the announcement at most 1 s before the refusal and %v before the closing", p, noticeTime)
	}
	if p := New(Limits{Drain: 10 * time.Second}); p.Announce != 0 {
		t.Errorf("without a time to accept: announced at %v, want at once", p.Announce)
	}
}

// Guards against a stop that waits for the votes of a control instance until no time is left to
// transfer the leadership, and against one that hardly waits although it has the time.
func TestVotesAreHandedOverBeforeTheExit(t *testing.T) {
	p := New(Limits{Drain: 2850 * time.Millisecond, Total: 6 * time.Second})
	if p.HandOver < 4*time.Second || p.HandOver > p.Exit-handOverReserve {
		t.Errorf("plan %+v, want the wait for votes to end after 4 s or later, and %v before the exit", p, handOverReserve)
	}
	if p := New(Limits{Drain: 100 * time.Millisecond, Total: 600 * time.Millisecond}); p.HandOver < p.Close || p.HandOver > p.Exit {
		t.Errorf("short stop: plan %+v, want the wait for votes to end between the closing and the exit", p)
	}
}

// Guards against limits that leave no time to close connections and to exit.
func TestLimitsWithoutTimeToCloseAreRefused(t *testing.T) {
	err := Limits{Accept: time.Second, Drain: 4 * time.Second, Total: 5 * time.Second}.Validate()
	if !errors.Is(err, ErrTooShort) {
		t.Errorf("Validate: error %v, want ErrTooShort", err)
	}
}

// Guards against steps that together outlast the exit time although each keeps its own
// time, as when no peer answers and every step runs to its end.
func TestStepsEndBeforeTheExit(t *testing.T) {
	for _, accept := range []time.Duration{0, 2200 * time.Millisecond} {
		p := New(Limits{Accept: accept, Drain: 5050*time.Millisecond - accept, Total: 6 * time.Second})
		for _, begin := range []time.Duration{p.Close, p.Cancel, p.Cancel + 300*time.Millisecond, p.Exit} {
			elapsed := begin
			for step := StepCancel; step <= StepEndpoint; step++ {
				elapsed += p.StepTime(elapsed, step)
			}
			if elapsed > p.Exit {
				t.Errorf("closing from %v ends at %v when every step uses its time, want at most %v", begin, elapsed, p.Exit)
			}
		}
	}
}
