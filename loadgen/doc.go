// Package loadgen sends load to nodes and checks that no work was lost or doubled.
//
// A Plan names one Stream for each class of work. A Runner sends the requests of
// each stream at the times of a seeded Poisson process, whether or not earlier
// requests were answered (an open loop), and gives each request a Verdict from
// the headers and the body of its answer, as a caller would. Verify then
// compares the outcomes with the execution records that the stand-in backend
// servers wrote, which show how often the work of each request was started.
//
// Limits on the rate and duration of a plan keep a mistyped plan from flooding
// the machine.
package loadgen
