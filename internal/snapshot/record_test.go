package snapshot_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"calicohill/internal/snapshot"
)

// encode returns the encoded snapshot of a record.
func encode(tb testing.TB, r snapshot.Record) []byte {
	tb.Helper()
	data, err := snapshot.Encode(r)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// A snapshot must decode to the record that was encoded. Invalid, truncated and corrupted snapshots must be rejected.
func TestDecode(t *testing.T) {
	const fleet, day = "gt-registros", 24 * time.Hour
	record := snapshot.Record{Fleet: fleet, EventNumber: 41, CreatedAt: 100 * day, Endpoints: []byte(`{"no":41,"items":[]}`)}
	complete := encode(t, record)
	if got, err := snapshot.Decode(complete, fleet, 100*day+time.Hour, day); err != nil || got.EventNumber != 41 || !bytes.Equal(got.Endpoints, record.Endpoints) {
		t.Errorf("a complete record: %+v, %v", got, err)
	}
	nextVersion := bytes.Clone(complete)
	nextVersion[len(snapshot.FormatName)] = '2'
	for _, tt := range []struct {
		name  string
		data  []byte
		fleet string
		now   time.Duration
		want  error
	}{
		{"empty", nil, fleet, 100 * day, snapshot.ErrIncomplete},
		{"another file", bytes.Repeat([]byte("x"), 100), fleet, 100 * day, snapshot.ErrIncomplete},
		{"a later version", nextVersion, fleet, 100 * day, snapshot.ErrVersion},
		{"another fleet", complete, "other", 100 * day, snapshot.ErrWrongFleet},
		{"too old", complete, fleet, 102 * day, snapshot.ErrExpired},
		{"made after now", complete, fleet, 99 * day, snapshot.ErrFromFuture},
		{"too large", make([]byte, snapshot.MaxSize+1), fleet, 100 * day, snapshot.ErrTooLarge},
	} {
		if _, err := snapshot.Decode(tt.data, tt.fleet, tt.now, day); !errors.Is(err, tt.want) {
			t.Errorf("%s: %v, want %v", tt.name, err, tt.want)
		}
	}
	for n := range complete {
		if _, err := snapshot.Decode(complete[:n], fleet, 100*day, day); err == nil {
			t.Errorf("snapshot truncated to %d of %d bytes is accepted", n, len(complete))
		}
		damaged := bytes.Clone(complete)
		damaged[n] ^= 0x10
		if _, err := snapshot.Decode(damaged, fleet, 100*day, day); err == nil {
			t.Errorf("snapshot with byte %d changed is accepted", n)
		}
	}
	if _, err := snapshot.Encode(snapshot.Record{Endpoints: make([]byte, snapshot.MaxSize)}); !errors.Is(err, snapshot.ErrTooLarge) {
		t.Errorf("encoding a record that is too large: %v", err)
	}
}

// FuzzDecode decodes arbitrary bytes. A snapshot of another fleet must never be accepted.
func FuzzDecode(f *testing.F) {
	f.Add(encode(f, snapshot.Record{Fleet: "a", EventNumber: 1, CreatedAt: time.Hour, Endpoints: []byte("{}")}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := snapshot.Decode(b, "a", time.Hour, time.Hour); err == nil && r.Fleet != "a" {
			t.Errorf("%+v is accepted", r)
		}
	})
}
