// Package class holds the dynamic configuration that operators state: classes
// of work with their targets. A Document is the JSON form, a Set is the
// validated immutable form that the request path matches requests against.
//
// A document never holds weights or addresses; one that tries is refused.
package class
