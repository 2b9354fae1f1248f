package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
	"testing"

	"bramleymill/fleet"
)

// Guards against metadata of another node that breaks the decoding or leads to
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
			t.Errorf("accepted %+v", m)
		}
		decodeLoad(http.Header{fleet.HeaderLoad: {s}})
	})
}

// Guards against headers that get past the removal of those that must not pass.
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
				t.Errorf("%q passed", got)
			}
		}
		for token := range strings.SplitSeq(value, ",") {
			if token = http.CanonicalHeaderKey(textproto.TrimString(token)); token != "" && out[token] != nil {
				t.Errorf("%q is listed in Connection %q and passed", token, value)
			}
		}
		wantsTrailers(h)
	})
}
