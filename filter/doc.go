// Package filter implements the request path as two chains of filters. A filter is a
// Handler that wraps the next one; each file holds one filter and is named for it.
//
// The chain of the entry node, which receives calls, runs these filters in order:
// request id, classify, confirmed, internal-only, deadline, body, suspects, claims,
// attempts, server selection, forward. From server selection on, the chain runs once
// for each attempt. Forward calls the server chain directly if this node is the target
// and sends the attempt to the target's node otherwise.
//
// The chain of the server node, which has a backend server, runs peer check,
// duplicates, down report, admission, crash guard and dispatch, in this order.
//
// A refusal is an error that proves that the request did not run at a backend server. A
// request that is not idempotent is sent again only after a refusal.
package filter
