// Package wal implements a segmented append-only log of records. Append returns
// after the record is synced.
//
// When a log is opened, a record that a crash cut off at its end is dropped: it
// was never reported as durable. A damaged record that is followed by an intact
// one had been durable, so opening such a log fails with a CorruptError.
package wal
