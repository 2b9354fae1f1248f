package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleymill/fleet"
)

// phase is the stored phase of a record.
type phase uint8

const (
	running   phase = iota + 1 // until the deadline plus grace
	lapsed                     // running when the deadline plus grace passed
	answered                   // an answer is stored
	ambiguous                  // the owner does not know whether the attempt ran
	released                   // every attempt was refused; the key is free
	locked                     // lock held until the end of the lease
)

// digest identifies a key, an owner or a body. 128 bits of SHA-256 keep the
// record small; a collision has a probability below 1e-27 for 200,000 claims.
type digest [16]byte

// The prefixes keep the name spaces of claims and locks apart.
const (
	claimPrefix = "claim\x00"
	lockPrefix  = "lock\x00"
)

func digestOf(prefix, s string) digest {
	var buf [len(lockPrefix) + len(claimPrefix) + MaxOwnerBytes]byte // longer strings are copied to the heap
	sum := sha256.Sum256(append(append(buf[:0], prefix...), s...))
	return digest(sum[:len(digest{})])
}

func ownerDigest(owner string) digest { return digestOf("owner\x00", owner) }

// record is one claim or lock. Its size is 96 bytes, a size class of the allocator.
type record struct {
	key    digest
	owner  digest
	fingerprint   digest // fingerprint of the request
	id     uint64 // index of the log entry that created the record
	phaseEnd   int64  // end of the phase in Unix nanoseconds of stamped time
	answer string // encoded Answer
	// target is a hash of the target of the current attempt. It distinguishes a
	// repeated request of the owner from a different one.
	target   uint32
	heapIndex int32  // index in the expiry heap
	tableIndex    uint32 // in the table
	attempt  uint16
	phase    phase
}

// claimID names the record in messages. The key digest finds the record; the
// log index tells successive claims on one key apart.
func (r *record) claimID() string {
	var buf [2*len(r.key) + 1 + maxIDDigits]byte
	b := append(hex.AppendEncode(buf[:0], r.key[:]), '-')
	return string(strconv.AppendUint(b, r.id, 36))
}

// maxIDDigits is the length of the largest log index to the base of 36.
const maxIDDigits = 13

func parseClaimID(s string) (key digest, id uint64, ok bool) {
	head, tail, found := strings.Cut(s, "-")
	if !found || len(head) != hex.EncodedLen(len(key)) {
		return key, 0, false
	}
	if _, err := hex.Decode(key[:], []byte(head)); err != nil {
		return key, 0, false
	}
	id, err := strconv.ParseUint(tail, 36, 64)
	return key, id, err == nil
}

func targetHash(n fleet.NodeID, i fleet.Incarnation) uint32 {
	return uint32(xxhash.Sum64String(string(n) + "\x00" + strconv.FormatUint(uint64(i), 36)))
}

// cost is the number of bytes that r counts against Limits.MaxBytes. The room
// for a truncated answer is part of recordBytes, so that a completion can be
// recorded in a full store.
func (r *record) cost() int64 {
	return recordBytes + max(0, int64(len(r.answer))-truncatedAnswerBytes)
}

// advancePhase moves r to the phase that it has at the time now. It reports whether
// the record still exists.
func (r *record) advancePhase(now int64, retention time.Duration) bool {
	if r.phase == running && now >= r.phaseEnd {
		r.phase = lapsed
		r.phaseEnd += int64(retention)
	}
	return r.phase == running || now < r.phaseEnd
}
