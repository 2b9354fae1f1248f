package main

import (
	_ "embed" // for the file with the names
	"encoding/json"
	"fmt"
)

//go:embed names.json
var namesFile []byte

// names holds the names of the platform's pages that only package platform may contain.
var names = readNames()

func readNames() map[string]string {
	var m map[string]string
	if err := json.Unmarshal(namesFile, &m); err != nil {
		panic(fmt.Sprintf("names.json: %v", err))
	}
	return m
}
