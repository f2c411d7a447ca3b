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
	b, err := Seal(r)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A record comes back as it was, and does not count where anything is wrong with it.
func TestOpen(t *testing.T) {
	const fleet, day = "gt-registros", 24 * time.Hour
	r := Record{Fleet: fleet, No: 41, At: 100 * day, Feed: []byte(`{"no":41,"items":[]}`)}
	whole := sealed(t, r)
	if got, err := Open(whole, fleet, 100*day+time.Hour, day); err != nil || got.No != 41 || !bytes.Equal(got.Feed, r.Feed) {
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
		{"empty", nil, fleet, 100 * day, ErrTorn},
		{"another file", bytes.Repeat([]byte("x"), 100), fleet, 100 * day, ErrTorn},
		{"a later version", next, fleet, 100 * day, ErrVersion},
		{"another fleet", whole, "other", 100 * day, ErrFleet},
		{"too old", whole, fleet, 102 * day, ErrOld},
		{"made after now", whole, fleet, 99 * day, ErrAhead},
		{"too large", make([]byte, MaxSize+1), fleet, 100 * day, ErrLarge},
	} {
		if _, err := Open(c.b, c.fleet, c.now, day); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	for n := range whole {
		if _, err := Open(whole[:n], fleet, 100*day, day); err == nil {
			t.Errorf("cut off after %d of %d bytes it counts", n, len(whole))
		}
		bad := bytes.Clone(whole)
		bad[n] ^= 0x10
		if _, err := Open(bad, fleet, 100*day, day); err == nil {
			t.Errorf("with byte %d changed it counts", n)
		}
	}
	if _, err := Seal(Record{Feed: make([]byte, MaxSize)}); !errors.Is(err, ErrLarge) {
		t.Errorf("a record that would not count is made: %v", err)
	}
}

// FuzzOpen reads any bytes: what counts is what Seal makes of it.
func FuzzOpen(f *testing.F) {
	f.Add(sealed(f, Record{Fleet: "a", No: 1, At: time.Hour, Feed: []byte("{}")}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := Open(b, "a", time.Hour, time.Hour); err == nil && r.Fleet != "a" {
			t.Errorf("%+v counts", r)
		}
	})
}

// Over any order of changes, slow writes and failures: one write at a time, none within a second of the last, and the
// last change is written in the end. Failures are told once.
func TestKeeper(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k Keeper
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
				case Tell:
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
