package class

import (
	"strings"
	"testing"
)

const valid = `{"classes":[
 {"name":"browse","service":"katalog","match":{"methods":["GET"],"path_prefix":"/"},
  "idempotent":true,"latency_target":"80ms","deadline":"2s","urgency":"normal","probes_per_second":0.5,"when_unconfirmed":"serve"},
 {"name":"order","service":"objednavky","match":{"methods":["POST"],"path_prefix":"/orders"},
  "idempotent":false,"latency_target":"300ms","deadline":"5s","urgency":"high","key":"required","max_body":"64KiB"},
 {"name":"detail","service":"katalog","match":{"methods":["GET"],"path_prefix":"/detail/"},
  "idempotent":true,"latency_target":"80ms","deadline":"2s","urgency":"normal","probes_per_second":0.25}]}`

// Guards against a request that gets the class of a shorter prefix or of another method,
// and against a probe budget that leaves out a class of the service.
func TestLongestPrefixMatches(t *testing.T) {
	d, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	s := NewSet(3, d)
	if got := s.Match("GET", "/detail/7").Name; got != "detail" {
		t.Errorf("class of GET /detail/7 = %s, want detail", got)
	}
	if got := s.Match("PUT", "/detail/7"); got != nil {
		t.Errorf("class of PUT /detail/7 = %s, want no class", got.Name)
	}
	if got := s.ProbesPerSecond("katalog"); got != 0.75 {
		t.Errorf("probe budget of service katalog = %v, want 0.75, the sum of its two classes", got)
	}
}

// Guards against an invalid document that is accepted, or refused by an error that does
// not name the field.
func TestInvalidDocuments(t *testing.T) {
	cases := []struct{ name, replace, replacement, want string }{
		{"weight", `"idempotent":false,`, `"idempotent":false,"weight":3,`, "weights and addresses are not accepted"},
		{"address", `"idempotent":false,`, `"idempotent":false,"backend_address":"x",`, "weights and addresses are not accepted"},
		{"unknown field", `"idempotent":false,`, `"idempotent":false,"speed":3,`, "classes[1].speed: unknown field"},
		{"repeated field", `"idempotent":false,`, `"idempotent":false,"idempotent":true,`, "given twice"},
		{"unit", `"5s"`, `5`, "with a unit"},
		{"target past deadline", `"300ms"`, `"6s"`, "classes[1].latency_target"},
		{"urgency", `"high"`, `"critical"`, "internal_only"},
		{"same route", `"/detail/"`, `"/"`, "already takes these requests"},
		{"serve unconfirmed without idempotency", `"key":"required"`, `"when_unconfirmed":"serve"`, "classes[1].when_unconfirmed"},
	}
	for _, c := range cases {
		_, err := Parse([]byte(strings.Replace(valid, c.replace, c.replacement, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error = %v, want it to contain %q", c.name, err, c.want)
		}
	}
}

// Guards against an encoded document that Parse refuses.
func TestEncodeParsesAgain(t *testing.T) {
	d, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	b, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse(b); err != nil {
		t.Fatalf("parse the canonical form: %v", err)
	}
}
