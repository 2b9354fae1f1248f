// Package wal is a segmented append-only log of records. An append returns after
// the record is synced.
//
// A record that a crash cut off at the end of the log is dropped when the log is
// opened: it was never reported as durable. A damaged record that is followed by
// a whole one was durable, and opening the log fails with a CorruptError.
package wal
