// Package faultfs is an in-memory file system for tests. It can make writes and
// syncs fail, make syncs slow or stall, run out of space and simulate a crash. A crash
// loses what was not synced, and sometimes leaves a torn part of it.
package faultfs

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"bramleymill/wal"
)

// ErrInjected is the error of injected failures.
var ErrInjected = errors.New("faultfs: injected failure")

// inode is the content of a file.
type inode struct {
	data   []byte
	synced []byte // survives a crash
}

// FS is an in-memory file system. It is safe for concurrent use.
type FS struct {
	mu      sync.Mutex
	random  *rand.Rand
	names   map[string]*inode // files by their present names
	synced  map[string]*inode // names that survive a crash
	crashes int               // number of crashes; files opened before the last one fail

	stall      chan struct{} // syncs stall until it is closed; nil: syncs do not stall
	syncTime   time.Duration // time that each sync takes
	writeFails bool
	syncFails  bool
	free       int // bytes that can be written until the disk is full; negative: unlimited
	noSpace    Op  // operations that fail because the disk is full
	syncs      int
}

// Op is a set of operations that need space.
type Op uint

// The operations that need space. A write or a change of a folder may need a new block.
// File systems that allocate blocks late report the lack of space only at the sync, and those
// that never overwrite blocks need space even to truncate or remove a file.
const (
	Write Op = 1 << iota
	Sync
	Truncate
	Create
	Rename
	Remove
	SyncFolder
)

// New returns an empty file system.
func New(seed uint64) *FS {
	return &FS{
		random: rand.New(rand.NewPCG(seed, 2)), names: map[string]*inode{},
		synced: map[string]*inode{}, free: -1,
	}
}

// FailWrites sets whether writes fail.
func (f *FS) FailWrites(fail bool) { f.withLock(func() { f.writeFails = fail }) }

// FailSyncs sets whether syncs fail. A failed sync drops the unsynced data, as
// operating systems do.
func (f *FS) FailSyncs(fail bool) { f.withLock(func() { f.syncFails = fail }) }

// StallSyncs makes syncs stall until release is called, after which they continue.
// All other operations work in the meantime.
func (f *FS) StallSyncs() (release func()) {
	stall := make(chan struct{})
	f.withLock(func() { f.stall = stall })
	return sync.OnceFunc(func() {
		f.withLock(func() { f.stall = nil })
		close(stall)
	})
}

// SlowSyncs makes each sync that starts from now on take d.
func (f *FS) SlowSyncs(d time.Duration) { f.withLock(func() { f.syncTime = d }) }

// waitForSync waits for the time that a sync takes, and while syncs stall.
func (f *FS) waitForSync() {
	f.mu.Lock()
	stall, syncTime := f.stall, f.syncTime
	f.mu.Unlock()
	time.Sleep(syncTime)
	if stall != nil {
		<-stall
	}
}

// SetFreeBytes sets the number of bytes that can be written until the disk is full. A
// negative number removes the limit.
func (f *FS) SetFreeBytes(bytes int) { f.withLock(func() { f.free = bytes }) }

// RunOutOfSpace makes the given operations fail because the disk is full, until it is called
// with zero.
func (f *FS) RunOutOfSpace(operations Op) { f.withLock(func() { f.noSpace = operations }) }

// checkSpace returns an error if an operation fails because the disk is full. The caller
// holds mu.
func (f *FS) checkSpace(operation Op) error {
	if f.noSpace&operation != 0 {
		return syscall.ENOSPC
	}
	return nil
}

// Syncs returns the number of file syncs so far.
func (f *FS) Syncs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncs
}

// withLock runs change while it holds f.mu.
func (f *FS) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// Crash loses what was not synced. A random part of the data that were appended
// to a file may survive, sometimes with a damaged byte. Every later use of a file
// that was open fails.
func (f *FS) Crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes++
	f.names = maps.Clone(f.synced)
	for _, name := range slices.Sorted(maps.Keys(f.names)) {
		f.names[name].tear(f.random)
	}
}

// tear reduces the content to the part that survives a crash.
func (n *inode) tear(r *rand.Rand) {
	if len(n.data) > len(n.synced) && slices.Equal(n.data[:len(n.synced)], n.synced) {
		kept := len(n.synced) + r.IntN(len(n.data)-len(n.synced)+1)
		torn := slices.Clone(n.data[:kept])
		if kept > len(n.synced) && r.IntN(2) == 0 {
			torn[len(n.synced)+r.IntN(kept-len(n.synced))] ^= 0x55
		}
		n.synced = torn
	}
	n.data = slices.Clone(n.synced)
}

