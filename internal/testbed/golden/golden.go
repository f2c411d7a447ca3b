// Package golden reads, compares and records the golden files of a package's tests. Only tests may import it, because it
// registers the flag -record.
//
// Golden files are in the directory testdata/golden of the package under test. Those of the wire and file formats were
// recorded once, by an earlier version, and prove that later versions read and write the same bytes. They must not be
// recorded again to make a test pass, so existing files are never overwritten.
package golden

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

var record = flag.Bool("record", false, "write the golden files that are missing")

// Recording reports whether -record is set: tests then write golden files instead of comparing with them.
func Recording() bool { return *record }

// Path returns the path of a golden file, relative to the directory of the package under test.
func Path(name string) string { return filepath.Join("testdata", "golden", name) }

// Read returns the content of a golden file. A missing file ends the test.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// Compare fails the test if got differs from the content of a golden file. With -record it writes the file, like Record.
func Compare(t *testing.T, name string, got []byte) {
	t.Helper()
	if Recording() {
		Record(t, name, got)
		return
	}
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%q\nwant\n%q", name, got, want)
	}
}

// Record writes a golden file. An existing file ends the test.
func Record(t *testing.T, name string, content []byte) {
	t.Helper()
	if err := create(Path(name), content); err != nil {
		t.Fatal(err)
	}
}

// create writes a new file and creates its directory if needed. It returns os.ErrExist if the file exists.
func create(path string, content []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return err
	}
	if _, err := file.Write(content); err != nil {
		return errors.Join(err, file.Close())
	}
	return file.Close()
}
