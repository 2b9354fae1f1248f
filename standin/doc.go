// Package standin is a stand-in backend server for tests, experiments and the
// demo. It behaves like the backend servers that the load balancer serves: a
// fixed number of slots, a connection limit, swinging service times, cold
// starts, late or misleading reports, draining, load shedding and crashes. It
// records every execution, so that work that ran twice is counted at its source.
package standin
