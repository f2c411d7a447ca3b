package snapshot

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

// encode returns the snapshot of a record.
func encode(t testing.TB, r Record) []byte {
	t.Helper()
	data, err := Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A snapshot decodes to the record that was encoded, and is rejected where anything is wrong with it.
func TestDecode(t *testing.T) {
	const fleet, day = "gt-registros", 24 * time.Hour
	record := Record{Fleet: fleet, EventNumber: 41, CreatedAt: 100 * day, Endpoints: []byte(`{"no":41,"items":[]}`)}
	complete := encode(t, record)
	if got, err := Decode(complete, fleet, 100*day+time.Hour, day); err != nil || got.EventNumber != 41 || !bytes.Equal(got.Endpoints, record.Endpoints) {
		t.Errorf("a complete record: %+v, %v", got, err)
	}
	nextVersion := bytes.Clone(complete)
	nextVersion[len(formatName)] = '2'
	for _, tt := range []struct {
		name  string
		data  []byte
		fleet string
		now   time.Duration
		want  error
	}{
		{"empty", nil, fleet, 100 * day, ErrIncomplete},
		{"another file", bytes.Repeat([]byte("x"), 100), fleet, 100 * day, ErrIncomplete},
		{"a later version", nextVersion, fleet, 100 * day, ErrVersion},
		{"another fleet", complete, "other", 100 * day, ErrWrongFleet},
		{"too old", complete, fleet, 102 * day, ErrExpired},
		{"made after now", complete, fleet, 99 * day, ErrFromFuture},
		{"too large", make([]byte, MaxSize+1), fleet, 100 * day, ErrTooLarge},
	} {
		if _, err := Decode(tt.data, tt.fleet, tt.now, day); !errors.Is(err, tt.want) {
			t.Errorf("%s: %v, want %v", tt.name, err, tt.want)
		}
	}
	for n := range complete {
		if _, err := Decode(complete[:n], fleet, 100*day, day); err == nil {
			t.Errorf("cut off after %d of %d bytes it is accepted", n, len(complete))
		}
		damaged := bytes.Clone(complete)
		damaged[n] ^= 0x10
		if _, err := Decode(damaged, fleet, 100*day, day); err == nil {
			t.Errorf("with byte %d changed it is accepted", n)
		}
	}
	if _, err := Encode(Record{Endpoints: make([]byte, MaxSize)}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a record that Decode would reject is encoded: %v", err)
	}
}

// FuzzDecode decodes arbitrary bytes: a snapshot of another fleet is never accepted.
func FuzzDecode(f *testing.F) {
	f.Add(encode(f, Record{Fleet: "a", EventNumber: 1, CreatedAt: time.Hour, Endpoints: []byte("{}")}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := Decode(b, "a", time.Hour, time.Hour); err == nil && r.Fleet != "a" {
			t.Errorf("%+v is accepted", r)
		}
	})
}
