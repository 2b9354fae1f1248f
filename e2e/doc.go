// Package e2e holds tests that run the commands as separate processes on
// loopback and bring failures about: killed and frozen processes, lost disks,
// cut links, racing operators and requests that crash backend servers.
package e2e
