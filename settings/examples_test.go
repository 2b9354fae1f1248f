package settings

import (
	"path/filepath"
	"testing"
)

// Guards against example settings that a node would reject.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*-*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("found no example settings, error %v", err)
	}
	for _, name := range files {
		if _, err := Load(name); err != nil {
			t.Error(err)
		}
	}
}
