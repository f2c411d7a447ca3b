package golden

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// Guards against golden files being overwritten, and against a missing directory when the first one is recorded.
func TestCreateKeepsExistingFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "golden", "file")
	if err := create(path, []byte("first")); err != nil {
		t.Fatal(err)
	}
	if err := create(path, []byte("second")); !errors.Is(err, os.ErrExist) {
		t.Errorf("overwriting a file: %v, want %v", err, os.ErrExist)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(content) != "first" {
		t.Errorf("content %q, want the content of the first write", content)
	}
}
