package node

import (
	"context"
	"log/slog"
	"net"
	"path/filepath"
	"testing"
)

// Guards against a failed start that leaves the data folder locked, or the proxy or
// listeners running. Another Go program that embeds the node could then not retry.
func TestFailedStartReleasesItsResources(t *testing.T) {
	f := newTestFleet(t, 0)
	f.addBackend()
	f.addSettings(0, []string{freePort(t)})
	s := f.settings[0]
	logger := slog.New(slog.DiscardHandler)

	s.RecordFile = filepath.Join(t.TempDir(), "missing", "records")
	if _, err := New(s, logger); err == nil {
		t.Fatal("New with a record file in a missing folder: no error, want one")
	}
	s.RecordFile = ""

	otherListener, err := net.Listen("tcp", s.AdminAddress)
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(s, logger)
	if err != nil {
		t.Fatalf("New after a failure to open the record file: error %v, want no error", err)
	}
	if err := n.Run(context.Background()); err == nil {
		t.Fatal("Run with an admin_address in use: no error, want one")
	}
	otherListener.Close()

	n, err = New(s, logger)
	if err != nil {
		t.Fatalf("New after a failure to open a listener: error %v, want no error", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	f.await("a connection to the caller address", func() bool {
		conn, err := net.Dial("tcp", s.CallerAddress)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
