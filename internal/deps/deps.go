//go:build deps

// Package deps keeps required modules in go.mod until the packages that use them land.
package deps

import (
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/quic-go/quic-go"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "pgregory.net/rapid"
)
