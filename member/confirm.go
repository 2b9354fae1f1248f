package member

import (
	"cmp"
	"math"
	"time"
)

// configuration is the document in force at this node with the newest confirmation
// that no later document has been accepted.
type configuration struct {
	version     uint64
	document    []byte
	pieces      *pieces // of document; nil: not split yet
	earlier     *pieces // of the newest earlier document that was split
	confirmed   bool
	confirmedAt time.Time // at this time no later version had been accepted
}

// unconfirmedAge is the confirmation age of a node without a confirmation.
const unconfirmedAge = time.Duration(math.MaxInt64)

func (c *configuration) age(now time.Time) time.Duration {
	if !c.confirmed {
		return unconfirmedAge
	}
	return now.Sub(c.confirmedAt)
}

// split returns the pieces of the document.
func (c *configuration) split() *pieces {
	if c.pieces == nil {
		c.pieces = split(c.document)
		c.pieces.take(c.earlier)
		c.earlier = nil
	}
	return c.pieces
}

// confirm records a confirmation that version was the newest accepted one at the given
// time. It is valid for a node that has this version or a later one.
func (c *configuration) confirm(version uint64, at time.Time) {
	if version > c.version || (c.confirmed && !at.After(c.confirmedAt)) {
		return
	}
	c.confirmed, c.confirmedAt = true, at
}

// adopt puts a later document in force. The first document of a process needs a
// confirmation younger than ConfirmationBound, because the sender may have been cut
// off for a long time. Waiting for it interrupts nothing, because a process without a
// configuration serves no requests.
func (k *core) adopt(version uint64, document []byte, age time.Duration, confirmed bool) {
	if version <= k.conf.version {
		return
	}
	if k.conf.version == 0 && (!confirmed || age >= ConfirmationBound) {
		return
	}
	k.conf.version, k.conf.document = version, document
	k.conf.earlier, k.conf.pieces = cmp.Or(k.conf.pieces, k.conf.earlier), nil
	k.events = append(k.events, configEvent{version, document})
	k.notifyAllChildren()
}

// readSource adopts the accepted configuration from the source of a control
// instance. now must have been read before the call, so that the age of the
// confirmation is not underestimated.
func (k *core) readSource(now time.Time) {
	if k.source == nil {
		return
	}
	version, document, age, confirmed := k.source.Accepted()
	if len(document) > MaxDocumentBytes {
		k.stats.DocumentsTooLarge++
		return
	}
	k.adopt(version, document, age, confirmed)
	if confirmed {
		k.conf.confirm(version, now.Add(-age))
	}
}

// applyConfig applies the document and the confirmation in the reply to a
// heartbeat. Their ages count from sent, when the heartbeat was sent.
func (k *core) applyConfig(reply *heartbeatReply, sent, now time.Time) {
	reply.Age = max(reply.Age, 0)
	if reply.Document != nil {
		k.adopt(reply.Version, reply.Document, now.Sub(sent)+reply.Age, reply.Confirmed)
	}
	k.noticeDocument(reply)
	if reply.Confirmed {
		k.conf.confirm(reply.Version, sent.Add(-reply.Age))
	}
}

func (k *core) addConfirmation(reply *heartbeatReply, now time.Time) {
	reply.Version = k.conf.version
	if k.conf.confirmed {
		reply.Confirmed, reply.Age = true, k.conf.age(now)
	}
}
