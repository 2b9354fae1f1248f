package node

import (
	"errors"
	"testing"
)

// Guards against two processes that write to the same log.
func TestDataFolderIsLockedByOneProcess(t *testing.T) {
	dir := t.TempDir()
	first, err := lockFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := lockFolder(dir); !errors.Is(err, errFolderInUse) {
		t.Fatalf("second use: %v", err)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	again, err := lockFolder(dir)
	if err != nil {
		t.Fatalf("after the first has ended: %v", err)
	}
	again.Close()
}
