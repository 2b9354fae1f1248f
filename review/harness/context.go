package main

import (
	"context"
	"time"
)

// contextFor returns a context that ends after the time that a client waits.
func contextFor(left time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), left)
}
