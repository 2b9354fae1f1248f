package wal

import (
	"errors"
	"fmt"
	"syscall"
)

// Errors of a log.
var (
	// ErrDiskFull reports that a record was not appended because the disk is full.
	// Later appends may succeed.
	ErrDiskFull = errors.New("wal: disk full")
	// ErrFailed reports a failed write or sync. The content of the disk is then
	// unknown, and a later sync may succeed although the data of the failed one are
	// lost. Every later append therefore fails too.
	ErrFailed = errors.New("wal: write or sync failed")
	// ErrTooLarge reports a record larger than MaxRecordBytes.
	ErrTooLarge = errors.New("wal: record exceeds the size limit")
	errClosed   = errors.New("wal: log is closed")
)

// CorruptError reports damage to records that had been durable.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error describes the damage and its location.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s is corrupt at byte %d: %s", e.File, e.Offset, e.Reason)
}

// IsDiskFull reports whether err means that the file system is full or a disk
// quota is exhausted.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
