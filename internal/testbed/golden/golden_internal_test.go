package golden

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// A file is created together with its directory, and is not overwritten afterwards.
func TestCreateKeepsExistingFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "golden", "file")
	if err := create(path, []byte("first")); err != nil {
		t.Fatal(err)
	}
	if err := create(path, []byte("second")); !errors.Is(err, os.ErrExist) {
		t.Errorf("writing over a file: %v, want %v", err, os.ErrExist)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(content) != "first" {
		t.Errorf("content %q, want that of the first write", content)
	}
}
