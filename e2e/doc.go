// Package e2e contains end-to-end tests. They run the commands as separate processes on the
// loopback interface and inject faults: killed and frozen processes, lost disks, cut links,
// concurrent operators, and requests that crash backend servers.
//
// The stand-in for a backend server writes records of each execution to a file. Tests that send
// load compare what the callers received with these records, for example to show that an order ran
// exactly once.
package e2e
