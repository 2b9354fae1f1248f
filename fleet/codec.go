package fleet

import (
	"encoding/base64"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxHeaderBytes is the maximum length of an encoded CallMeta or LoadReport.
const MaxHeaderBytes = 4096

// EncodeHeader returns v as base64url-encoded CBOR for an HTTP header.
func EncodeHeader(v any) (string, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return "", fmt.Errorf("encode header: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(b), nil
}

// DecodeHeader decodes a header made by EncodeHeader into v.
func DecodeHeader(s string, v any) error {
	if len(s) > MaxHeaderBytes {
		return fmt.Errorf("decode header: %d bytes exceed the limit of %d", len(s), MaxHeaderBytes)
	}
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return fmt.Errorf("decode header: %w", err)
	}
	if err := cbor.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode header: %w", err)
	}
	return nil
}
