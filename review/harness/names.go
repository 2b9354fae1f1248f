package main

import (
	"embed"
	"encoding/json"
	"strings"
	"text/template"
)

//go:embed names.json *.tmpl
var files embed.FS

// names holds the names that the platform uses on the wire. They are read from a file
// because the names may occur in the Go code of package platform only.
var names = func() (n struct{ BootEnv, ExpectInstance, CallerService, Load, NotExecuted, Instance, Stamp string }) {
	text, err := files.ReadFile("names.json")
	if err == nil {
		err = json.Unmarshal(text, &n)
	}
	if err != nil {
		panic(err) // the file is part of the program
	}
	return n
}()

const (
	headerRequestID = "Bramleymill-Request-Id"
	headerDeadline  = "Bramleymill-Deadline-Ms"
)

var templates = template.Must(template.ParseFS(files, "*.tmpl"))

func render(name string, data any) string {
	var b strings.Builder
	if err := templates.ExecuteTemplate(&b, name, data); err != nil {
		panic(err) // the templates are part of the program
	}
	return strings.TrimSpace(b.String())
}
