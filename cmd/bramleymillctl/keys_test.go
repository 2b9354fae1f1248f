package main

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"bramleymill/keys"
)

func execute(args ...string) error {
	c := newRootCommand()
	c.SetArgs(args)
	c.SetOut(io.Discard)
	return c.Execute()
}

// Guards against a missing key after "keys fleet". Also guards against a second run that
// replaces the authority, or that replaces a key without --overwrite.
func TestKeysFleet(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "keys")
	if err := execute("keys", "fleet", "--folder", folder, "control-1:control", "katalog-1", "anna:operator"); err != nil {
		t.Fatal(err)
	}
	for name, role := range map[string]string{"control-1": "control", "katalog-1": "node", "anna": "operator"} {
		s, err := keys.Load(keys.Config{Files: keys.Files{Authority: filepath.Join(folder, keys.AuthorityFile),
			Certificate: filepath.Join(folder, name+".pem"), PrivateKey: filepath.Join(folder, name+".key")}})
		if err != nil {
			t.Fatal(err)
		}
		if n, r := s.Self(); string(n) != name || string(r) != role {
			t.Errorf("certificate of %s: name %s, role %s; want that name, and the role stated to keys fleet (control-1: control, katalog-1: node, anna: operator)", name, n, r)
		}
	}
	authority, err := os.ReadFile(filepath.Join(folder, keys.AuthorityFile))
	if err != nil {
		t.Fatal(err)
	}
	if err := execute("keys", "fleet", "--folder", folder, "katalog-1"); err == nil {
		t.Error("second run without --overwrite: no error, want an error for the existing key")
	}
	if err := execute("keys", "fleet", "--folder", folder, "--overwrite", "katalog-1", "katalog-2"); err != nil {
		t.Error(err)
	}
	after, err := os.ReadFile(filepath.Join(folder, keys.AuthorityFile))
	if err != nil || string(after) != string(authority) {
		t.Errorf("authority file after the second run: it changed or is not readable, error %v, want the same content", err)
	}
	for _, step := range []string{"trust", "reissue", "drop"} {
		if err := execute("keys", "rotate", step, "--folder", folder); err != nil {
			t.Errorf("keys rotate %s: error %v, want no error", step, err)
		}
	}
}
