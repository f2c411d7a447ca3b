package fastcgi

import (
	"encoding/binary"
	"fmt"
)

// recordHeader is the header of a FastCGI record.
type recordHeader struct {
	kind       recordType
	id         requestID
	contentLen int
	paddingLen int
}

// parseHeader parses the first headerLen bytes of a record. An error wraps errFraming.
func parseHeader(buf []byte) (recordHeader, error) {
	if buf[0] != protocolVersion {
		return recordHeader{}, fmt.Errorf("%w: version %d", errFraming, buf[0])
	}
	return recordHeader{
		kind:       recordType(buf[1]),
		id:         requestID(binary.BigEndian.Uint16(buf[2:])),
		contentLen: int(binary.BigEndian.Uint16(buf[4:])),
		paddingLen: int(buf[6]),
	}, nil
}

// recordPart is a record, or as much of one as was received at a time. The concatenated content of its parts is the
// content of the record. The content aliases the input of the parser.
type recordPart struct {
	recordHeader
	content []byte
	first   bool // no part of this record precedes it
	last    bool // the record, including its padding, is complete
}

// recordParser splits the input of a connection into records. It keeps no content: of a record that is not complete,
// the content is returned in parts, as it is received.
type recordParser struct {
	partialHeader [headerLen]byte
	headerLen     int          // of partialHeader, in bytes
	current       recordHeader // of the record that is not complete; valid if open
	open          bool
	contentLeft   int // bytes of the current record that were not received yet
	paddingLeft   int
}

// midRecord reports whether a part of a record was received and the rest was not.
func (p *recordParser) midRecord() bool { return p.open || p.headerLen > 0 }

// next parses the first part of a record in the input and returns the input that follows it. It returns false if the
// input ends within a header. An error wraps errFraming and means that the rest of the input cannot be parsed.
func (p *recordParser) next(input []byte) (part recordPart, rest []byte, ok bool, err error) {
	if !p.open {
		if input, ok, err = p.readHeader(input); !ok {
			return recordPart{}, nil, false, err
		}
		part.first = true
	}
	part.recordHeader = p.current
	contentLen := min(p.contentLeft, len(input))
	part.content = input[:contentLen]
	p.contentLeft -= contentLen
	rest = input[contentLen:]
	if p.contentLeft == 0 {
		paddingLen := min(p.paddingLeft, len(rest))
		p.paddingLeft -= paddingLen
		rest = rest[paddingLen:]
		part.last = p.paddingLeft == 0
	}
	p.open = !part.last
	return part, rest, true, nil
}

// readHeader completes the header of the next record and returns the input that follows it. It returns false after an
// error or if the header is still not complete.
func (p *recordParser) readHeader(input []byte) (rest []byte, ok bool, err error) {
	copied := copy(p.partialHeader[p.headerLen:], input)
	p.headerLen += copied
	if p.headerLen < headerLen {
		return nil, false, nil
	}
	p.headerLen = 0
	if p.current, err = parseHeader(p.partialHeader[:]); err != nil {
		return nil, false, err
	}
	p.contentLeft = p.current.contentLen
	p.paddingLeft = p.current.paddingLen
	return input[copied:], true, nil
}
