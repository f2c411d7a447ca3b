package discovery

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Size limits of a response besides its body. They protect against a peer that sends without end.
const (
	maxHeaderBytes      = 16 << 10
	maxChunkHeaderBytes = 64 // size line of a chunk
)

// lengthUnknown is the contentLength of a response without a Content-Length header.
const lengthUnknown = -1

var (
	crlf             = []byte("\r\n")
	headerTerminator = []byte("\r\n\r\n")
)

// errMalformedResponse is wrapped by errors for responses that are not valid HTTP/1 or exceed the limits above.
var errMalformedResponse = errors.New("malformed response")

// statusError is the error for a response with a status other than 200.
type statusError struct {
	status     string        // the status line after the version
	retryAfter time.Duration // value of the Retry-After header; 0 if absent
}

func (e statusError) Error() string { return fmt.Sprintf("status %.40q", e.status) }

// responseHeader holds the header fields that are used of a response with status 200.
type responseHeader struct {
	contentLength int // bytes, or lengthUnknown
	chunked       bool
	closing       bool
}

// parseHeader parses the status line and the header fields.
func parseHeader(lines []string) (responseHeader, error) {
	version, status, _ := strings.Cut(lines[0], " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return responseHeader{}, fmt.Errorf("%w: status line %.40q", errMalformedResponse, lines[0])
	}
	if !strings.HasPrefix(status, "200") {
		return responseHeader{}, statusError{status: status, retryAfter: retryAfter(lines[1:])}
	}
	header := responseHeader{contentLength: lengthUnknown, closing: version == "HTTP/1.0"}
	for _, line := range lines[1:] {
		if err := header.parseField(line); err != nil {
			return responseHeader{}, err
		}
	}
	return header, nil
}

// parseField parses one header field. If a field is repeated, the last one is used.
func (h *responseHeader) parseField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return fmt.Errorf("%w: header field %.40q without colon", errMalformedResponse, line)
	}
	value = strings.TrimSpace(value)
	switch strings.ToLower(name) {
	case "content-length":
		length, err := strconv.ParseUint(value, 10, 31)
		if err != nil {
			return fmt.Errorf("%w: invalid Content-Length %.20q", errMalformedResponse, value)
		}
		h.contentLength = int(length)
	case "transfer-encoding":
		h.chunked = strings.EqualFold(value, "chunked")
	case "connection":
		h.closing = strings.EqualFold(value, "close")
	}
	return nil
}

// retryAfter returns the value of the Retry-After header field (RFC 9110, section 10.2.3), or 0 if there is none. Dates
// are ignored, because the clocks of the service and the scheduler may differ.
func retryAfter(fields []string) time.Duration {
	for _, line := range fields {
		name, value, _ := strings.Cut(line, ":")
		if strings.EqualFold(name, "retry-after") {
			seconds, _ := strconv.ParseUint(strings.TrimSpace(value), 10, 16)
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// parseChunkLength parses the hexadecimal size of a chunk. It ignores chunk extensions.
func parseChunkLength(header []byte, maxLength int) (int, error) {
	text, _, _ := strings.Cut(string(header), ";")
	length, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
	if err != nil || int(length) > maxLength {
		return 0, fmt.Errorf("%w: invalid chunk size %.20q", errMalformedResponse, text)
	}
	return int(length), nil
}
