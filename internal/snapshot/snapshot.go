// Package snapshot decides on what a scheduler keeps of the list of workers, and of what it learned, over a restart, for
// installations with a lasting disk: what a record must be to count, and when one is written. No clock, no I/O.
package snapshot

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"calicohill/routing"

	"github.com/fxamacker/cbor/v2"
)

// MaxSize is the longest record that counts, in bytes: as long as the longest list that is taken from the list
// service, what is remembered with it, and its frame.
const MaxSize = 6<<20 + 4096

// Record is the list as it was, and what was learned.
type Record struct {
	Fleet       string        `cbor:"1,keyasint"`
	EventNumber int           `cbor:"2,keyasint"` // of the last event in it
	CreatedAt   time.Duration `cbor:"3,keyasint"` // Unix time of its making
	Endpoints   []byte        `cbor:"4,keyasint"` // the whole list, in the form of an answer of the list service

	State routing.LearnedState `cbor:"5,keyasint"` // empty in records of earlier builds
}

// The ways in which a record does not count.
var (
	ErrIncomplete = errors.New("not whole")
	ErrVersion    = errors.New("of another version")
	ErrWrongFleet = errors.New("of another fleet")
	ErrExpired    = errors.New("too old")
	ErrFromFuture = errors.New("of a time to come")
	ErrTooLarge   = errors.New("too large")
)

// A record begins with this line, the version in it, and the checksum of what follows.
var magic, table = []byte("calicohill snapshot 1\n"), crc32.MakeTable(crc32.Castagnoli)

const (
	family = len("calicohill snapshot ")
	sum    = 4
)

// Encode makes the bytes of a record.
func Encode(r Record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if len(magic)+sum+len(body) > MaxSize {
		return nil, fmt.Errorf("snapshot of %d bytes: %w", len(body), ErrTooLarge)
	}
	b := binary.BigEndian.AppendUint32(bytes.Clone(magic), crc32.Checksum(body, table))
	return append(b, body...), nil
}

// ahead is how far the clock may have been set back since a record was made.
const ahead = time.Minute

// Decode reads a record that counts: whole, of this version and fleet, and no older than that.
func Decode(b []byte, fleet string, now, oldest time.Duration) (Record, error) {
	var r Record
	switch {
	case len(b) > MaxSize:
		return r, fmt.Errorf("snapshot of %d bytes: %w", len(b), ErrTooLarge)
	case len(b) < len(magic)+sum || !bytes.Equal(b[:family], magic[:family]):
		return r, fmt.Errorf("snapshot of %d bytes: %w", len(b), ErrIncomplete)
	case !bytes.Equal(b[:len(magic)], magic):
		return r, fmt.Errorf("snapshot %q: %w", b[family:len(magic)-1], ErrVersion)
	}
	body := b[len(magic)+sum:]
	if binary.BigEndian.Uint32(b[len(magic):]) != crc32.Checksum(body, table) {
		return r, fmt.Errorf("snapshot: checksum: %w", ErrIncomplete)
	}
	if err := cbor.Unmarshal(body, &r); err != nil {
		return r, fmt.Errorf("snapshot: %w: %w", ErrIncomplete, err)
	}
	switch age := now - r.CreatedAt; {
	case r.Fleet != fleet:
		return r, fmt.Errorf("snapshot of %.64q: %w", r.Fleet, ErrWrongFleet)
	case age > oldest:
		return r, fmt.Errorf("snapshot of %v ago: %w", age.Round(time.Second), ErrExpired)
	case age < -ahead:
		return r, fmt.Errorf("snapshot of %v ahead: %w", (-age).Round(time.Second), ErrFromFuture)
	}
	return r, nil
}

const (
	// settle is how long after a change a record is made: changes come in bursts.
	settle = 100 * time.Millisecond
	// every is the least time between two records.
	every = time.Second
	// refresh is how old a record becomes at the most: more is learned all the time, and a copy that stood counts
	// for some ten seconds.
	refresh = 5 * time.Second
	// againMin and againMax are the pauses after a record that could not be written.
	againMin, againMax = 2 * time.Second, time.Minute
)

// Event is what happened: Changed or Written.
type Event any

// Changed says that the list is another.
type Changed struct{}

// Written says that a write has ended.
type Written struct{ Err error }

// Action is what is to be done: Write, or ReportStatus.
type Action any

// Write has a record of the list as it is made and written. Written follows.
type Write struct{}

// ReportStatus has it said that writes fail from now on, or, with nil, that they do not any more.
type ReportStatus struct{ Err error }

// Scheduler decides when records are written: the last change always is, soon, and what was learned from time to time, one
// record at a time, and never often.
type Scheduler struct {
	due     time.Duration // when the next is written; 0 if none is
	not     time.Duration // before this none is
	writing bool
	pause   time.Duration // after the next failure; 0 while all is well
}

// Step takes in what happened and says what is to be done. now never goes back.
func (k *Scheduler) Step(now time.Duration, events ...Event) (out []Action) {
	for _, e := range events {
		switch e := e.(type) {
		case Changed:
			if soon := max(now+settle, k.not); k.due == 0 || k.due > soon {
				k.due = soon
			}
		case Written:
			k.writing = false
			if e.Err != nil {
				if k.pause == 0 {
					out = append(out, ReportStatus(e))
				}
				k.pause = min(max(2*k.pause, againMin), againMax)
				k.not = now + k.pause
				k.due = k.not
				continue
			}
			if k.pause > 0 {
				k.pause = 0
				out = append(out, ReportStatus{})
			}
			if k.due == 0 {
				k.due = now + refresh
			}
		}
	}
	if k.due > 0 && k.due <= now && !k.writing {
		k.due, k.not, k.writing = 0, now+every, true
		out = append(out, Write{})
	}
	return out
}

// Next is when Step is to be called at the latest though nothing happens; false if that need not be.
func (k *Scheduler) Next() (time.Duration, bool) { return k.due, k.due > 0 && !k.writing }
