// Package standin implements a stand-in backend server for tests, experiments and
// the demo.
//
// It imitates the backend servers behind the load balancer: a fixed number of
// slots, a connection limit, varying service times, cold starts, outdated or
// misleading load reports, draining, load shedding and crashes. It writes a record
// when an execution starts and another when it ends, and each record carries the
// work id that the caller chose. Work that ran twice is therefore seen where it
// ran, independently of what the nodes report.
package standin
