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
	"calicohill/internal/testbed/golden"
	"calicohill/routing"
)

const (
	goldenFleet = "gt-registros"
	goldenTime  = 1_790_000_000 * time.Second // Unix time of the golden records
	goldenAge   = time.Hour                   // maximum age of a record
)

// goldenFeed is an endpoint list in the form of an answer of the list service.
const goldenFeed = `{"no":41,"items":[{"no":41,"roster":{"all":true,"targets":[` +
	`{"uid":"w-1","endpoint":"127.0.0.1:9001","az":"az-a","model":"m5","pod_group":1,"state":"SERVING",` +
	`"capacity_hint":1.5,"boot_ms":1789990000000},` +
	`{"uid":"w-2","endpoint":"[::1]:9002","az":"az-b","model":"m6","pod_group":0,"state":"DRAINING",` +
	`"capacity_hint":null,"boot_ms":1789990000250.5}]}}]}`

// goldenRecord returns the endpoint list and the learned state that the golden files hold.
func goldenRecord() snapshot.Record {
	return snapshot.Record{Fleet: goldenFleet, EventNumber: 41, CreatedAt: goldenTime, Endpoints: []byte(goldenFeed), State: routing.LearnedState{
		CapturedAt:          goldenTime - 250*time.Millisecond,
		RequestWeight:       1234.5678,
		ThroughputPerWeight: 17.25,
		MeanPressure:        0.1,
		Functions: []routing.LearnedFunction{
			{
				Name: "resize", Class: 1, Concurrency: 4, RequestWeight: 1000.125, ServiceTimeExcess: -0.037, LoadTime: 1500 * time.Millisecond,
				Instances: []routing.LearnedInstance{
					{WorkerIndex: 0, LastWarm: goldenTime - time.Second, Count: 2},
					{WorkerIndex: 1, LastWarm: goldenTime - 7*time.Second, Count: 1},
				},
			},
			{Name: "förhandsvisning", Class: 0, Concurrency: 0, RequestWeight: 1e-9, ServiceTimeExcess: 1e21, LoadTime: 0},
		},
		Workers: []routing.LearnedWorker{
			{ID: "w-1", Started: 1_789_990_000 * time.Second, PressureExcess: -0.5, LatencyExcess: 0.3333333333333333},
			{ID: "w-2", Started: 1_789_990_000*time.Second + 250500*time.Microsecond, PressureExcess: 2, LatencyExcess: 0},
		},
	}}
}

const goldenName = "workers.snapshot"

// writeGolden has a File write the golden record to a new directory, and returns the path.
func writeGolden(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), goldenName)
	r := goldenRecord()
	r.Endpoints = nil
	f := &File{path: path, fleet: goldenFleet}
	if err := f.write(r, func() ([]byte, error) { return []byte(goldenFeed), nil }); err != nil {
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
	got, err := Read(golden.Path(goldenName), goldenFleet, goldenTime+time.Minute, goldenAge)
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenRecord(); !reflect.DeepEqual(got, want) {
		t.Errorf("read as\n%+v\nwant\n%+v", got, want)
	}
	if err := discovery.ValidateKnown(got.Endpoints, []string{"az-a", "az-b"}, []string{"m5", "m6"}); err != nil {
		t.Errorf("the list in it: %v", err)
	}
}

// A golden file that is cut off is an error of a known text, and is set aside under a known name.
func TestGoldenTorn(t *testing.T) {
	path := filepath.Join(t.TempDir(), goldenName)
	torn := golden.Read(t, goldenName)[:100]
	if err := os.WriteFile(path, torn, 0o600); err != nil {
		t.Fatal(err)
	}
	const want = "snapshot: checksum: not whole"
	if _, err := Read(path, goldenFleet, goldenTime, goldenAge); err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
	if aside, err := os.ReadFile(path + ".aside"); err != nil || !bytes.Equal(aside, torn) {
		t.Errorf("set aside: %q, %v", aside, err)
	}
	if got, err := Read(path, goldenFleet, goldenTime, goldenAge); err != nil || !reflect.DeepEqual(got, snapshot.Record{}) {
		t.Errorf("without a file: %+v, %v", got, err)
	}
}
