// Package permit runs the decisions of package quota: it passes them clock readings, lets
// requests wait for permits, and sends and receives the messages between entry nodes and
// control instances.
package permit
