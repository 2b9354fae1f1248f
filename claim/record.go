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

// phase is the stored state of a claim or lock.
type phase uint8

const (
	running   phase = iota + 1 // from Begin until the deadline plus Grace
	lapsed                     // was still running when the deadline plus Grace passed
	answered                   // an answer is stored
	ambiguous                  // finished by an owner that does not know whether the attempt ran
	released                   // no attempt ran; the key is free
	locked                     // lock that is held until its lease ends
)

// digest identifies a key, an owner or a request. It has 128 bits of SHA-256 to keep
// the record small; the probability of a collision among 200,000 claims is below 1e-27.
type digest [16]byte

// Prefixes that put the keys of claims and locks into separate namespaces.
const (
	claimPrefix = "claim\x00"
	lockPrefix  = "lock\x00"
)

func digestOf(prefix, s string) digest {
	var buf [len(lockPrefix) + len(claimPrefix) + MaxOwnerBytes]byte // append allocates when s is longer
	sum := sha256.Sum256(append(append(buf[:0], prefix...), s...))
	return digest(sum[:len(digest{})])
}

func ownerDigest(owner string) digest { return digestOf("owner\x00", owner) }

// record is one claim or lock. Its size of 96 bytes is a size class of the Go allocator.
type record struct {
	key         digest
	owner       digest
	fingerprint digest // of the request: method, path and body
	id          uint64 // index of the log entry that created the record
	phaseEnd    int64  // when the phase ends, in Unix nanoseconds; compared with log entry timestamps
	answer      string // CBOR encoding of an Answer
	// target is a hash of the node and incarnation of the current attempt. It
	// distinguishes a resent request of the owner from a different request.
	target     uint32
	heapIndex  int32  // position in expiryHeap.items
	tableIndex uint32 // index in table.chunks
	attempt    uint16
	phase      phase
}

// claimID returns the id of the record in messages. The key digest locates the
// record; the log index distinguishes successive claims on one key.
func (r *record) claimID() string {
	var buf [2*len(r.key) + 1 + maxIDDigits]byte
	b := append(hex.AppendEncode(buf[:0], r.key[:]), '-')
	return string(strconv.AppendUint(b, r.id, 36))
}

// maxIDDigits is the number of digits of the largest log index in base 36.
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

// cost returns the number of bytes that r counts against Limits.MaxBytes.
// recordBytes includes the space for a truncated answer, so that a completion can
// be recorded even in a full store.
func (r *record) cost() int64 {
	return recordBytes + max(0, int64(len(r.answer))-truncatedAnswerBytes)
}

// advancePhase updates r to its phase at the time now. It reports whether the record
// is still to be kept.
func (r *record) advancePhase(now int64, retention time.Duration) bool {
	if r.phase == running && now >= r.phaseEnd {
		r.phase = lapsed
		r.phaseEnd += int64(retention)
	}
	return r.phase == running || now < r.phaseEnd
}
