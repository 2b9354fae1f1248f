package observe

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Guards against reading the wrong fields of /proc/PID/stat if the command name in it
// contains spaces and parentheses.
func TestParseStat(t *testing.T) {
	stat := "7 (a (b) c) S 1 7 7 0 -1 4194560 1 2 3 4 150 50 0 0 20 0 10 0 100"
	p, err := parseStat([]byte(stat))
	if err != nil || p.CPU != 2*time.Second {
		t.Fatalf("processor time of 150 user and 50 system ticks = %v, error = %v, want 2s and no error", p.CPU, err)
	}
}

func TestReadOwnProcess(t *testing.T) {
	p, err := ReadProcess(os.Getpid())
	if err != nil || p.Resident < 1<<20 {
		t.Fatalf("usage of this process = %+v, error = %v, want at least 1 MiB of resident memory and no error", p, err)
	}
}

func TestParseMetricsSumsLabels(t *testing.T) {
	m, err := parseMetrics(strings.NewReader("# HELP a b\na{x=\"1 2\"} 3\na{x=\"2\"} 4.5\nb 1e+06\n"))
	if err != nil || m["a"] != 7.5 || m["b"] != 1e6 {
		t.Fatalf("metrics summed over their labels = %v, error = %v, want a = 7.5, b = 1e+06 and no error", m, err)
	}
}

// Guards against counting a change as complete although one node did not log it.
func TestSpread(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) Target {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return Target{Name: name, Log: path}
	}
	a := write("a", `time=2026-12-04T07:00:00.100Z level=INFO msg="configuration in force" node=a version=2 classes=1
time=2026-12-04T07:00:01.000Z level=INFO msg="configuration in force" node=a version=3 classes=1
`)
	b := write("b", `time=2026-12-04T07:00:00.350Z level=INFO msg="configuration in force" node=b version=2 classes=1
`)
	s, err := ReadSpread([]Target{a, b}, 1)
	if err != nil {
		t.Fatal(err)
	}
	if s.Changes != 2 || s.Incomplete != 1 || s.MaxMillis != 250 {
		t.Fatalf("spread of versions 2 and 3, where node b did not log version 3 = %+v, want 2 changes, 1 of them incomplete, and a largest delay of 250 ms", s)
	}
}
