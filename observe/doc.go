// Package observe measures running nodes from outside: processor time and memory
// from the process table, control traffic from their metrics, and the spread of
// configuration changes from their logs.
package observe
