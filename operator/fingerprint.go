package operator

import (
	"fmt"
	"strconv"
)

// String returns f as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// MarshalText encodes f as String does.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText parses b with ParseFingerprint.
func (f *Fingerprint) UnmarshalText(b []byte) error {
	v, err := ParseFingerprint(string(b))
	*f = v
	return err
}

// ParseFingerprint parses a fingerprint of 1 to 16 hexadecimal digits.
func ParseFingerprint(s string) (Fingerprint, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("fingerprint %q: use 1 to 16 hexadecimal digits as shown by suspects", s)
	}
	return Fingerprint(v), nil
}
