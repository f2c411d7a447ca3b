package snapshot_test

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"reflect"
	"testing"
	"time"

	"calicohill/internal/snapshot"
	"calicohill/internal/snapshot/snapshottest"
	"calicohill/internal/testbed/golden"
	"calicohill/routing"

	"github.com/fxamacker/cbor/v2"
)

// The format of snapshots must not change: a record encodes to the golden bytes, and those decode to the record.
func TestGoldenRecord(t *testing.T) {
	for _, tt := range []struct {
		name   string
		record snapshot.Record
	}{
		{"full.snapshot", snapshottest.Record()},
		{"empty.snapshot", snapshot.Record{Fleet: snapshottest.Fleet, CreatedAt: snapshottest.Time}},
	} {
		encoded, err := snapshot.Encode(tt.record)
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, tt.name, encoded)
		decoded, err := snapshot.Decode(golden.Read(t, tt.name), snapshottest.Fleet, snapshottest.Time+time.Minute, snapshottest.MaxAge)
		if err != nil {
			t.Fatalf("%s: %v", tt.name, err)
		}
		if !reflect.DeepEqual(decoded, tt.record) {
			t.Errorf("%s: decoded as\n%+v\nwant\n%+v", tt.name, decoded, tt.record)
		}
	}
}

// Snapshots written by versions that did not save learned state must remain readable. Their learned state is empty.
func TestGoldenRecordWithoutLearnedState(t *testing.T) {
	const name = "without-memory.snapshot"
	if golden.Recording() {
		body, err := cbor.Marshal(map[int]any{1: snapshottest.Fleet, 2: 41, 3: snapshottest.Time, 4: []byte(snapshottest.EndpointList)})
		if err != nil {
			t.Fatal(err)
		}
		content := binary.BigEndian.AppendUint32([]byte("calicohill snapshot 1\n"),
			crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)))
		golden.Record(t, name, append(content, body...))
	}
	want := snapshottest.Record()
	want.State = routing.LearnedState{}
	got, err := snapshot.Decode(golden.Read(t, name), snapshottest.Fleet, snapshottest.Time, snapshottest.MaxAge)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read as\n%+v\nwant\n%+v", got, want)
	}
}

// Invalid snapshots must be rejected with these error texts.
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
		{complete[:10], snapshottest.Fleet, snapshottest.Time, "snapshot of 10 bytes: incomplete or damaged"},
		{damaged, snapshottest.Fleet, snapshottest.Time, "snapshot: checksum: incomplete or damaged"},
		{otherVersion, snapshottest.Fleet, snapshottest.Time, `snapshot "2": of another version`},
		{complete, "other", snapshottest.Time, `snapshot of "gt-registros": of another fleet`},
		{complete, snapshottest.Fleet, snapshottest.Time + 2*time.Hour, "snapshot of 2h0m0s ago: too old"},
		{complete, snapshottest.Fleet, snapshottest.Time - 2*time.Minute, "snapshot of 2m0s ahead: created in the future"},
		{make([]byte, snapshot.MaxSize+1), snapshottest.Fleet, snapshottest.Time, "snapshot of 6295553 bytes: too large"},
	} {
		if _, err := snapshot.Decode(tt.content, tt.fleet, tt.now, snapshottest.MaxAge); err == nil || err.Error() != tt.want {
			t.Errorf("error %v, want %s", err, tt.want)
		}
	}
}
