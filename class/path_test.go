package class

import (
	"net/http"
	"net/url"
	"testing"
	"time"

	"bramleymill/strictjson"
)

// Guards against an encoded slash that selects the route of a longer prefix, and against a
// prefix with an encoded character that is never selected.
func TestEncodedPathSelectsTheRouteOfItsPrefix(t *testing.T) {
	item := func(prefix string) *Class {
		return &Class{Name: prefix, Service: "shop", Match: Match{Hosts: []string{"h"}, PathPrefix: prefix}, Urgency: "normal",
			Deadline: strictjson.Duration(time.Second)}
	}
	document, err := Parse([]byte(`{"classes":[
 {"name":"orders","service":"shop","match":{"methods":["GET"],"path_prefix":"/orders/"},"idempotent":true,"latency_target":"1s","deadline":"2s","urgency":"normal"},
 {"name":"archive","service":"shop","match":{"methods":["GET"],"path_prefix":"/orders/archive/"},"idempotent":true,"latency_target":"1s","deadline":"2s","urgency":"normal"},
 {"name":"cafe","service":"shop","match":{"methods":["GET"],"path_prefix":"/caf%c3%a9/"},"idempotent":true,"latency_target":"1s","deadline":"2s","urgency":"normal"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	items := NewItemSet(1, []*Class{item("/orders/"), item("/orders/archive/"), item("/caf%C3%A9/"), item("/a;b/"), item("/räume/")}, nil, Limits{})
	for _, tt := range []struct{ path, item, document string }{
		{"/orders/archive/7", "/orders/archive/", "archive"},
		{"/orders/archive%2F7", "/orders/", "orders"},
		{"/orders/archive%2f7", "/orders/", "orders"},
		{"/orders/%61rchive/7", "/orders/archive/", "archive"},
		{"/orders%2Farchive/7", "", ""},
		{"/caf%C3%A9/7", "/caf%C3%A9/", "cafe"},
		{"/caf%c3%a9/7", "/caf%C3%A9/", "cafe"},
		{"/café/7", "/caf%C3%A9/", "cafe"},
		{"/r%C3%A4ume/7", "/räume/", ""},
		{"/a;b/7", "/a;b/", ""},
		{"/a%3Bb/7", "", ""},
		{"/orders/a|b%", "", ""}, // not a path; the HTTP server refuses it
	} {
		u, err := url.ParseRequestURI(tt.path)
		if err != nil {
			continue
		}
		for set, want := range map[*Set]string{items: tt.item, NewSet(1, document): tt.document} {
			got := ""
			if r := set.MatchHost("h", http.MethodGet, u.EscapedPath()); r != nil {
				got = r.Name
			}
			if got != want {
				t.Errorf("path %s: class %q, want %q", tt.path, got, want)
			}
		}
	}
}
