package configstate

import "time"

// Bounds of the answers kept for resent changes. The oldest are dropped first.
const (
	AnswerRetention = 24 * time.Hour
	MaxAnswers      = 8192
	maxAnswerBytes  = 4 << 20
	// storedAnswerBytes is counted for the fixed fields of a kept answer.
	storedAnswerBytes = 256
	// answerExpiriesPerChange bounds the expiry work of one change.
	answerExpiriesPerChange = 16
)

// storedAnswer is the first answer to a change id, without the document.
type storedAnswer struct {
	ID       string `cbor:"1,keyasint"`
	Identity Hash   `cbor:"2,keyasint"`
	At       int64  `cbor:"3,keyasint"` // Unix nanoseconds of stamped time
	Answer   Answer `cbor:"4,keyasint"`
}

func (k *storedAnswer) cost() int64 {
	return storedAnswerBytes + int64(len(k.ID)+len(k.Answer.Message))
}

// answerCache holds the first answerCache in the order in which they were given.
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

// expire drops answers older than AnswerRetention, up to the bound.
func (a *answerCache) expire(now int64) {
	for range answerExpiriesPerChange {
		if len(a.queue) == 0 || now-a.queue[0].At < int64(AnswerRetention) {
			return
		}
		a.dropOldest()
	}
}

// identity hashes what distinguishes one change from another under the same id.
// The origin, the expected version, the reason and the time are left out: a change may be
// sent again through another address, after the version was read again, or
// without its comment.
func (c Change) identity() Hash {
	c.ID, c.Origin, c.Expected, c.Reason, c.Submitted = "", "", 0, "", 0
	return HashOf(mustEncode(c))
}
