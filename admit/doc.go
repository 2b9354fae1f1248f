// Package admit decides which requests run on a backend server, which wait and
// which are refused before they have run.
//
// Controller is a state machine without goroutines, locks or a clock. Its methods record new
// requests, completions and the current time, and return the queued requests to start or
// refuse. Gate runs a Controller for concurrent requests and blocks each of them
// until it is admitted or refused.
//
// Privileged requests are those that are critical and internal. Only they may use the
// reserved slots. Without reserved slots two services that call each other could deadlock:
// ordinary requests would hold every slot of both while they wait for calls to the other
// service.
package admit
