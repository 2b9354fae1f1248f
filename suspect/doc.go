// Package suspect contains requests that crash backend servers.
//
// A Table counts, for each fingerprint of a request, the crashes of backend
// servers that ran it. One crash makes a fingerprint suspect: it runs alone, in
// confined attempts. Two make it refused until a time limit or an operator
// releases it. Every node keeps a Table; reports and clearances from other nodes
// merge in any order and any number of times with the same result.
package suspect
