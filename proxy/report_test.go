package proxy

import (
	"net/http"
	"testing"

	"bramleymill/fleet"
)

// Guards against a node that learns of another server's load only from answers
// to its own requests, and against reports that reach backend servers or come
// from callers.
func TestRequestsCarryTheLoadOfTheSender(t *testing.T) {
	c := newCluster(t)
	leaked := make(chan string, 100)
	h := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { leaked <- r.Header.Get(fleet.HeaderLoad) })
	a, b := c.node("a", h), c.node("b", h)
	b.Views("shop") // b uses the service
	for range 20 {
		expect(t, 200, "", "", "GET", a.caller.URL+"/x", fleet.HeaderLoad, "forged")
	}
	for range 20 {
		if v := <-leaked; v != "" {
			t.Fatalf("a backend server received the load report %q", v)
		}
	}
	for _, v := range b.Views("shop") {
		if v.Server.Node == "a" && v.ReportAge < 0 {
			t.Error("b received requests of a and knows no load of its server")
		}
	}
}
