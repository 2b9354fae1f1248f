package replica

import (
	"context"
	"io"
	"time"
)

// StateMachine is replicated by a group. Apply must be deterministic: its effect and
// result may depend only on its arguments and on earlier calls.
type StateMachine interface {
	// Apply executes one committed command. at is the time that the leader recorded
	// in the log entry; it never decreases from entry to entry.
	Apply(index uint64, at time.Time, command []byte) (result []byte)
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}

// SnapshotStreamer is implemented by a StateMachine whose state is large. Its
// snapshots are written without being held in memory as a whole.
type SnapshotStreamer interface {
	// SnapshotStream returns a function that writes the bytes that Snapshot would
	// return at the time of this call. The function may be called several times,
	// also while commands are applied, and writes the same bytes each time.
	SnapshotStream() func(w io.Writer) error
}

// Proposer replicates commands. Group and Remote implement it.
type Proposer interface {
	// Propose replicates command and returns the result of applying it. An error of
	// a kind with the outcome not run, overloaded or rejected, such as
	// ControlUnavailable, proves that the command was not proposed. After any other
	// error the command may or may not be applied. Commands therefore carry ids that
	// make it harmless to apply them twice.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
}
