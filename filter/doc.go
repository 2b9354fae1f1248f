// Package filter is the request path as a chain of filters. Each file holds one
// filter, named for what it does. The entry node runs one chain, the server
// node another.
package filter
