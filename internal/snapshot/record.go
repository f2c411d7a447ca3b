// Package snapshot defines the format of snapshots and decides when they are written. A snapshot preserves the endpoint
// list and the learned state of a scheduler across restarts, in installations with a persistent disk. The package reads
// no clock and does no I/O; package snapshotfile does both.
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

// MaxSize is the maximum size of a valid snapshot in bytes. It covers the largest accepted response of the list
// service, the learned state and the header.
const MaxSize = 6<<20 + 4096

// Record is the content of a snapshot. The CBOR keys are part of the file format.
type Record struct {
	// Fleet is the name of the fleet that the endpoint list belongs to.
	Fleet string `cbor:"1,keyasint"`
	// EventNumber is the number of the last event that the endpoint list includes, or 0 if there is none.
	EventNumber int `cbor:"2,keyasint"`
	// CreatedAt is the Unix time at which the record was created.
	CreatedAt time.Duration `cbor:"3,keyasint"`
	// Endpoints is the complete endpoint list, in the format of a response of the list service.
	Endpoints []byte `cbor:"4,keyasint"`
	// State is the learned state of the router. It is empty in records of versions that did not save it.
	State routing.LearnedState `cbor:"5,keyasint"`
}

// Errors for which Decode rejects a snapshot and Encode rejects a record. Test for them with errors.Is.
var (
	ErrIncomplete = errors.New("incomplete or damaged") // truncated, damaged or not a snapshot
	ErrVersion    = errors.New("of another version")    // different version of the file format
	ErrWrongFleet = errors.New("of another fleet")
	ErrExpired    = errors.New("too old")
	ErrFromFuture = errors.New("created in the future") // more than maxClockSkew ahead of the clock
	ErrTooLarge   = errors.New("too large")             // more than MaxSize bytes
)

const (
	// formatName is the prefix of every snapshot, regardless of its version.
	formatName = "calicohill snapshot "
	// magic is the first line of a snapshot. It contains the format version and is followed by the checksum of the
	// body.
	magic = formatName + "1\n"
	// checksumSize is the length in bytes of the checksum, a big-endian CRC-32C.
	checksumSize = crc32.Size
	// headerSize is the length in bytes of the header that precedes the body.
	headerSize = len(magic) + checksumSize
	// maxClockSkew is the maximum time by which the clock may have been set back since a record was created.
	maxClockSkew = time.Minute
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the encoded snapshot of a record. It returns ErrTooLarge if Decode would reject the snapshot for its
// size.
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

// Decode returns the record in a snapshot. It rejects snapshots that are incomplete, of another version or fleet, older
// than maxAge, or created in the future. now is the Unix time.
func Decode(data []byte, fleet string, now, maxAge time.Duration) (Record, error) {
	body, err := verifiedBody(data)
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

// verifiedBody checks the size, version and checksum of a snapshot and returns its body.
func verifiedBody(data []byte) ([]byte, error) {
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
