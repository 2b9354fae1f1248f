package wal

import (
	"io"
	"os"
	"path/filepath"
)

// File is an open file.
type File interface {
	io.Reader
	io.ReaderAt
	io.Writer
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// FS is the part of a file system that logs and snapshots need.
type FS interface {
	// MkdirAll creates a folder and its missing parents durably.
	MkdirAll(folder string) error
	// Create creates or empties a file and opens it for writing at its end.
	Create(name string) (File, error)
	// Open opens an existing file for reading.
	Open(name string) (File, error)
	// OpenAppend opens an existing file for writing at its end.
	OpenAppend(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the file names in a folder in ascending order.
	List(folder string) ([]string, error)
	// SyncFolder makes the creation, renaming and removal of files in a folder durable.
	SyncFolder(folder string) error
}

// OS is the file system of the machine that the process runs on.
type OS struct{}

// MkdirAll creates a folder and its missing parents durably. A folder that is not
// durable could disappear in a crash together with the synced files in it.
func (o OS) MkdirAll(folder string) error {
	if _, err := os.Stat(folder); err == nil {
		return nil
	}
	parent := filepath.Dir(folder)
	if parent != folder {
		if err := o.MkdirAll(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(folder, 0o700); err != nil && !os.IsExist(err) {
		return err
	}
	return o.SyncFolder(parent)
}

// Create creates or empties a file and opens it for writing at its end.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC|os.O_APPEND, 0o600)
}

// Open opens a file for reading.
func (OS) Open(name string) (File, error) { return os.Open(name) }

// OpenAppend opens an existing file for writing at its end.
func (OS) OpenAppend(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR|os.O_APPEND, 0o600)
}

// Rename renames a file.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// List returns the file names in a folder in ascending order.
func (OS) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, nil
}

// SyncFolder makes the creation, renaming and removal of files in a folder durable.
func (OS) SyncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// ReadFile returns the content of a file.
func ReadFile(fs FS, name string) ([]byte, error) {
	f, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(f)
}