// Corrupt flips a bit of the byte at offset in a file. A second call restores the byte.
func (f *FS) Corrupt(name string, offset int) {
	f.withLock(func() {
		n := f.names[name]
		n.data[offset] ^= 1
		n.synced = slices.Clone(n.data)
	})
}

// Size returns the size of a file.
func (f *FS) Size(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.names[name].data)
}

// MkdirAll does nothing, because every folder exists.
func (f *FS) MkdirAll(string) error { return nil }

// Create creates or empties a file.
func (f *FS) Create(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.checkSpace(Create); err != nil {
		return nil, err
	}
	n := &inode{}
	f.names[name] = n
	return &file{fs: f, inode: n, crashesAtOpen: f.crashes}, nil
}

// Open opens a file.
func (f *FS) Open(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.names[name]
	if !ok {
		return nil, &os.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
	}
	return &file{fs: f, inode: n, crashesAtOpen: f.crashes}, nil
}

// OpenAppend opens an existing file.
func (f *FS) OpenAppend(name string) (wal.File, error) { return f.Open(name) }

// Rename renames a file.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.names[from]
	if !ok {
		return &os.PathError{Op: "rename", Path: from, Err: os.ErrNotExist}
	}
	if err := f.checkSpace(Rename); err != nil {
		return err
	}
	delete(f.names, from)
	f.names[to] = n
	return nil
}

// Remove removes a file.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.checkSpace(Remove); err != nil {
		return err
	}
	delete(f.names, name)
	return nil
}

// List returns the file names in a folder in ascending order.
func (f *FS) List(folder string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for name := range f.names {
		if filepath.Dir(name) == folder {
			out = append(out, filepath.Base(name))
		}
	}
	slices.Sort(out)
	return out, nil
}

// SyncFolder makes the file names in a folder durable.
func (f *FS) SyncFolder(folder string) error {
	f.waitForSync()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.syncFails {
		return ErrInjected
	}
	if err := f.checkSpace(SyncFolder); err != nil {
		return err
	}
	inFolder := func(name string, _ *inode) bool { return filepath.Dir(name) == folder }
	maps.DeleteFunc(f.synced, inFolder)
	for name, n := range f.names {
		if inFolder(name, n) {
			f.synced[name] = n
		}
	}
	return nil
}

// file is an open file.
type file struct {
	fs            *FS
	inode         *inode
	crashesAtOpen int // FS.crashes when the file was opened
	offset        int
}

// lock locks the file system. It fails if a crash has occurred since the file was
// opened.
func (h *file) lock() (unlock func(), err error) {
	h.fs.mu.Lock()
	if h.crashesAtOpen != h.fs.crashes {
		h.fs.mu.Unlock()
		return nil, fmt.Errorf("%w: opened before a crash", ErrInjected)
	}
	return h.fs.mu.Unlock, nil
}

func (h *file) Read(b []byte) (int, error) {
	n, err := h.ReadAt(b, int64(h.offset))
	h.offset += n
	if n > 0 {
		err = nil
	}
	return n, err
}

func (h *file) ReadAt(b []byte, offset int64) (int, error) {
	unlock, err := h.lock()
	if err != nil {
		return 0, err
	}
	defer unlock()
	if offset >= int64(len(h.inode.data)) {
		return 0, io.EOF
	}
	n := copy(b, h.inode.data[offset:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (h *file) Write(b []byte) (int, error) {
	unlock, err := h.lock()
	if err != nil {
		return 0, err
	}
	defer unlock()
	if h.fs.writeFails {
		return 0, ErrInjected
	}
	if err := h.fs.checkSpace(Write); err != nil {
		return 0, err
	}
	n := len(b)
	if h.fs.free >= 0 {
		n = min(n, h.fs.free)
		h.fs.free -= n
	}
	h.inode.data = append(h.inode.data, b[:n]...)
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (h *file) Sync() error {
	h.fs.waitForSync()
	unlock, err := h.lock()
	if err != nil {
		return err
	}
	defer unlock()
	h.fs.syncs++
	if h.fs.syncFails {
		h.inode.data = slices.Clone(h.inode.synced)
		return ErrInjected
	}
	if err := h.fs.checkSpace(Sync); err != nil {
		h.inode.data = slices.Clone(h.inode.synced)
		return err
	}
	h.inode.synced = slices.Clone(h.inode.data)
	return nil
}

func (h *file) Truncate(size int64) error {
	unlock, err := h.lock()
	if err != nil {
		return err
	}
	defer unlock()
	if err := h.fs.checkSpace(Truncate); err != nil {
		return err
	}
	h.inode.data = h.inode.data[:size:size]
	return nil
}

func (h *file) Close() error { return nil }
