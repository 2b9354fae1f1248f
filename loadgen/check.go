package loadgen

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"bramleymill/standin"
)

// Check compares outcomes with the execution records of the backend servers.
type Check struct {
	Sent, Answered, NotRun, Rejected, Unknown int64
	Lost                                      int64 // answered without an execution, or without any verdict
	Doubled                                   int64 // non-idempotent work that was started more than once
	FalseRefusals                             int64 // refused as not run although it was started and nothing is unknown
	Mixed                                     int64
	Examples                                  []string
}

// ReadExecutions counts the started executions of each work id in the record
// files of a folder.
func ReadExecutions(folder string) (map[string]int, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.records"))
	if err != nil {
		return nil, err
	}
	started := map[string]int{}
	for _, name := range files {
		if err := readFile(name, started); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return started, nil
}

func readFile(name string, started map[string]int) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	recs, err := standin.ReadRecords(f)
	if err != nil {
		return err
	}
	for _, r := range recs {
		if r.Event == standin.Started {
			started[r.WorkID]++
		}
	}
	return nil
}

// maxExamples bounds how many violations are printed.
const maxExamples = 10

// Verify judges every outcome against the executions.
func Verify(outcomes []Outcome, started map[string]int) Check {
	var c Check
	for _, o := range outcomes {
		c.Sent++
		runs := started[o.WorkID]
		if !o.Idempotent && runs > 1 {
			c.Doubled++
			c.example(o, "started %d times", runs)
		}
		switch o.Verdict {
		case Answered:
			c.Answered++
			if runs == 0 && o.Error == "" {
				c.Lost++
				c.example(o, "answered but never started")
			}
		case NotRun:
			c.NotRun++
			if runs > 0 && o.Sent == 1 && !o.Idempotent {
				c.FalseRefusals++
				c.example(o, "refused as not run but started %d times", runs)
			}
		case Rejected:
			c.Rejected++
		case Unknown:
			c.Unknown++
		case Mixed:
			c.Mixed++
			c.example(o, "answer of another request")
		default:
			c.Lost++
			c.example(o, "no verdict")
		}
	}
	return c
}

func (c *Check) example(o Outcome, format string, args ...any) {
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, o.WorkID+": "+fmt.Sprintf(format, args...))
	}
}

// Passed reports whether no promise was broken.
func (c *Check) Passed() bool {
	return c.Lost == 0 && c.Doubled == 0 && c.FalseRefusals == 0 && c.Mixed == 0
}

// Line is the closing line of a run.
func (c *Check) Line() string {
	return fmt.Sprintf("demo: sent=%d answered=%d not_run=%d unknown=%d lost=%d doubled=%d",
		c.Sent, c.Answered, c.NotRun, c.Unknown, c.Lost, c.Doubled)
}

// Violations lists examples of broken promises, one a line.
func (c *Check) Violations() string { return strings.Join(c.Examples, "\n") }
