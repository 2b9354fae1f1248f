package replica

import (
	"context"
	"io"
	"time"
)

// StateMachine is replicated by a group. Apply must be deterministic: it depends
// only on its arguments and earlier calls.
type StateMachine interface {
	// Apply executes one committed command. at is the time that the leader
	// stamped into the log entry; it never decreases.
	Apply(index uint64, at time.Time, command []byte) (result []byte)
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(snapshot []byte) error
}

// Streamer is implemented by a StateMachine whose state is large. A snapshot of it
// is written without holding it in memory.
type SnapshotStreamer interface {
	// SnapshotStream returns a function that writes what Snapshot returns now. It
	// may be called several times, also while commands are applied, and writes
	// the same bytes each time.
	SnapshotStream() func(w io.Writer) error
}

// Proposer replicates commands. Group and the remote client of a group implement it.
type Proposer interface {
	// Propose returns the result of applying command. An error whose kind has the
	// outcome not run, overloaded or rejected, such as ControlUnavailable, proves
	// that the command was not proposed. Any other error leaves open whether it
	// will be applied, so that commands carry ids that make repeating them harmless.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
}
