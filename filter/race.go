package filter

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

// race lets only one attempt of a request answer. The first attempt that begins an answer
// wins; the others are cancelled and their bytes are discarded.
type race struct {
	answer Answer

	mu      sync.Mutex
	winner  uint32                             // number of the attempt that has begun to answer; zero: none
	running map[uint32]context.CancelCauseFunc // cancels each attempt, by its number

	onlyServer bool // the last attempt other than a hedge was sent to the only server that accepted work

	holdsFailures bool          // answers that state a failure are held while another attempt may succeed
	failure       *failedAnswer // the first answer that was held; nil: none
}

func (r *race) add(number uint32, cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running == nil {
		r.running = make(map[uint32]context.CancelCauseFunc, 1)
	}
	r.running[number] = cancel
	if r.winner != 0 {
		cancel(ErrOtherAttemptAnswered)
	}
}

// undecided reports whether no attempt has begun to answer yet.
func (r *race) undecided() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner == 0
}

// targetWasOnlyServer reports whether the last attempt, not counting hedges, was sent to the
// only server that accepted work.
func (r *race) targetWasOnlyServer() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.onlyServer
}

func (r *race) win(number uint32) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner != 0 {
		return false
	}
	r.winner = number
	for n, cancel := range r.running {
		if n != number {
			cancel(ErrOtherAttemptAnswered)
		}
	}
	return true
}

// raceAnswer is the Answer of one attempt of a race.
type raceAnswer struct {
	race    *race
	number  uint32
	won     bool
	failure *failedAnswer // set if the answer is held

	bodyBytes int64 // body bytes that were passed on
}

// Informational holds the lock while it passes on the answer, so that it cannot overlap the
// answer of another attempt.
func (l *raceAnswer) Informational(status int, h http.Header) {
	l.race.mu.Lock()
	defer l.race.mu.Unlock()
	if l.race.winner == 0 {
		l.race.answer.Informational(status, h)
	}
}

func (l *raceAnswer) Begin(head Head) error {
	if l.race.holdsFailures && isFailure(head) {
		l.failure = &failedAnswer{head: head}
		return nil
	}
	if !l.race.win(l.number) {
		return ErrOtherAttemptAnswered
	}
	l.won = true
	return l.race.answer.Begin(head)
}

func (l *raceAnswer) Write(p []byte) (int, error) {
	if l.failure != nil {
		return l.failure.body.Write(p)
	}
	if !l.won {
		return 0, ErrOtherAttemptAnswered
	}
	l.bodyBytes += int64(len(p))
	return l.race.answer.Write(p)
}

func (l *raceAnswer) Flush() error {
	if l.failure != nil {
		return nil
	}
	if !l.won {
		return ErrOtherAttemptAnswered
	}
	return l.race.answer.Flush()
}

func (l *raceAnswer) End(trailer http.Header) error {
	if l.failure != nil {
		l.race.hold(l.failure)
		return nil
	}
	if !l.won {
		return ErrOtherAttemptAnswered
	}
	return l.race.answer.End(trailer)
}

var errNoHedge = errors.New("no hedge was sent")

// hedge is a second attempt that starts after a delay unless it is stopped before.
type hedge struct {
	timer *time.Timer
	done  chan struct{}
	err   error
}

func newHedge(delay time.Duration, run func() error) *hedge {
	h := &hedge{done: make(chan struct{})}
	h.timer = time.AfterFunc(delay, func() {
		defer close(h.done)
		h.err = run()
	})
	return h
}

// stop prevents the hedge from starting. It returns false if the hedge has already started.
func (h *hedge) stop() bool { return h.timer.Stop() }

// wait blocks until a hedge that has started ends, and returns its error.
func (h *hedge) wait() error {
	<-h.done
	return h.err
}
