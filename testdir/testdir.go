// Package testdir provides folders for the data of test fleets.
//
// All instances of a test fleet share the disk of the machine that runs the tests. A disk that does
// not sync for a while, because other processes write much, is then lost to all of them at once,
// which is more than a fleet has to tolerate. The folders are therefore in memory where possible.
// Faults of disks are injected by the tests themselves.
package testdir

import (
	"os"
	"testing"
)

// memory is a file system in memory, where the operating system provides one.
const memory = "/dev/shm"

// New returns an empty folder that is removed after the test and its cleanups that are registered
// later. Programs may not be executable in it.
func New(t testing.TB) string {
	path, err := os.MkdirTemp(memory, "bramleymill-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(path) }) // a process that still writes makes it fail
	return path
}
