package fleet

import (
	"encoding/base64"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxHeaderBytes bounds the encoded form of CallMeta and LoadReport.
const MaxHeaderBytes = 4096

// EncodeHeader returns v as base64 CBOR for use in an HTTP header.
func EncodeHeader(v any) (string, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return "", fmt.Errorf("encode header: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(b), nil
}

// DecodeHeader fills v from a header made by EncodeHeader.
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
