package filter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bramleymill/class"
	"bramleymill/customer"
	"bramleymill/explain"
	"bramleymill/fleet"
	"bramleymill/pick"
	"bramleymill/retry"
)

// Handler serves a call. If Serve returns nil, Call.Answer has received a complete
// answer. If it returns an error, the answer is not complete; if the answer has begun,
// the connection to the receiver of the answer must be aborted.
type Handler interface {
	Serve(c *Call) error
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(c *Call) error

// Serve calls f.
func (f HandlerFunc) Serve(c *Call) error { return f(c) }

// Origin states on which listener a call arrived.
type Origin uint8

// The origins of a call.
const (
	FromCaller  Origin = iota // the listener for callers
	FromService               // the listener for the backend server of this node
	FromPeer                  // the listener for other nodes
)

// Parent describes the request in flight for which the backend server of this node made a
// nested call. Such a call is internal. Call.Parent is nil for a call from outside, and for a
// call that only the service token of the node authenticates as internal.
type Parent struct {
	RequestID string
	Deadline  time.Time
	Depth     uint8
	Repeated  bool            // see fleet.CallMeta
	Customer  string          // see fleet.CallMeta
	Attempts  *retry.Attempts // shared by the parent and its nested calls; nil: each nested call has a separate count
}

// Call is one request on its way through a chain. Each attempt of the entry node works
// on its own copy.
type Call struct {
	Ctx      context.Context // ends at the deadline or when the receiver of the answer disconnects
	Request  *http.Request   // as received; never changed
	Answer   Answer
	Origin   Origin
	Parent   *Parent
	Config   *class.Set         // the configuration by which the request was classified; set at the entry node
	Class    *class.Resolved    // nil at the server node if its configuration lacks the class
	Customer *customer.Resolved // set at the entry node; nil: the request belongs to no customer
	// LooksNested states that the request names a parent that is not in flight at this node.
	LooksNested bool

	Started  time.Time
	Deadline time.Time
	Meta     fleet.CallMeta
	Key      string // idempotency key of a non-idempotent class
	Body     *Body
	BodyHash [32]byte        // see hashRequest; set with a key
	Attempts *retry.Attempts // further attempts that the request and its nested calls may make
	Record   *explain.Record

	// BeforeSend is called after the target was selected and before the attempt is sent.
	// If it returns an error, the attempt is not sent.
	BeforeSend func(c *Call) error

	dryRun         bool // nothing is sent, see Planner
	history        *attemptHistory
	refusals       int          // attempts that reached no backend server; counted for item classes only
	isLastReroute  bool         // this attempt is the last reroute: if it reaches no backend server, none follows
	attemptedNodes pick.NodeSet // set if isLastReroute: the targets of the earlier attempts
	claimPasses    uint32       // number of earlier passes through the claims filter
	AttemptState
}

// AttemptState is the part of a Call that belongs to one attempt.
type AttemptState struct {
	Target     fleet.Server        // the server selected for the attempt
	Local      bool                // the target is this node
	SentAt     time.Time           // when the attempt was passed to its target
	HeadAt     time.Time           // when the head of the answer arrived; zero if there was no answer
	Status     int                 // status of the answer; zero if there was no answer
	Load       *fleet.LoadReport   // load report that came with the answer or refusal
	Refusal    error               // with which a server node answers; nil before that and without one
	Candidates []explain.Candidate // servers that could be selected, for the record of the request
	Admitted   bool                // the call holds a slot of the backend server
	LeftZone   pick.Reason         // why the target is in another zone than this node

	// BeforeEnd is called after the last byte of the backend server's answer and before
	// Answer.End. It may be nil.
	BeforeEnd func()
}

// attemptHistory counts the attempts of a call and records their targets.
type attemptHistory struct {
	mu         sync.Mutex
	lastNumber uint32       // number of the newest attempt
	targets    pick.NodeSet // servers that the next attempt must not select
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

// clearTargets makes all servers eligible again. The numbering of the attempts
// continues, so that a server node does not mistake a new attempt for a duplicate.
func (t *attemptHistory) clearTargets() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.targets = pick.NodeSet{}
}

// prepareLastReroute makes the next attempt the last reroute. It goes to the best of the
// servers that refused the call, because each of them has just reported its load. The
// attempt may wait in the queue of that server.
func (c *Call) prepareLastReroute() {
	c.isLastReroute = true
	c.attemptedNodes = c.history.excludedNodes()
	c.history.clearTargets()
}

func (t *attemptHistory) excludedNodes() pick.NodeSet {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.targets
}

// attempt returns a copy of c for one attempt with its own context and answer.
func (c *Call) attempt(ctx context.Context, answer Answer) *Call {
	a := *c
	a.Ctx, a.Answer, a.AttemptState = ctx, answer, AttemptState{}
	a.Meta.Attempt = c.history.nextNumber()
	return &a
}

// AtMostOnce reports whether the call may run at most once.
func (c *Call) AtMostOnce() bool { return !c.Meta.Idempotent }
