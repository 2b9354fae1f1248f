package configstate

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramleymill/class"
	"bramleymill/itemset"
)

// View is the current configuration as other packages read it. It is immutable.
type View struct {
	Version  uint64
	Document []byte     // as the operator wrote it; nil before the first document
	Set      *class.Set // class set of Document; nil before the first document
	Orders   *Orders
	Items    *itemset.Set // empty before the first item; nil only in a View that no Machine made
}

// Customers returns the number of customers in force. The items take precedence over the
// document.
func (v *View) Customers() int {
	switch {
	case v.Items != nil && v.Items.Revision > 0:
		return v.Items.Customers()
	case v.Set != nil:
		return v.Set.Customers().Len()
	}
	return 0
}

// Machine is the replicated state machine of the configuration. Its methods are safe
// for concurrent use, and View takes no lock. Apply and Restore are called by one
// goroutine in log order.
type Machine struct {
	view     atomic.Pointer[View]
	onChange func(*View)

	mu      sync.RWMutex
	docs    documents
	orders  *Orders
	trail   auditTrail
	answers answerCache
	now     int64 // latest timestamp of a log entry, in Unix nanoseconds
}

// New returns an empty Machine. Apply and Restore call onChange, which may be nil,
// with each new View. They hold the lock of the Machine meanwhile, so onChange must
// call no method of the Machine other than View.
func New(onChange func(*View)) *Machine {
	if onChange == nil {
		onChange = func(*View) {}
	}
	m := &Machine{onChange: onChange}
	m.reset()
	m.view.Store(&View{Orders: m.orders, Items: itemset.Empty()})
	return m
}

func (m *Machine) reset() {
	m.docs, m.orders, m.trail, m.answers, m.now = documents{}, &Orders{}, auditTrail{}, newAnswerCache(), 0
}

// View returns the current state. It is never nil.
func (m *Machine) View() *View { return m.view.Load() }

// Apply executes the change in a log entry with the timestamp at and returns the
// encoded Answer.
func (m *Machine) Apply(_ uint64, at time.Time, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = max(m.now, at.UnixNano())
	m.answers.expire(m.now)
	c, err := decodeChange(command)
	if err != nil {
		return mustEncode(m.newAnswer(Invalid, err.Error()))
	}
	return mustEncode(m.applyChange(&c))
}

func (m *Machine) newAnswer(o Outcome, message string) Answer {
	return Answer{Outcome: o, Version: m.docs.current().Version, OrdersVersion: m.orders.Version,
		ItemsRevision: m.View().Items.Revision, Message: truncate(message, maxMessageBytes)}
}

func (m *Machine) applyChange(c *Change) Answer {
	if k, ok := m.answers.byID[c.ID]; ok && c.ID != "" {
		if k.Identity == c.identity() {
			return m.repeatedAnswer(k)
		}
		return m.record(c, m.newAnswer(IDReused, "the change id was used for a different change; leave it out to get a new one"))
	}
	before := m.newEntry(c)
	a := m.decide(c)
	a = m.recordEntry(before, a)
	if c.ID != "" && len(c.ID) <= MaxIDBytes {
		m.answers.add(&storedAnswer{ID: c.ID, Identity: c.identity(), At: m.now, Answer: a})
	}
	if a.Outcome == Conflict {
		a.Document = m.docs.current().Document
	}
	return a
}

// repeatedAnswer returns the first answer to a resent change again. The document of a
// conflict is not stored with the answer and is looked up.
func (m *Machine) repeatedAnswer(k *storedAnswer) Answer {
	a := k.Answer
	a.Repeated = true
	if a.Outcome == Conflict {
		v, _ := m.docs.get(a.Version)
		a.Document = v.Document
	}
	return a
}

// decide executes c and returns the answer without the sequence number of the audit
// entry.
func (m *Machine) decide(c *Change) Answer {
	if err := c.validate(); err != nil {
		return m.newAnswer(Invalid, err.Error())
	}
	switch c.Action {
	case ApplyDocument, Rollback:
	case MergeItems:
		return m.mergeItems(c)
	default:
		return m.applyOrder(c)
	}
	if current := m.docs.current().Version; c.ExpectedVersion != current {
		return m.newAnswer(Conflict, fmt.Sprintf("the change expects version %d, but version %d is in force; check the difference and send the change again", c.ExpectedVersion, current))
	}
	document, err := m.proposedDocument(c)
	if err != nil {
		return m.newAnswer(Invalid, err.Error())
	}
	parsed, err := class.Parse(document)
	if err != nil {
		return m.newAnswer(Invalid, err.Error())
	}
	v := Version{Version: c.ExpectedVersion + 1, Time: m.submittedAt(c), Operator: c.Operator, ChangeID: c.ID, Document: document, Hash: HashOf(document)}
	m.docs.add(v)
	m.publish(&View{Version: v.Version, Document: document, Set: class.NewSet(v.Version, parsed), Orders: m.orders, Items: m.View().Items})
	return m.newAnswer(Accepted, "")
}

