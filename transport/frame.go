package transport

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleymill/errkind"
)

// A request consists of the kind (2 bytes), the remaining time until its deadline
// in milliseconds (4 bytes, zero for no deadline) and the payload, which extends to
// the end of the stream. A reply consists of one status byte and either the payload
// or the encoded failure.
const (
	requestHeaderBytes = 6
	replyHeaderBytes   = 1

	statusReply   byte = 0
	statusFailure byte = 1
)

// ErrTooLarge is returned for a message that exceeds MaxMessageBytes.
var ErrTooLarge = errors.New("message exceeds the size limit")

// ErrNotSent is returned when a message was not sent, for example because no
// connection could be opened. It proves that the remote handler did not run.
var ErrNotSent = errors.New("message not sent")

// RemoteError is an error that the remote handler returned without an error kind.
type RemoteError struct{ Message string }

// Error returns the error message of the remote handler with the prefix "remote: ".
func (e *RemoteError) Error() string { return "remote: " + e.Message }

type failure struct {
	Kind    errkind.Kind `cbor:"1,keyasint,omitempty"`
	Message string       `cbor:"2,keyasint"`
}

func encodeRequest(k Kind, remaining time.Duration, request any) ([]byte, error) {
	payload, err := cbor.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode message kind %d: %w", k, err)
	}
	if len(payload) > MaxMessageBytes {
		return nil, fmt.Errorf("message kind %d has %d bytes: %w", k, len(payload), ErrTooLarge)
	}
	b := make([]byte, requestHeaderBytes, requestHeaderBytes+len(payload))
	binary.BigEndian.PutUint16(b, uint16(k))
	binary.BigEndian.PutUint32(b[2:], milliseconds(remaining))
	return append(b, payload...), nil
}

// milliseconds rounds up, so that a deadline of less than 1 ms is not encoded as
// zero, which means no deadline.
func milliseconds(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	ms := (d + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, math.MaxUint32))
}

func decodeRequest(b []byte) (k Kind, remaining time.Duration, payload []byte, err error) {
	if len(b) < requestHeaderBytes {
		return 0, 0, nil, fmt.Errorf("message has %d bytes, want at least the %d bytes of the header", len(b), requestHeaderBytes)
	}
	k = Kind(binary.BigEndian.Uint16(b))
	remaining = time.Duration(binary.BigEndian.Uint32(b[2:])) * time.Millisecond
	return k, remaining, b[requestHeaderBytes:], nil
}

// EncodeReply encodes the result of a handler: its payload, or handlerErr if that
// is not nil.
func EncodeReply(payload []byte, handlerErr error) []byte {
	if handlerErr == nil && len(payload) > MaxMessageBytes {
		handlerErr = fmt.Errorf("reply has %d bytes: %w", len(payload), ErrTooLarge)
	}
	if handlerErr == nil {
		return append([]byte{statusReply}, payload...)
	}
	f := failure{Message: handlerErr.Error()}
	var e *errkind.Error
	if errors.As(handlerErr, &e) {
		f.Kind = e.Kind
	}
	b, err := cbor.Marshal(f)
	if err != nil {
		return []byte{statusFailure}
	}
	return append([]byte{statusFailure}, b...)
}

// DecodeReply decodes b into reply. If b contains the failure of a handler, it
// returns that failure as an error.
func DecodeReply(b []byte, reply any) error {
	if len(b) < replyHeaderBytes {
		return errors.New("reply is empty")
	}
	if b[0] == statusReply {
		if err := cbor.Unmarshal(b[1:], reply); err != nil {
			return fmt.Errorf("decode reply: %w", err)
		}
		return nil
	}
	var f failure
	if err := cbor.Unmarshal(b[1:], &f); err != nil {
		return fmt.Errorf("decode failure reply: %w", err)
	}
	if errkind.Known(f.Kind) {
		return errkind.New(f.Kind, "remote: %s", f.Message)
	}
	return &RemoteError{Message: f.Message}
}

// readAll reads r to its end. It returns ErrTooLarge if r has more than limit bytes.
func readAll(r io.Reader, limit int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(b) > limit {
		return nil, ErrTooLarge
	}
	return b, nil
}
