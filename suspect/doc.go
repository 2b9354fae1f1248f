// Package suspect isolates requests that crash backend servers.
//
// The fingerprint of a request stays the same when a caller sends it again. A Table counts, for
// each fingerprint, the crashes of backend servers that were running such a request. After one
// crash the fingerprint is a crash suspect: its requests run only in confined attempts. A crash
// during a confined attempt is attributed to that attempt alone. After two crashes the requests
// of a fingerprint are refused until a time limit passes or an operator releases it.
//
// Every node has a Table. Nodes exchange crash reports and clearances; a Table gives the same
// result in whatever order and however often it receives them.
package suspect
