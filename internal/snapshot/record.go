// Package snapshot defines what a scheduler saves over a restart, the endpoint list and the state that it learned, and
// decides when it is saved. Snapshots are for installations with a persistent disk. The package reads no clock and does
// no I/O: internal/snapshot/snapshotfile does both.
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

// MaxSize is the size of the largest valid snapshot, in bytes: the largest answer that is accepted from the endpoint
// list service, the learned state saved with it, and the header.
const MaxSize = 6<<20 + 4096

// Record is the content of a snapshot. The CBOR keys are part of the file format.
type Record struct {
	// Fleet names the fleet that the endpoint list belongs to.
	Fleet string `cbor:"1,keyasint"`
	// EventNumber is the number of the last event that the endpoint list includes; 0 if there was none.
	EventNumber int `cbor:"2,keyasint"`
	// CreatedAt is the Unix time at which the record was made.
	CreatedAt time.Duration `cbor:"3,keyasint"`
	// Endpoints is the complete endpoint list, in the form of an answer of the list service.
	Endpoints []byte `cbor:"4,keyasint"`
	// State is what the router learned; empty in records of versions that did not save it.
	State routing.LearnedState `cbor:"5,keyasint"`
}

// The reasons for which Decode rejects a snapshot, and Encode a record; found with errors.Is.
var (
	ErrIncomplete = errors.New("incomplete or damaged") // truncated, damaged, or no snapshot at all
	ErrVersion    = errors.New("of another version")    // of the file format
	ErrWrongFleet = errors.New("of another fleet")
	ErrExpired    = errors.New("too old")
	ErrFromFuture = errors.New("created in the future") // made further ahead of the clock than maxClockSkew
	ErrTooLarge   = errors.New("too large")             // more than MaxSize bytes
)

const (
	// formatName begins every snapshot, of whatever version.
	formatName = "calicohill snapshot "
	// magic is the first line of a snapshot, with the version of the format. The checksum of the body follows it.
	magic = formatName + "1\n"
	// checksumSize is the length of the checksum in bytes: CRC-32C, big endian.
	checksumSize = crc32.Size
	// headerSize is the length of what precedes the body, in bytes.
	headerSize = len(magic) + checksumSize
	// maxClockSkew is how far the clock may have been set back since a record was made.
	maxClockSkew = time.Minute
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the bytes of a snapshot. The error is ErrTooLarge where Decode would reject them.
func Encode(r Record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if headerSize+len(body) > MaxSize {
		return nil, fmt.Errorf("snapshot of %d bytes: %w", len(body), ErrTooLarge)
	}
	header := binary.BigEndian.AppendUint32([]byte(magic), crc32.Checksum(body, checksumTable))
	return append(header, body...), nil
}

// Decode returns the record in a snapshot. It rejects a snapshot that is incomplete, of another version or fleet, older
// than maxAge, or from the future; now is the Unix time.
func Decode(data []byte, fleet string, now, maxAge time.Duration) (Record, error) {
	body, err := checkedBody(data)
	if err != nil {
		return Record{}, err
	}
	var record Record
	if err := cbor.Unmarshal(body, &record); err != nil {
		return record, fmt.Errorf("snapshot: %w: %w", ErrIncomplete, err)
	}
	switch age := now - record.CreatedAt; {
	case record.Fleet != fleet:
		return record, fmt.Errorf("snapshot of %.64q: %w", record.Fleet, ErrWrongFleet)
	case age > maxAge:
		return record, fmt.Errorf("snapshot of %v ago: %w", age.Round(time.Second), ErrExpired)
	case age < -maxClockSkew:
		return record, fmt.Errorf("snapshot of %v ahead: %w", (-age).Round(time.Second), ErrFromFuture)
	}
	return record, nil
}

// checkedBody returns the body of a snapshot whose size, version and checksum are right.
func checkedBody(data []byte) ([]byte, error) {
	switch {
	case len(data) > MaxSize:
		return nil, fmt.Errorf("snapshot of %d bytes: %w", len(data), ErrTooLarge)
	case len(data) < headerSize || !bytes.HasPrefix(data, []byte(formatName)):
		return nil, fmt.Errorf("snapshot of %d bytes: %w", len(data), ErrIncomplete)
	case !bytes.HasPrefix(data, []byte(magic)):
		version := data[len(formatName) : len(magic)-1]
		return nil, fmt.Errorf("snapshot %q: %w", version, ErrVersion)
	}
	body := data[headerSize:]
	if binary.BigEndian.Uint32(data[len(magic):]) != crc32.Checksum(body, checksumTable) {
		return nil, fmt.Errorf("snapshot: checksum: %w", ErrIncomplete)
	}
	return body, nil
}
