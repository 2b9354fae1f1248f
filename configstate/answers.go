package configstate

import "time"

// Bounds of the answers that are stored for resent changes. The oldest answers are
// dropped first.
const (
	AnswerRetention = 24 * time.Hour
	MaxAnswers      = 8192
	maxAnswerBytes  = 4 << 20
	// storedAnswerBytes is the size counted for the fixed fields of a stored answer.
	storedAnswerBytes = 256
	// answerExpiriesPerChange limits how many answers one change expires.
	answerExpiriesPerChange = 16
)

// storedAnswer is the first answer to a change id, without its document.
type storedAnswer struct {
	ID       string `cbor:"1,keyasint"`
	Identity Hash   `cbor:"2,keyasint"` // hash by which a resent copy of the change is recognized
	At       int64  `cbor:"3,keyasint"` // timestamp of the log entry, in Unix nanoseconds
	Answer   Answer `cbor:"4,keyasint"`
}

func (k *storedAnswer) cost() int64 {
	return storedAnswerBytes + int64(len(k.ID)+len(k.Answer.Message))
}

// answerCache stores the first answer to each change id, so that a resent change gets
// the same answer. The queue is ordered by the time of the answers.
type answerCache struct {
	queue []*storedAnswer
	byID  map[string]*storedAnswer
	bytes int64
}

func newAnswerCache() answerCache { return answerCache{byID: map[string]*storedAnswer{}} }

func (a *answerCache) add(k *storedAnswer) {
	k.Answer.Document = nil
	a.queue = append(a.queue, k)
	a.byID[k.ID] = k
	a.bytes += k.cost()
	for len(a.queue) > MaxAnswers || a.bytes > maxAnswerBytes {
		a.dropOldest()
	}
}

func (a *answerCache) dropOldest() {
	k := a.queue[0]
	a.queue[0] = nil
	a.queue = a.queue[1:]
	delete(a.byID, k.ID)
	a.bytes -= k.cost()
}

// expire drops answers older than AnswerRetention, up to answerExpiriesPerChange.
func (a *answerCache) expire(now int64) {
	for range answerExpiriesPerChange {
		if len(a.queue) == 0 || now-a.queue[0].At < int64(AnswerRetention) {
			return
		}
		a.dropOldest()
	}
}

// identity returns a hash that distinguishes a resent change from a different change
// with the same id. It leaves out the origin, the expected version, the reason, the
// submission time and the orders known to the receiving node, because a change may be resent
// from another address, later, to another node, with a newly read version or without its reason.
func (c Change) identity() Hash {
	c.ID, c.Origin, c.ExpectedVersion, c.Reason, c.Submitted, c.KnownOrders = "", "", 0, "", 0, nil
	return HashOf(mustEncode(c))
}
