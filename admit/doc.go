// Package admit decides which requests run on a backend server, which wait and
// which are refused before they have run.
//
// Controller is pure: it is told of offers, completions and the passing of time
// and returns the requests to start or refuse. Gate drives a Controller for
// concurrent requests and blocks each of them until it is decided.
//
// Privileged requests are critical and internal. They alone may use the reserved
// slots, so that requests that hold slots while they wait for checks of another
// service do not fill every slot of that service.
package admit
