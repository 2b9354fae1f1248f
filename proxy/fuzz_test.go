package proxy

import (
	"bytes"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

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

// Guards against a load header or a status of a faulty backend server from which a time
// is computed that overflows, and against a refusal that is no proof.
func FuzzAnswerHead(f *testing.F) {
	for _, seed := range []string{"0,0,4,100", "0,0,4", "-1,0,4", "0,0,4,9223372036854775807", "0,0,4,18446744073709551616", "NaN,0,4,1", "1e9,0,4,1", "0,0,4,100,x,,,", ",,,"} {
		f.Add(seed, 200, "id", "1", "s")
		f.Add(seed, 503, "", "1", "")
		f.Add(seed, 421, "other", "", "s")
	}
	f.Fuzz(func(t *testing.T, load string, status int, id, notRunMark, stamp string) {
		if l, ok := parseLoad(load); ok && (l.Running < 0 || l.Waiting < 0 || l.Slots < 0 || l.Slots > maxLoadField || l.Slowdown < 0 || l.Slowdown > maxLoadField) {
			t.Errorf("load header %q: %+v is out of range, want it refused", load, l)
		}
		h := http.Header{}
		h.Set(testDialect.RequestID, id)
		h.Set(testDialect.NotRun, notRunMark)
		h.Set(testDialect.Stamp, stamp)
		v := testDialect.classify("id", &http.Response{StatusCode: status, Header: h})
		if v == notRun && id != "id" {
			t.Errorf("status %d with the id %q is taken as proof for the request \"id\", want no proof", status, id)
		}
		if v == answered && meansNotRun(status) && stamp == "" {
			t.Errorf("status %d without a stamp is passed on to the caller, who would take it as a refusal", status)
		}
	})
}

// Guards against a datagram that makes the process end.
func FuzzDatagram(f *testing.F) {
	c := platformCluster(f)
	n := c.platformNode("n1", func(conn net.Conn, r *http.Request, _ int32) bool { return writeAnswer(conn, r, 200, "x") })
	for _, m := range []reservationMessage{{}, {Verb: verbReserve, Entry: "e", Meta: &fleet.CallMeta{Attempt: 1, Remaining: 1}},
		{Verb: verbReserve, Entry: "e", Meta: &fleet.CallMeta{Attempt: 255, Remaining: -1}}, {Verb: verbGranted, Number: 1 << 63},
		{Verb: verbRefused, Load: &fleet.LoadReport{Slots: -1, ServiceTime: -1}}, {Verb: verbCancel}, {Verb: 255}} {
		b, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add(bytes.Repeat([]byte{0x81}, 1<<10))
	f.Fuzz(func(_ *testing.T, payload []byte) { n.HandleDatagram("127.0.0.1:9", payload) })
}
