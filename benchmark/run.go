package benchmark

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"
)

// Names of the files in the results folder of a run.
const (
	PoliciesFile = "policies.json"
	HopFile      = "hop.json"
	PathFile     = "path.json"
	GoFile       = "go.json"
	PageFile     = "README.md"
)

// Run records how figures were produced: when, with which command, and on which
// machine.
type Run struct {
	Date      time.Time `json:"date"`
	Command   string    `json:"command"`
	GoVersion string    `json:"go_version"`
	Platform  string    `json:"platform"`
	CPUs      int       `json:"cpus"`
	Seed      uint64    `json:"seed"`
	Note      string    `json:"note,omitempty"`
}

// NewRun returns the Run of this process with its command line, seed and a note for
// the page.
func NewRun(args []string, seed uint64, note string) Run {
	command := ""
	if len(args) > 0 {
		command = strings.Join(append([]string{filepath.Base(args[0])}, args[1:]...), " ")
	}
	return Run{
		Date: time.Now().UTC().Truncate(time.Second), Command: command, GoVersion: runtime.Version(),
		Platform: runtime.GOOS + "/" + runtime.GOARCH, CPUs: runtime.NumCPU(), Seed: seed, Note: note,
	}
}

// WriteJSON writes figures to a file in a results folder, which it creates if needed.
func WriteJSON(folder, name string, v any) error {
	data, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return fmt.Errorf("encode %s: %w", name, err)
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, name), append(data, '\n'), 0o644)
}

func readJSON(folder, name string, v any) error {
	data, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %s: %w", name, err)
	}
	return nil
}

// millis converts a duration to milliseconds with a resolution of 1 µs.
func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// micros converts nanoseconds to microseconds with one decimal.
func micros(nanos int64) float64 { return tenths(float64(nanos) / float64(time.Microsecond)) }

func tenths(v float64) float64 { return math.Round(v*10) / 10 }

func thousandths(v float64) float64 { return math.Round(v*1000) / 1000 }
