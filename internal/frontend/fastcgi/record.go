package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
)

// The record types of FastCGI 1.0.
const (
	typeBeginRequest    = 1
	typeAbortRequest    = 2
	typeEndRequest      = 3
	typeParams          = 4
	typeStdin           = 5
	typeStdout          = 6
	typeData            = 8
	typeGetValues       = 9
	typeGetValuesResult = 10
	typeUnknownType     = 11
)

// The protocol statuses of an END_REQUEST.
const (
	statusComplete    = 0
	statusOverloaded  = 2
	statusUnknownRole = 3
)

const (
	protocolVersion = 1
	headerLen       = 8
	roleResponder   = 1
	flagKeepConn    = 1
	maxContentLen   = 65535
)

// record is one record of the protocol. Its content is part of the buffer that it was read from.
type record struct {
	kind    byte
	id      uint16
	content []byte
}

var errFraming = errors.New("broken framing")

// parse reads the record that a buffer begins with and tells how many bytes it takes, padding included, 0 if it
// is not whole yet.
func parseRecord(b []byte) (r record, n int, err error) {
	if len(b) < headerLen {
		return r, 0, nil
	}
	if b[0] != protocolVersion {
		return r, 0, fmt.Errorf("%w: version %d", errFraming, b[0])
	}
	r.kind, r.id = b[1], binary.BigEndian.Uint16(b[2:])
	length := int(binary.BigEndian.Uint16(b[4:]))
	n = headerLen + length + int(b[6])
	if len(b) < n {
		return r, 0, nil
	}
	r.content = b[headerLen : headerLen+length]
	return r, n, nil
}

var errTruncatedPair = errors.New("name-value pair cut short")

// pairs calls fn for each name-value pair of a stream.
func forEachPair(b []byte, fn func(name, value []byte)) error {
	for len(b) > 0 {
		var size [2]uint32
		for i := range size {
			switch {
			case len(b) >= 1 && b[0] < 0x80:
				size[i], b = uint32(b[0]), b[1:]
			case len(b) >= 4:
				size[i], b = binary.BigEndian.Uint32(b)&0x7fffffff, b[4:]
			default:
				return errTruncatedPair
			}
		}
		// As 64 bits, or two lengths that add up past 32 would look short.
		if uint64(size[0])+uint64(size[1]) > uint64(len(b)) {
			return errTruncatedPair
		}
		fn(b[:size[0]], b[size[0]:size[0]+size[1]])
		b = b[size[0]+size[1]:]
	}
	return nil
}

func appendHeader(b []byte, kind byte, id uint16, length int) []byte {
	return append(b, protocolVersion, kind, byte(id>>8), byte(id), byte(length>>8), byte(length), 0, 0)
}

// appendStdout adds a stream of STDOUT records and its end.
func appendStdout(b []byte, id uint16, text, body []byte) []byte {
	for len(text)+len(body) > 0 {
		n := min(len(text)+len(body), maxContentLen)
		b = appendHeader(b, typeStdout, id, n)
		k := min(n, len(text))
		b = append(append(b, text[:k]...), body[:n-k]...)
		text, body = text[k:], body[n-k:]
	}
	return appendHeader(b, typeStdout, id, 0)
}

func appendEndRequest(b []byte, id uint16, status byte) []byte {
	b = appendHeader(b, typeEndRequest, id, 8)
	return append(b, 0, 0, 0, 0, status, 0, 0, 0)
}

func appendUnknownType(b []byte, kind byte) []byte {
	b = appendHeader(b, typeUnknownType, 0, 8)
	return append(b, kind, 0, 0, 0, 0, 0, 0, 0)
}

// appendValues answers a GET_VALUES.
func appendGetValuesResult(b []byte, asked []byte, conns int) ([]byte, error) {
	values := map[string]string{
		"FCGI_MAX_CONNS": strconv.Itoa(conns),
		"FCGI_MAX_REQS":  strconv.Itoa(conns * maxStreamsPerConn), "FCGI_MPXS_CONNS": "1",
	}
	var list []byte
	err := forEachPair(asked, func(name, _ []byte) {
		if v, ok := values[string(name)]; ok {
			list = append(list, byte(len(name)), byte(len(v)))
			list = append(append(list, name...), v...)
			delete(values, string(name))
		}
	})
	return append(appendHeader(b, typeGetValuesResult, 0, len(list)), list...), err
}
