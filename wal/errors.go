package wal

import (
	"errors"
	"fmt"
	"syscall"
)

// Errors of a log.
var (
	// ErrDiskFull reports that nothing was appended because the disk is full.
	// Later appends may succeed.
	ErrDiskFull = errors.New("wal: disk full")
	// ErrFailed reports a failed write or sync. What the disk holds after it is
	// unknown, and a later sync may succeed without the lost data, so that every
	// later append fails too.
	ErrFailed = errors.New("wal: write or sync failed")
	// ErrTooLarge reports a record above MaxRecordBytes.
	ErrTooLarge = errors.New("wal: record exceeds the size limit")
	errClosed   = errors.New("wal: closed")
)

// CorruptError reports damage to records that had been durable.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error describes the damage and its place.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s is corrupt at byte %d: %s", e.File, e.Offset, e.Reason)
}

// IsDiskFull reports whether err is the answer of a full file system.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
