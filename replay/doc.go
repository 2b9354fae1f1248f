// Package replay runs recorded traces against the decision packages and against
// baseline policies, so that a change of a rule is measured on the same input.
//
// A trace states servers, classes, arrival rates and disturbances. The arrivals
// and service times that follow from it and its seed are the same for every
// policy. The runner is an event queue around pick, admit, retry and probe; it
// models neither processes nor protocols.
package replay
