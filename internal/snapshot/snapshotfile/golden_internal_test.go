package snapshotfile

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"calicohill/internal/discovery"
	"calicohill/internal/snapshot"
	"calicohill/internal/snapshot/snapshottest"
	"calicohill/internal/testbed/golden"
)

const goldenName = "workers.snapshot"

// writeGolden writes the golden record to a file in a new directory and returns its path.
func writeGolden(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), goldenName)
	r := snapshottest.Record()
	r.Endpoints = nil
	f := &File{options: Options{Path: path, Fleet: snapshottest.Fleet}}
	if err := f.write(r, func() ([]byte, error) { return []byte(snapshottest.EndpointList), nil }); err != nil {
		t.Fatal(err)
	}
	return path
}

// The content of a snapshot file must match the golden bytes. The file has mode 0600, and no temporary file is left.
func TestGoldenWrite(t *testing.T) {
	path := writeGolden(t)
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, goldenName, got)
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	if info.Mode() != 0o600 {
		t.Errorf("mode %v, want 0600", info.Mode())
	}
	entries, err := os.ReadDir(filepath.Dir(path))
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) != 1 {
		t.Errorf("directory contains %v, want only the snapshot file", entries)
	}
}

// Reading the golden file must return the endpoint list and the learned state that it was created from.
func TestGoldenRead(t *testing.T) {
	got, err := Read(golden.Path(goldenName), snapshottest.Fleet, snapshottest.Time+time.Minute, snapshottest.MaxAge)
	if err != nil {
		t.Fatal(err)
	}
	if want := snapshottest.Record(); !reflect.DeepEqual(got, want) {
		t.Errorf("read as\n%+v\nwant\n%+v", got, want)
	}
	if err := discovery.ValidateKnown(got.Endpoints, []string{"az-a", "az-b"}, []string{"m5", "m6"}); err != nil {
		t.Errorf("invalid endpoint list: %v", err)
	}
}

// A truncated file must be rejected with a fixed error text and renamed with the suffix ".aside".
func TestGoldenTruncated(t *testing.T) {
	path := filepath.Join(t.TempDir(), goldenName)
	truncated := golden.Read(t, goldenName)[:100]
	if err := os.WriteFile(path, truncated, 0o600); err != nil {
		t.Fatal(err)
	}
	const want = "snapshot: checksum: incomplete or damaged"
	if _, err := Read(path, snapshottest.Fleet, snapshottest.Time, snapshottest.MaxAge); err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
	if moved, err := os.ReadFile(path + ".aside"); err != nil || !bytes.Equal(moved, truncated) {
		t.Errorf("renamed file: %q, %v", moved, err)
	}
	if got, err := Read(path, snapshottest.Fleet, snapshottest.Time, snapshottest.MaxAge); err != nil || !reflect.DeepEqual(got, snapshot.Record{}) {
		t.Errorf("reading a missing file: %+v, %v", got, err)
	}
}
