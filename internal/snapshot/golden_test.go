package snapshot

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"reflect"
	"testing"
	"time"

	"calicohill/internal/testbed/golden"
	"calicohill/routing"

	"github.com/fxamacker/cbor/v2"
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
func goldenRecord() Record {
	return Record{Fleet: goldenFleet, EventNumber: 41, CreatedAt: goldenTime, Endpoints: []byte(goldenFeed), State: routing.LearnedState{
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

// A record is encoded to the golden bytes, and the golden bytes decode to the record.
func TestGoldenRecord(t *testing.T) {
	for _, tt := range []struct {
		name   string
		record Record
	}{
		{"full.snapshot", goldenRecord()},
		{"empty.snapshot", Record{Fleet: goldenFleet, CreatedAt: goldenTime}},
	} {
		encoded, err := Encode(tt.record)
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, tt.name, encoded)
		decoded, err := Decode(golden.Read(t, tt.name), goldenFleet, goldenTime+time.Minute, goldenAge)
		if err != nil {
			t.Fatalf("%s: %v", tt.name, err)
		}
		if !reflect.DeepEqual(decoded, tt.record) {
			t.Errorf("%s: read as\n%+v\nwant\n%+v", tt.name, decoded, tt.record)
		}
	}
}

// A record of a version that kept no learned state is read, with the learned state empty.
func TestGoldenRecordWithoutMemory(t *testing.T) {
	const name = "without-memory.snapshot"
	if golden.Recording() {
		body, err := cbor.Marshal(map[int]any{1: goldenFleet, 2: 41, 3: goldenTime, 4: []byte(goldenFeed)})
		if err != nil {
			t.Fatal(err)
		}
		content := binary.BigEndian.AppendUint32([]byte("calicohill snapshot 1\n"),
			crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)))
		golden.Record(t, name, append(content, body...))
	}
	want := goldenRecord()
	want.State = routing.LearnedState{}
	got, err := Decode(golden.Read(t, name), goldenFleet, goldenTime, goldenAge)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read as\n%+v\nwant\n%+v", got, want)
	}
}

// The error texts of golden bytes that do not count.
func TestGoldenErrors(t *testing.T) {
	complete := golden.Read(t, "full.snapshot")
	damaged := bytes.Clone(complete)
	damaged[len(damaged)-1] ^= 1
	otherVersion := bytes.Replace(complete, []byte("snapshot 1"), []byte("snapshot 2"), 1)
	for _, tt := range []struct {
		content []byte
		fleet   string
		now     time.Duration
		want    string
	}{
		{complete[:10], goldenFleet, goldenTime, "snapshot of 10 bytes: not whole"},
		{damaged, goldenFleet, goldenTime, "snapshot: checksum: not whole"},
		{otherVersion, goldenFleet, goldenTime, `snapshot "2": of another version`},
		{complete, "other", goldenTime, `snapshot of "gt-registros": of another fleet`},
		{complete, goldenFleet, goldenTime + 2*time.Hour, "snapshot of 2h0m0s ago: too old"},
		{complete, goldenFleet, goldenTime - 2*time.Minute, "snapshot of 2m0s ahead: of a time to come"},
		{make([]byte, MaxSize+1), goldenFleet, goldenTime, "snapshot of 6295553 bytes: too large"},
	} {
		if _, err := Decode(tt.content, tt.fleet, tt.now, goldenAge); err == nil || err.Error() != tt.want {
			t.Errorf("error %v, want %s", err, tt.want)
		}
	}
}
