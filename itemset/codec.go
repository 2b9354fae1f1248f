package itemset

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// maxEncodedBytes limits the size of the data that Decode decompresses. It exceeds
// MaxBytes, because a set may have been accepted by a release without that limit.
const maxEncodedBytes = 32 << 20

type encodedSet struct {
	Revision uint64  `cbor:"1,keyasint"`
	Items    []*Item `cbor:"2,keyasint"`
}

// EncodePlain returns the encoding of the set without compression. Equal sets give equal
// bytes, and a change of few items changes few bytes, so that it can be distributed as such.
func (s *Set) EncodePlain() ([]byte, error) {
	plain, err := cbor.Marshal(encodedSet{s.Revision, s.Sorted()})
	if err != nil {
		return nil, fmt.Errorf("encode items: %w", err)
	}
	return plain, nil
}

// Encode returns the compressed encoding of the set. Equal sets give equal bytes.
func (s *Set) Encode() ([]byte, error) {
	plain, err := s.EncodePlain()
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	// A higher compression level would save little, because names and prefixes are
	// random.
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("encode items: %w", err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("encode items: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("encode items: %w", err)
	}
	return out.Bytes(), nil
}

// Decode decodes the form that Encode returns and checks each item.
func Decode(data []byte) (*Set, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	plain, err := io.ReadAll(io.LimitReader(r, maxEncodedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decode items: %w", err)
	}
	return DecodePlain(plain)
}

// DecodePlain decodes the form that EncodePlain returns and checks each item.
func DecodePlain(plain []byte) (*Set, error) {
	if len(plain) > maxEncodedBytes {
		return nil, fmt.Errorf("decode items: more than %d bytes", maxEncodedBytes)
	}
	var e encodedSet
	if err := cbor.Unmarshal(plain, &e); err != nil {
		return nil, fmt.Errorf("decode items: %w", err)
	}
	s := &Set{Revision: e.Revision, items: make(map[Key]*Item, len(e.Items))}
	for _, it := range e.Items {
		if it == nil {
			return nil, errors.New("decode items: an item is null")
		}
		if err := it.check(); err != nil {
			return nil, fmt.Errorf("decode items: %w", err)
		}
		s.items[it.Key] = it
	}
	return s, nil
}
