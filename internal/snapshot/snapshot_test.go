package snapshot

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func sealed(t testing.TB, r Record) []byte {
	t.Helper()
	b, err := Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A record comes back as it was, and does not count where anything is wrong with it.
func TestOpen(t *testing.T) {
	const fleet, day = "gt-registros", 24 * time.Hour
	r := Record{Fleet: fleet, EventNumber: 41, CreatedAt: 100 * day, Endpoints: []byte(`{"no":41,"items":[]}`)}
	whole := sealed(t, r)
	if got, err := Decode(whole, fleet, 100*day+time.Hour, day); err != nil || got.EventNumber != 41 || !bytes.Equal(got.Endpoints, r.Endpoints) {
		t.Errorf("a whole record: %+v, %v", got, err)
	}
	next := bytes.Clone(whole)
	next[family] = '2'
	for _, c := range []struct {
		name  string
		b     []byte
		fleet string
		now   time.Duration
		want  error
	}{
		{"empty", nil, fleet, 100 * day, ErrIncomplete},
		{"another file", bytes.Repeat([]byte("x"), 100), fleet, 100 * day, ErrIncomplete},
		{"a later version", next, fleet, 100 * day, ErrVersion},
		{"another fleet", whole, "other", 100 * day, ErrWrongFleet},
		{"too old", whole, fleet, 102 * day, ErrExpired},
		{"made after now", whole, fleet, 99 * day, ErrFromFuture},
		{"too large", make([]byte, MaxSize+1), fleet, 100 * day, ErrTooLarge},
	} {
		if _, err := Decode(c.b, c.fleet, c.now, day); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	for n := range whole {
		if _, err := Decode(whole[:n], fleet, 100*day, day); err == nil {
			t.Errorf("cut off after %d of %d bytes it counts", n, len(whole))
		}
		bad := bytes.Clone(whole)
		bad[n] ^= 0x10
		if _, err := Decode(bad, fleet, 100*day, day); err == nil {
			t.Errorf("with byte %d changed it counts", n)
		}
	}
	if _, err := Encode(Record{Endpoints: make([]byte, MaxSize)}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a record that would not count is made: %v", err)
	}
}

// FuzzOpen reads any bytes: what counts is what Encode makes of it.
func FuzzOpen(f *testing.F) {
	f.Add(sealed(f, Record{Fleet: "a", EventNumber: 1, CreatedAt: time.Hour, Endpoints: []byte("{}")}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := Decode(b, "a", time.Hour, time.Hour); err == nil && r.Fleet != "a" {
			t.Errorf("%+v counts", r)
		}
	})
}

// Over any order of changes, slow writes and failures: one write at a time, none within a second of the last, and the
// last change is written in the end. Failures are told once.
func TestKeeper(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k Scheduler
		now, last := time.Hour, time.Duration(0)
		writing, told := false, false
		made, version := 0, 0 // of the list, and in the write that ended well last
		underWay := 0
		step := func(events ...Event) {
			for _, a := range k.Step(now, events...) {
				switch a := a.(type) {
				case Write:
					if writing || now-last < every {
						t.Fatalf("a write %v after the last, another under way: %v", now-last, writing)
					}
					writing, last, underWay = true, now, version
				case ReportStatus:
					if told == (a.Err != nil) {
						t.Fatalf("told twice: %v", a.Err)
					}
					told = a.Err != nil
				}
			}
		}
		end := func(err error) {
			writing = false
			if err == nil {
				made = underWay
			}
			step(Written{err})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			switch do := rapid.IntRange(0, 3).Draw(t, "do"); {
			case do == 0:
				version++
				step(Changed{})
			case do == 1 && writing:
				end(nil)
			case do == 2 && writing:
				end(errors.New("no space"))
			default:
				step()
			}
		}
		for range 10 {
			if writing {
				end(nil)
			}
			now += againMax
			step()
		}
		if made != version {
			t.Fatalf("list %d is kept, the last is %d", made, version)
		}
	})
}
