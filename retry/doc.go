// Package retry decides whether a failed attempt is followed by another one and
// whether a slow attempt is hedged.
//
// A Policy belongs to one class at one selecting node. It holds the budgets of
// retries and hedges and the recent latency of the class. Attempts is the count
// of further attempts that is carried down the call tree.
package retry
