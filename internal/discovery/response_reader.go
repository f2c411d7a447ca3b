package discovery

import (
	"bytes"
	"fmt"
	"strings"
)

// responseReader reads an HTTP response as it is received, and keeps nothing but its body and the line that it is
// reading. The zero value, with a memory, reads the next response.
type responseReader struct {
	memory *responseMemory

	phase     readPhase
	line      []byte // received part of the header, or of a line of the chunked encoding
	header    responseHeader
	body      []byte
	left      int  // bytes of the body or the chunk that are still to come
	lastChunk bool // the chunk is empty, which ends the body
}

// readPhase is the part of a response that comes next.
type readPhase int

const (
	readingHeader readPhase = iota
	readingBody             // of a known length
	readingChunkLine
	readingChunk
	readingChunkEnd
	readingComplete // nothing more belongs to the response
)

// isComplete reports whether the whole response was read.
func (r *responseReader) isComplete() bool { return r.phase == readingComplete }

// reset releases the memory of a response, and starts to read the next one.
func (r *responseReader) reset() {
	r.memory.used -= cap(r.body)
	*r = responseReader{memory: r.memory}
}

// read reads received bytes and returns those that follow the response. The error is a statusError or wraps
// errMalformedResponse.
func (r *responseReader) read(received []byte) (rest []byte, err error) {
	for len(received) > 0 && !r.isComplete() && err == nil {
		switch r.phase {
		case readingHeader:
			received, err = r.readHeader(received)
		case readingChunkLine:
			received, err = r.readChunkLine(received)
		case readingChunkEnd:
			received, err = r.readChunkEnd(received)
		default:
			received, err = r.readBody(received)
		}
	}
	return received, err
}

// readHeader reads bytes of the header.
func (r *responseReader) readHeader(received []byte) (rest []byte, err error) {
	header, rest, ok, err := r.readUntil(headerTerminator, received, maxHeaderBytes)
	if !ok {
		return rest, err
	}
	r.header, err = parseHeader(strings.Split(string(header), "\r\n"))
	switch {
	case err != nil:
		return rest, err
	case r.header.chunked:
		r.phase = readingChunkLine
	case r.header.contentLength == lengthUnknown:
		return rest, fmt.Errorf("%w: neither Content-Length nor chunked encoding", errMalformedResponse)
	case r.header.contentLength > r.memory.maxBody:
		return rest, fmt.Errorf("%w: body of %d bytes", errMalformedResponse, r.header.contentLength)
	case r.header.contentLength == 0:
		r.phase = readingComplete
	default:
		r.left = r.header.contentLength
		r.phase = readingBody
	}
	return rest, nil
}

// readBody reads bytes of the body or of a chunk.
func (r *responseReader) readBody(received []byte) (rest []byte, err error) {
	size := min(len(received), r.left)
	if err := r.growBody(size); err != nil {
		return received, err
	}
	r.body = append(r.body, received[:size]...)
	r.left -= size
	if r.left == 0 {
		if r.phase == readingChunk {
			r.phase = readingChunkEnd
		} else {
			r.phase = readingComplete
		}
	}
	return received[size:], nil
}

// readChunkLine reads bytes of the size line of a chunk.
func (r *responseReader) readChunkLine(received []byte) (rest []byte, err error) {
	line, rest, ok, err := r.readUntil(crlf, received, maxChunkHeaderBytes)
	if !ok {
		return rest, err
	}
	r.left, err = parseChunkLength(line, r.memory.maxBody-len(r.body))
	r.lastChunk = r.left == 0
	r.phase = readingChunk
	if r.lastChunk {
		r.phase = readingChunkEnd
	}
	return rest, err
}

// readChunkEnd reads bytes of the line end after a chunk.
func (r *responseReader) readChunkEnd(received []byte) (rest []byte, err error) {
	line, rest, ok, err := r.readUntil(crlf, received, len(crlf))
	if !ok {
		return rest, err
	}
	if len(line) > 0 {
		return rest, fmt.Errorf("%w: chunk exceeds its size, or has a trailer", errMalformedResponse)
	}
	r.phase = readingChunkLine
	if r.lastChunk {
		r.phase = readingComplete
	}
	return rest, nil
}

// readUntil reads bytes up to a terminator, which has to end within limit bytes. Once it is found, readUntil returns
// the bytes before it, which are valid until the next call, and those that follow.
func (r *responseReader) readUntil(terminator, received []byte, limit int) (line, rest []byte, ok bool, err error) {
	before := len(r.line)
	r.line = append(r.line, received[:min(len(received), limit-before)]...)
	from := max(before-len(terminator)+1, 0) // the terminator may have been received in part
	at := bytes.Index(r.line[from:], terminator)
	switch {
	case at >= 0:
		line = r.line[:from+at]
		rest = received[from+at+len(terminator)-before:]
		r.line = r.line[:0]
		return line, rest, true, nil
	case len(r.line) >= limit:
		return nil, nil, false, fmt.Errorf("%w: no line end in the first %d bytes", errMalformedResponse, limit)
	default:
		return nil, nil, false, nil
	}
}
