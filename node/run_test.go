package node

import (
	"context"
	"log/slog"
	"net"
	"path/filepath"
	"testing"
)

// Guards against a failed start that keeps the data folder locked or its proxy
// and listeners running, when another Go program embeds the node and tries again.
func TestFailedStartReleasesItsResources(t *testing.T) {
	f := newTestFleet(t, 0)
	f.addBackend()
	f.addSettings(0, []string{freePort(t)})
	s := f.settings[0]
	logger := slog.New(slog.DiscardHandler)

	s.RecordFile = filepath.Join(t.TempDir(), "missing", "records")
	if _, err := New(s, logger); err == nil {
		t.Fatal("a record file in a missing folder was accepted")
	}
	s.RecordFile = ""

	taken, err := net.Listen("tcp", s.AdminAddress)
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(s, logger)
	if err != nil {
		t.Fatalf("after a record file that cannot be opened: %v", err)
	}
	if err := n.Run(context.Background()); err == nil {
		t.Fatal("started although admin_address is taken")
	}
	taken.Close()

	n, err = New(s, logger)
	if err != nil {
		t.Fatalf("after a listener that cannot be opened: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	f.await("caller address", func() bool {
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
