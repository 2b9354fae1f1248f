package node

import (
	"errors"
	"testing"
)

// Guards against two processes that use one data folder and write to the same log.
func TestDataFolderIsLockedByOneProcess(t *testing.T) {
	dir := t.TempDir()
	first, err := lockFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := lockFolder(dir); !errors.Is(err, errFolderInUse) {
		t.Fatalf("lock of a folder in use: error %v, want errFolderInUse", err)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	second, err := lockFolder(dir)
	if err != nil {
		t.Fatalf("lock after the first lock was released: error %v, want no error", err)
	}
	second.Close()
}
