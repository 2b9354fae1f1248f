package operator

import (
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bramleymill/errkind"
	"bramleymill/guard"
)

// Guards against an operator's request that is carried out although it is no JSON, because
// something follows the value.
func TestDataAfterTheBodyIsRefused(t *testing.T) {
	read := func(body string) error {
		var v struct {
			Node string `json:"node"`
		}
		return readBody(httptest.NewRequest("POST", "/", strings.NewReader(body)), &v)
	}
	for _, end := range []string{"", " ", "\n"} {
		if err := read(`{"node":"a"}` + end); err != nil {
			t.Errorf("body followed by %q: error %v, want none", end, err)
		}
	}
	for _, end := range []string{"}", "]", "}}", "\n}", ",", "x", "{}", "null", "1"} {
		if err := read(`{"node":"a"}` + end); err == nil || errkind.Of(err).Kind != errkind.BadRequest {
			t.Errorf("body followed by %q: error %v, want one of kind bad_request", end, err)
		}
	}
}

// Guards against bodies of operators that together exceed the memory of the process.
func TestBodyThatMemoryDoesNotHoldIsRefused(t *testing.T) {
	g := guard.New(guard.ConnCost+64<<10, nil, slog.New(slog.DiscardHandler))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	kind := make(chan errkind.Kind, 1)
	s := &http.Server{ConnContext: guard.ConnContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var v any
		kind <- errkind.Of(readBody(r, &v)).Kind
	})}
	go func() { _ = s.Serve(g.Door(l, guard.DoorConfig{Opaque: true})) }()
	t.Cleanup(func() { _ = s.Close() })
	resp, err := http.Post("http://"+l.Addr().String(), "application/json", strings.NewReader(`"`+strings.Repeat("x", 60<<10)+`"`))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if got := <-kind; got != errkind.MemoryUsedUp {
		t.Errorf("kind %q, want %q", got, errkind.MemoryUsedUp)
	}
}
