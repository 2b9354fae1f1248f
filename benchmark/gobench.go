package benchmark

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// GoBenchmark is one result of "go test -bench". N is the number of iterations.
// Metrics maps each unit, such as ns/op or allocs/op, to its value.
type GoBenchmark struct {
	Package string             `json:"package"`
	Name    string             `json:"name"`
	N       int                `json:"n"`
	Metrics map[string]float64 `json:"metrics"`
}

// GoBenchmarks is the content of the results file GoFile.
type GoBenchmarks struct {
	Run     Run           `json:"run"`
	Results []GoBenchmark `json:"results"`
}

// ParseGoBenchmarks parses the output of "go test -bench" for one or more packages,
// including custom units. It returns an error if a package failed or if there are no
// results.
func ParseGoBenchmarks(r io.Reader) ([]GoBenchmark, error) {
	var out []GoBenchmark
	pkg := ""
	in := bufio.NewScanner(r)
	for in.Scan() {
		line := in.Text()
		if rest, ok := strings.CutPrefix(line, "pkg: "); ok {
			pkg = rest
			continue
		}
		if strings.HasPrefix(line, "FAIL") || strings.HasPrefix(line, "--- FAIL") {
			return nil, fmt.Errorf("benchmarks failed: %s", line)
		}
		fields := strings.Fields(line)
		if len(fields) < 4 || !strings.HasPrefix(line, "Benchmark") {
			continue
		}
		b, err := parseGoBenchmark(fields)
		if err != nil {
			return nil, fmt.Errorf("parse benchmark line %q: %w", line, err)
		}
		b.Package = pkg
		out = append(out, b)
	}
	if err := in.Err(); err != nil {
		return nil, err
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("output contains no benchmark results")
	}
	return out, nil
}

func parseGoBenchmark(fields []string) (GoBenchmark, error) {
	b := GoBenchmark{Name: trimProcs(fields[0]), Metrics: map[string]float64{}}
	n, err := strconv.Atoi(fields[1])
	if err != nil {
		return b, err
	}
	b.N = n
	for i := 2; i+1 < len(fields); i += 2 {
		v, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return b, err
		}
		b.Metrics[fields[i+1]] = v
	}
	return b, nil
}

// trimProcs removes the prefix "Benchmark" and the suffix "-N" with the number of
// processors that go test appends.
func trimProcs(name string) string {
	name = strings.TrimPrefix(name, "Benchmark")
	if i := strings.LastIndexByte(name, '-'); i > 0 {
		if _, err := strconv.Atoi(name[i+1:]); err == nil {
			return name[:i]
		}
	}
	return name
}
