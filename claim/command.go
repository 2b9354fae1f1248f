package claim

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of a command. A request that exceeds them gets the result Invalid.
const (
	MaxKeyBytes   = 1024
	MaxOwnerBytes = 256
	// MaxRemaining is the longest deadline that a class document allows. A longer
	// remaining time is reduced to it instead of being rejected.
	MaxRemaining = 10 * time.Minute
	MaxLease     = time.Minute
)

// command is the log entry that carries a request; exactly one field is set.
type command struct {
	Begin    *BeginRequest    `cbor:"1,keyasint,omitempty"`
	Reassign *ReassignRequest `cbor:"2,keyasint,omitempty"`
	Finish   *FinishRequest   `cbor:"3,keyasint,omitempty"`
	Lock     *LockRequest     `cbor:"4,keyasint,omitempty"`
	Unlock   *UnlockRequest   `cbor:"5,keyasint,omitempty"`
	Limits   *Limits          `cbor:"6,keyasint,omitempty"`
	Abandon  *AbandonRequest  `cbor:"7,keyasint,omitempty"`
}

// decodedCommand is a command as the machine decodes it. The answer stays encoded,
// because it is stored in the form in which it was received.
type decodedCommand struct {
	Begin    *BeginRequest    `cbor:"1,keyasint,omitempty"`
	Reassign *ReassignRequest `cbor:"2,keyasint,omitempty"`
	Finish   *decodedFinish   `cbor:"3,keyasint,omitempty"`
	Lock     *LockRequest     `cbor:"4,keyasint,omitempty"`
	Unlock   *UnlockRequest   `cbor:"5,keyasint,omitempty"`
	Limits   *Limits          `cbor:"6,keyasint,omitempty"`
	Abandon  *AbandonRequest  `cbor:"7,keyasint,omitempty"`
}

type decodedFinish struct {
	ClaimID string          `cbor:"1,keyasint"`
	Owner   string          `cbor:"2,keyasint"`
	Attempt uint32          `cbor:"3,keyasint"`
	Ending  Ending          `cbor:"4,keyasint"`
	Answer  cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// reply is a Result whose answer is still encoded.
type reply struct {
	State     State           `cbor:"1,keyasint"`
	ClaimID   string          `cbor:"2,keyasint,omitempty"`
	Attempt   uint32          `cbor:"3,keyasint,omitempty"`
	Answer    cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Remaining time.Duration   `cbor:"5,keyasint,omitempty"`
}

// encMode sorts map keys, so that the header of an answer has the same bytes on every
// replica.
var encMode = mustEncMode()

var decMode = mustDecMode()

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func encodeCommand(c command) ([]byte, error) {
	b, err := encMode.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode claim command: %w", err)
	}
	return b, nil
}

func decodeCommand(b []byte, c *decodedCommand) error {
	if err := decMode.Unmarshal(b, c); err != nil {
		return fmt.Errorf("decode claim command: %w", err)
	}
	return nil
}

func decodeResult(b []byte) (Result, error) {
	var r Result
	if err := decMode.Unmarshal(b, &r); err != nil {
		return Result{}, fmt.Errorf("decode claim result: %w", err)
	}
	if r.State == 0 {
		return Result{}, fmt.Errorf("decode claim result: no state")
	}
	return r, nil
}

func encodeReply(r *reply) []byte {
	b, err := encMode.Marshal(r)
	if err != nil {
		// A reply consists of integers, text and stored CBOR, which always encode.
		panic(fmt.Sprintf("encode claim reply: %v", err))
	}
	return b
}

// answerToStore returns the bytes to store for an encoded answer, or nil if encoded
// is not an answer. An answer that exceeds the size limits is stored without header
// and body. An answer of up to MaxAnswerBytes is not decoded here but only by the
// receiver of a reply with it.
func answerToStore(encoded []byte) []byte {
	if len(encoded) == 0 || encoded[0]>>majorTypeShift != majorTypeMap {
		return nil
	}
	if len(encoded) <= MaxAnswerBytes {
		return encoded
	}
	var a Answer
	if err := decMode.Unmarshal(encoded, &a); err != nil {
		return nil
	}
	if len(a.Body) <= MaxAnswerBytes && len(encoded) <= MaxAnswerBytes+maxHeaderBytes {
		return encoded
	}
	return truncatedAnswer(a.Status)
}

// Layout of the first byte of a CBOR data item.
const (
	majorTypeShift = 5
	majorTypeMap   = 5
)

// truncatedCopy returns the encoded answer without its header and body.
func truncatedCopy(encoded []byte) []byte {
	var a struct {
		Status int `cbor:"1,keyasint"`
	}
	_ = decMode.Unmarshal(encoded, &a) // if this fails, no reader could decode the answer either
	return truncatedAnswer(a.Status)
}

// storable reports whether a is within the size limits of a stored answer.
func storable(a *Answer) bool {
	if len(a.Body) > MaxAnswerBytes {
		return false
	}
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	return size <= MaxAnswerBytes+maxHeaderBytes
}

func truncatedAnswer(status int) []byte {
	b, err := encMode.Marshal(Answer{Status: status, Truncated: true})
	if err != nil {
		panic(fmt.Sprintf("encode truncated answer: %v", err))
	}
	return b
}

// maxHeaderBytes is the size that an encoded answer may have beyond MaxAnswerBytes. It
// leaves space for the header.
const maxHeaderBytes = 8 << 10
