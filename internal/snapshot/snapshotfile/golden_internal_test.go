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

// writeGolden has a File write the golden record to a new directory, and returns the path.
func writeGolden(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), goldenName)
	r := snapshottest.Record()
	r.Endpoints = nil
	f := &File{options: Options{Path: path, Fleet: snapshottest.Fleet}}
	if err := f.write(r, func() ([]byte, error) { return []byte(snapshottest.Feed), nil }); err != nil {
		t.Fatal(err)
	}
	return path
}

// A snapshot file is written as the golden bytes, with mode 0600 and nothing beside it.
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
		t.Errorf("beside the file: %v", entries)
	}
}

// The golden file is read as the endpoint list and the learned state that it was made of.
func TestGoldenRead(t *testing.T) {
	got, err := Read(golden.Path(goldenName), snapshottest.Fleet, snapshottest.Time+time.Minute, snapshottest.MaxAge)
	if err != nil {
		t.Fatal(err)
	}
	if want := snapshottest.Record(); !reflect.DeepEqual(got, want) {
		t.Errorf("read as\n%+v\nwant\n%+v", got, want)
	}
	if err := discovery.ValidateKnown(got.Endpoints, []string{"az-a", "az-b"}, []string{"m5", "m6"}); err != nil {
		t.Errorf("the list in it: %v", err)
	}
}

// A golden file that is cut off gives a known error text, and is set aside under a known name.
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
		t.Errorf("set aside: %q, %v", moved, err)
	}
	if got, err := Read(path, snapshottest.Fleet, snapshottest.Time, snapshottest.MaxAge); err != nil || !reflect.DeepEqual(got, snapshot.Record{}) {
		t.Errorf("without a file: %+v, %v", got, err)
	}
}
