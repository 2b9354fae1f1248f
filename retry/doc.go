// Package retry decides whether a failed attempt is retried on another server and whether a
// slow attempt is hedged.
//
// A Policy serves one class at one selecting node. It holds the budgets for retries and
// hedges, which bound them to a share of the requests, and the recent latency of the class.
// Attempts bounds the further attempts of one request; the count is passed down the call
// tree, so that retries don't multiply from level to level.
package retry
