// Package golden reads, compares and records the golden files of a package's tests. It is for tests only: it adds the
// flag -record to the program that imports it.
//
// A golden file lies in the directory testdata/golden of the package under test. The files of the wire and file formats
// were recorded once, by an earlier version, and show that a later version reads and writes the same bytes. They are
// never recorded again to get a pass: a file that exists is not overwritten.
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

// Recording reports whether the tests run with -record, and write golden files instead of comparing with them.
func Recording() bool { return *record }

// Path returns the path of a golden file, relative to the directory of the package under test.
func Path(name string) string { return filepath.Join("testdata", "golden", name) }

// Read returns the content of a golden file, and ends the test if there is none.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// Compare fails the test if got is not the content of a golden file. Under -record it writes the file, as Record does.
func Compare(t *testing.T, name string, got []byte) {
	t.Helper()
	if Recording() {
		Record(t, name, got)
		return
	}
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: written as\n%q\nwant\n%q", name, got, want)
	}
}

// Record writes a golden file, and ends the test if the file exists.
func Record(t *testing.T, name string, content []byte) {
	t.Helper()
	if err := create(Path(name), content); err != nil {
		t.Fatal(err)
	}
}

// create writes a new file and its directory. The error of a file that exists is os.ErrExist.
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
