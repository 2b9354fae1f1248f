package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
	"testing"

	"bramleymill/fleet"
)

// Guards against metadata from another node that makes the decoder panic or that has
// values out of bounds.
func FuzzDecodeMeta(f *testing.F) {
	good, err := fleet.EncodeHeader(&fleet.CallMeta{RequestID: "e.1.1", Attempt: 1, Remaining: 1, Depth: 1})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{"", good, good[:len(good)/2], good + "A", "!", strings.Repeat("A", fleet.MaxHeaderBytes+1), "oA", "v_8"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		m, err := decodeMeta(s)
		if err == nil && (m.RequestID == "" || len(m.RequestID) > maxRequestID || m.Attempt == 0 || m.AttemptsLeft > maxAttemptsLeft || m.Remaining > maxRemaining) {
			t.Errorf("decodeMeta returned metadata with a value out of bounds: %+v, want an error", m)
		}
		decodeLoad(http.Header{fleet.HeaderLoad: {s}})
	})
}

// Guards against headers that are passed on although they must be removed.
func FuzzEndToEnd(f *testing.F) {
	for _, seed := range [][2]string{{"Connection", "x, Keep-Alive"}, {"connection", ""}, {"bramleymill-call", "1"}, {"BRAMLEYMILL-", ","}, {"Te", "trailers;q=1, trailers"}, {"Transfer-Encoding", "chunked"}} {
		f.Add(seed[0], seed[1])
	}
	f.Fuzz(func(t *testing.T, name, value string) {
		h := http.Header{"X-Kept": {"1"}, "Connection": {value}}
		h[name] = append(h[name], value)
		h.Add(name, value)
		out := headerRules{}.endToEnd(h)
		for got := range out {
			if hopByHop[got] || isProjectHeader(got) {
				t.Errorf("hop-by-hop or internal header %q was passed on, want it removed", got)
			}
		}
		for token := range strings.SplitSeq(value, ",") {
			if token = http.CanonicalHeaderKey(textproto.TrimString(token)); token != "" && out[token] != nil {
				t.Errorf("header %q, which Connection %q lists, was passed on, want it removed", token, value)
			}
		}
		wantsTrailers(h)
	})
}
