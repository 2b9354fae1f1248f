package class

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against example class documents that are refused as invalid.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*/classes.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("found no class document of an example, error %v", err)
	}
	for _, name := range files {
		b, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(b); err != nil {
			t.Errorf("parse %s:\n%v", name, err)
		}
	}
}
