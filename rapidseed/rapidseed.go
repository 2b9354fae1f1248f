// Package rapidseed sets a fixed seed for property tests that use
// pgregory.net/rapid, so that each run of a test has the same result.
package rapidseed

import (
	"flag"
	"fmt"
	"testing"
)

// Run runs the tests of a package with the fixed seed and without failure files of
// rapid. TestMain calls it and exits with the code that it returns.
func Run(m *testing.M) int {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(fmt.Sprintf("set %s: %v", name, err))
		}
	}
	return m.Run()
}
