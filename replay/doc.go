// Package replay is a discrete-event simulation that runs recorded traces against the
// packages pick, admit, retry and probe and against baseline policies. A change of a rule in
// these packages can thus be compared with the previous rule on identical input.
//
// A trace lists servers, classes, arrival rates and disturbances. Arrival times and service
// times are generated from the trace and its seed and are the same for every policy. The
// simulation calls pick, admit, retry and probe from an event queue with a simulated clock.
// It models neither processes nor protocols.
package replay
