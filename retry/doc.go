// Package retry decides whether a failed attempt is retried on another server and whether a
// slow attempt is hedged.
//
// A Policy serves one class at one selecting node. It holds the recent latency of the class
// and the budgets that bound retries and hedges to a share of the requests. Attempts bounds
// the further attempts of one request. A part of the count is passed with each nested call, so
// that retries don't multiply from level to level.
package retry