// proposedDocument returns the document that c would bring into force.
func (m *Machine) proposedDocument(c *Change) ([]byte, error) {
	if c.Action == ApplyDocument {
		return c.Document, nil
	}
	v, ok := m.docs.get(c.Version)
	if !ok {
		return nil, fmt.Errorf("version %d is not kept; use a version from %d to %d", c.Version, m.oldestVersion(), m.docs.current().Version)
	}
	return v.Document, nil
}

func (m *Machine) oldestVersion() uint64 {
	if len(m.docs.list) == 0 {
		return 0
	}
	return m.docs.list[0].Version.Version
}

func (m *Machine) applyOrder(c *Change) Answer {
	next, message, err := m.orders.apply(c, m.logTime())
	if errors.As(err, &errOutdated{}) {
		return m.newAnswer(Outdated, err.Error())
	}
	if err != nil {
		return m.newAnswer(Invalid, err.Error())
	}
	if next != m.orders {
		m.orders = next
		old := m.view.Load()
		m.publish(&View{Version: old.Version, Document: old.Document, Set: old.Set, Orders: next, Items: old.Items})
	}
	return m.newAnswer(Accepted, message)
}

func (m *Machine) mergeItems(c *Change) Answer {
	old := m.view.Load()
	next, changed, err := old.Items.Merge(c.Items)
	if err != nil {
		return m.newAnswer(Invalid, err.Error())
	}
	if changed > 0 {
		m.publish(&View{Version: old.Version, Document: old.Document, Set: old.Set, Orders: old.Orders, Items: next})
	}
	return m.newAnswer(Accepted, fmt.Sprintf("%d of %d items changed", changed, len(c.Items)))
}

func (m *Machine) publish(v *View) {
	m.view.Store(v)
	m.onChange(v)
}

func (m *Machine) logTime() time.Time { return time.Unix(0, m.now).UTC() }

// submittedAt returns when the operator submitted c, or the time of the log entry if that is
// not known.
func (m *Machine) submittedAt(c *Change) time.Time {
	if c.Submitted != 0 {
		return time.Unix(0, c.Submitted).UTC()
	}
	return m.logTime()
}

// validate returns an error if the change exceeds a bound or has an unknown action.
func (c *Change) validate() error {
	switch {
	case c.ID == "" || len(c.ID) > MaxIDBytes:
		return fmt.Errorf("the change id has %d bytes; use 1 to %d", len(c.ID), MaxIDBytes)
	case c.Operator == "" || len(c.Operator) > MaxNameBytes:
		return fmt.Errorf("the operator's name has %d bytes; use 1 to %d", len(c.Operator), MaxNameBytes)
	case len(c.Reason) > MaxReasonBytes:
		return fmt.Errorf("the reason has %d bytes; use at most %d", len(c.Reason), MaxReasonBytes)
	case len(c.Document) > MaxDocumentBytes:
		return fmt.Errorf("the document has %d bytes; use at most %d", len(c.Document), MaxDocumentBytes)
	}
	switch c.Action {
	case ApplyDocument, Rollback, Drain, Undrain, ReleaseSuspect, Evacuate, Return, MergeItems:
		return nil
	}
	return fmt.Errorf("unknown action %q", truncate(string(c.Action), MaxNameBytes))
}

// newEntry returns the audit entry of c with the state before the change filled in.
func (m *Machine) newEntry(c *Change) Entry {
	current := m.docs.current()
	e := Entry{
		Time:     m.submittedAt(c),
		ChangeID: truncate(c.ID, MaxIDBytes),
		Action:   Action(truncate(string(c.Action), MaxNameBytes)),
		Operator: truncate(c.Operator, MaxNameBytes),
		Origin:   truncate(c.Origin, MaxNameBytes),
		Reason:   truncate(c.Reason, MaxReasonBytes),
		Expected: c.ExpectedVersion,
		Before:   current.Version, BeforeHash: current.Hash,
		OrdersBefore: m.orders.Version,
		Subject:      c.subject(),
	}
	if len(c.Document) > 0 {
		e.ProposedHash = HashOf(c.Document)
	}
	return e
}

// recordEntry completes e with the answer and the state after the change, and appends
// it to the audit trail.
func (m *Machine) recordEntry(e Entry, a Answer) Answer {
	current := m.docs.current()
	e.Outcome, e.Message = a.Outcome, a.Message
	e.After, e.AfterHash = current.Version, current.Hash
	e.OrdersAfter = m.orders.Version
	a.Sequence = m.trail.append(e)
	return a
}

func (m *Machine) record(c *Change, a Answer) Answer { return m.recordEntry(m.newEntry(c), a) }

// truncate shortens s to at most limit bytes and drops invalid UTF-8, which CBOR text must
// not contain.
func truncate(s string, limit int) string {
	return strings.ToValidUTF8(s[:min(len(s), limit)], "")
}
