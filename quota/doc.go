// Package quota limits the requests of customers over the whole fleet. An Issuer at each
// voter of the control group owns an equal share of every quota and issues permits from token
// buckets in memory. A Client at each entry node collects the demand of its requests, holds
// issued permits until their leases end, and returns those that are not used.
//
// The package makes decisions only. Callers pass events and clock readings, send the messages
// that it returns, and serialize the calls of an Issuer or Client.
package quota
