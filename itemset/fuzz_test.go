package itemset

import (
	"bytes"
	"compress/flate"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func compress(t testing.TB, plain []byte) []byte {
	t.Helper()
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(plain); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// Guards against a set of items that makes the decoder panic: every node that receives it
// would end, and end again after each start.
func FuzzDecode(f *testing.F) {
	encode := func(v any) []byte {
		b, err := cbor.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		return b
	}
	f.Add([]byte{})
	f.Add(encode(encodedSet{Revision: 1 << 63, Items: []*Item{nil}}))
	f.Add(encode(encodedSet{Items: []*Item{{}, {Key: Key{Kind: 255, Name: "\xff"}}}}))
	f.Add(encode(map[int]any{1: -1, 2: "no list"}))
	f.Add(bytes.Repeat([]byte{0x81}, 4096)) // nested arrays
	f.Fuzz(func(t *testing.T, plain []byte) {
		s, err := Decode(compress(t, plain))
		if err != nil {
			return
		}
		if _, err := s.Encode(); err != nil {
			t.Errorf("a decoded set cannot be encoded: %v", err)
		}
	})
}
