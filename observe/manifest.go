package observe

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Target is one node to observe.
type Target struct {
	Name    string
	Control bool // a control instance
	PID     int
	Metrics string // address of the metrics listener
	Log     string // path of the log file
}

// ReadManifest reads targets from a file with one line for each node: name, role
// (node or control), process id, metrics address and log file, separated by spaces.
func ReadManifest(path string) ([]Target, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read manifest: %w", err)
	}
	defer f.Close()
	var out []Target
	for s := bufio.NewScanner(f); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) != 5 {
			return nil, fmt.Errorf("read manifest: line %d does not have the 5 fields name, role, process id, metrics address and log file", len(out)+1)
		}
		pid, err := strconv.Atoi(fields[2])
		if err != nil {
			return nil, fmt.Errorf("read manifest: parse process id in line %d: %w", len(out)+1, err)
		}
		out = append(out, Target{fields[0], fields[1] == "control", pid, fields[3], fields[4]})
	}
	return out, nil
}
