package settings

import (
	"path/filepath"
	"testing"
)

// Guards against example settings that a node would reject.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*-*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("found no files ../examples/*/*-*.json, error %v; want the example settings", err)
	}
	for _, name := range files {
		if _, err := Load(name); err != nil {
			t.Error(err)
		}
	}
}
