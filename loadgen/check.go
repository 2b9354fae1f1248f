package loadgen

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"bramleymill/standin"
)

// Check counts the outcomes of a run by verdict, and the violations that a
// comparison with the execution records of the backend servers found.
type Check struct {
	Sent, Answered, NotRun, Rejected, Unknown int64
	Lost                                      int64 // work that was answered but never started, or that has no verdict
	Doubled                                   int64 // non-idempotent work that was started more than once
	// FalseRefusals counts non-idempotent work that was sent once and refused as not
	// run although it was started.
	FalseRefusals int64
	Mixed         int64 // answers that contained bytes of another request
	Examples      []string
}

// ReadExecutions reads the record files (*.records) of a folder and returns how
// many executions were started for each work id.
func ReadExecutions(folder string) (map[string]int, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.records"))
	if err != nil {
		return nil, err
	}
	started := map[string]int{}
	for _, name := range files {
		if err := countExecutions(name, started); err != nil {
			return nil, fmt.Errorf("count executions in %s: %w", name, err)
		}
	}
	return started, nil
}

func countExecutions(name string, started map[string]int) error {
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

// maxExamples bounds the number of violations that a Check describes.
const maxExamples = 10

// Verify compares every outcome with the number of executions that were started
// for its work id. started is the result of ReadExecutions. An answer with an
// error status needs no execution, since a backend server may refuse work before
// it starts it. NotRun for a request that was sent more than once is no
// violation, because an earlier attempt of it may have been started.
func Verify(outcomes []Outcome, started map[string]int) Check {
	var c Check
	for _, o := range outcomes {
		c.Sent++
		executions := started[o.WorkID]
		if !o.Idempotent && executions > 1 {
			c.Doubled++
			c.addExample(o, "started %d times", executions)
		}
		switch o.Verdict {
		case Answered:
			c.Answered++
			if executions == 0 && o.Error == "" {
				c.Lost++
				c.addExample(o, "answered but not started")
			}
		case NotRun:
			c.NotRun++
			if executions > 0 && o.Sent == 1 && !o.Idempotent {
				c.FalseRefusals++
				c.addExample(o, "the answer says that the request did not run, but it started %d times", executions)
			}
		case Rejected:
			c.Rejected++
		case Unknown:
			c.Unknown++
		case Mixed:
			c.Mixed++
			c.addExample(o, "answer contains bytes of another request")
		default:
			c.Lost++
			c.addExample(o, "no verdict")
		}
	}
	return c
}

func (c *Check) addExample(o Outcome, format string, args ...any) {
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, o.WorkID+": "+fmt.Sprintf(format, args...))
	}
}

// Passed reports whether there is no violation: no work was lost or doubled, no
// refusal was false, and no answer contained bytes of another request.
func (c *Check) Passed() bool {
	return c.Lost == 0 && c.Doubled == 0 && c.FalseRefusals == 0 && c.Mixed == 0
}

// SummaryLine returns the counts of a run on one line in a fixed format.
func (c *Check) SummaryLine() string {
	return fmt.Sprintf("demo: sent=%d answered=%d not_run=%d unknown=%d lost=%d doubled=%d",
		c.Sent, c.Answered, c.NotRun, c.Unknown, c.Lost, c.Doubled)
}

// Violations returns descriptions of the first violations, one per line.
func (c *Check) Violations() string { return strings.Join(c.Examples, "\n") }
