package filter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bramleymill/class"
	"bramleymill/explain"
	"bramleymill/fleet"
	"bramleymill/pick"
	"bramleymill/retry"
)

// Handler serves a call. A nil error means that a complete answer was given to
// Call.Answer. After an error the answer is not complete: if it has begun, the
// connection of the receiver has to be aborted.
type Handler interface {
	Serve(c *Call) error
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(c *Call) error

// Serve calls f.
func (f HandlerFunc) Serve(c *Call) error { return f(c) }

// Origin tells on which listener a call arrived.
type Origin uint8

// The origins of a call.
const (
	FromCaller Origin = iota
	FromService
	FromPeer
)

// Parent is the request in flight that proved a call to be internal. It is nil
// for a call that was proved by the service token of the node.
type Parent struct {
	RequestID string
	Deadline  time.Time
	Depth     uint8
	Attempts  *retry.Attempts // shared by the call tree; nil: calls have attempts of their own
}

// Call is one request on its way through a chain. Every attempt of the entry
// node works on its own copy.
type Call struct {
	Ctx      context.Context // ends at the deadline and when the receiver has gone
	Request  *http.Request   // as received; never changed
	Answer   Answer
	Origin   Origin
	Parent   *Parent
	Class    *class.Resolved // nil at the server node if its configuration lacks the class
	Started  time.Time
	Deadline time.Time
	Meta     fleet.CallMeta
	Key      string // idempotency key of a non-idempotent class
	Body     *Body
	BodyHash [32]byte        // of method, path and body; set with a key
	Attempts *retry.Attempts // further attempts of the call tree
	Record   *explain.Record

	// BeforeSend is called between the choice of the target and the sending of
	// an attempt. An error prevents the sending.
	BeforeSend func(c *Call) error

	history        *attemptHistory
	refusals       int                // attempts of a class that is configured as an item that reached no backend server
	lastReroute    bool               // no attempt follows one that reaches no backend server
	attemptedNodes pick.ExcludedNodes // set with last: the targets before
	claimPasses    uint32             // times that the call went through the claims filter before
	AttemptState
}

// AttemptState is the part of a Call that belongs to one attempt.
type AttemptState struct {
	Target     fleet.Server
	Local      bool      // the target is the own node
	SentAt     time.Time // when the attempt was handed to its target
	HeadAt     time.Time // when the head of its answer arrived; zero without an answer
	Status     int
	Load       *fleet.LoadReport // came with the answer or refusal
	Candidates []explain.Candidate
	Admitted   bool // the server chain holds a slot for the call

	// BeforeEnd is called between the last byte of the backend server's answer
	// and the end of the answer. It may be nil.
	BeforeEnd func()
}

// attemptHistory collects the targets of all attempts of a call.
type attemptHistory struct {
	mu         sync.Mutex
	lastNumber uint32 // number of the newest attempt
	targets    pick.ExcludedNodes
}

func (t *attemptHistory) nextNumber() uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNumber++
	return t.lastNumber
}

func (t *attemptHistory) addTarget(node fleet.NodeID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.targets.Add(node)
}

// clearTargets allows all targets again. The numbers of the attempts go on, so that a
// server node does not take a new attempt for a duplicate.
func (t *attemptHistory) clearTargets() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.targets = pick.ExcludedNodes{}
}

// prepareLastReroute lets the next attempt go to the best of the servers that were asked,
// which may let it wait: they are busy, and how busy has just been told.
func (c *Call) prepareLastReroute() {
	c.lastReroute = true
	c.attemptedNodes = c.history.excluded()
	c.history.clearTargets()
}

func (t *attemptHistory) excluded() pick.ExcludedNodes {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.targets
}

// attempt returns a copy of c for one attempt with its own context and receiver.
func (c *Call) attempt(ctx context.Context, answer Answer) *Call {
	a := *c
	a.Ctx, a.Answer, a.AttemptState = ctx, answer, AttemptState{}
	a.Meta.Attempt = c.history.nextNumber()
	return &a
}

// AtMostOnce reports whether the call may run at most once.
func (c *Call) AtMostOnce() bool { return !c.Meta.Idempotent }
