package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Limits on what the bulletin may answer.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 20
)

var (
	errMalformedResponse = errors.New("answer cannot be read")
	crlf                 = []byte("\r\n")
	headerTerminator     = []byte("\r\n\r\n")
	maxChunkHeaderBytes  = 64 // of a chunk's head
)

// away is an answer that is no list. after is how long the bulletin asks to be left alone; 0 if it does not.
type statusError struct {
	status string
	after  time.Duration
}

func (a statusError) Error() string { return fmt.Sprintf("status %.40q", a.status) }

// retryAfter is what the header Retry-After of an answer says in seconds (RFC 9110, 10.2.3); 0 without it, and where
// it gives a date: clocks differ.
func retryAfter(head []string) time.Duration {
	for _, l := range head {
		name, value, _ := strings.Cut(l, ":")
		if strings.EqualFold(name, "retry-after") {
			s, _ := strconv.ParseUint(strings.TrimSpace(value), 10, 16)
			return time.Duration(s) * time.Second
		}
	}
	return 0
}

// parse reads the HTTP answer that a buffer begins with. n is how many bytes it takes, 0 if it is not whole
// yet; last reports that the connection ends with it.
//
// Guards against a peer that writes without end: head and body are bounded.
func parseResponse(b []byte) (body []byte, n int, last bool, err error) {
	end := bytes.Index(b[:min(len(b), maxHeaderBytes)], headerTerminator)
	if end < 0 {
		if len(b) >= maxHeaderBytes {
			return nil, 0, false, fmt.Errorf("%w: head over %d bytes", errMalformedResponse, maxHeaderBytes)
		}
		return nil, 0, false, nil
	}
	lines := strings.Split(string(b[:end]), "\r\n")
	version, status, _ := strings.Cut(lines[0], " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, 0, false, fmt.Errorf("%w: %.40q", errMalformedResponse, lines[0])
	}
	if !strings.HasPrefix(status, "200") {
		return nil, 0, false, statusError{status, retryAfter(lines[1:])}
	}
	length, chunked := -1, false
	last = version == "HTTP/1.0"
	for _, l := range lines[1:] {
		name, value, ok := strings.Cut(l, ":")
		if value = strings.TrimSpace(value); !ok {
			return nil, 0, false, fmt.Errorf("%w: header %.40q", errMalformedResponse, l)
		}
		switch strings.ToLower(name) {
		case "content-length":
			x, err := strconv.ParseUint(value, 10, 31)
			if err != nil || x > maxBodyBytes {
				return nil, 0, false, fmt.Errorf("%w: length %.20q", errMalformedResponse, value)
			}
			length = int(x)
		case "transfer-encoding":
			chunked = strings.EqualFold(value, "chunked")
		case "connection":
			last = strings.EqualFold(value, "close")
		}
	}
	rest := b[end+len(headerTerminator):]
	if chunked {
		body, n, err = decodeChunked(rest)
		if n > 0 {
			n += end + len(headerTerminator)
		}
		return body, n, last, err
	}
	if length < 0 {
		return nil, 0, false, fmt.Errorf("%w: no length", errMalformedResponse)
	}
	if len(rest) < length {
		return nil, 0, false, nil
	}
	return rest[:length], end + len(headerTerminator) + length, last, nil
}

// unchunk joins the chunks that a buffer begins with, and tells how many bytes they take, 0 if not all are there.
func decodeChunked(b []byte) (body []byte, n int, err error) {
	for {
		head := bytes.Index(b[n:min(len(b), n+maxChunkHeaderBytes)], crlf)
		if head < 0 {
			if len(b)-n >= maxChunkHeaderBytes {
				return nil, 0, fmt.Errorf("%w: head of a chunk", errMalformedResponse)
			}
			return nil, 0, nil
		}
		text, _, _ := strings.Cut(string(b[n:n+head]), ";")
		size, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
		if err != nil || int(size)+len(body) > maxBodyBytes {
			return nil, 0, fmt.Errorf("%w: chunk of %.20q", errMalformedResponse, text)
		}
		n += head + len(crlf)
		if len(b) < n+int(size)+len(crlf) {
			return nil, 0, nil
		}
		body = append(body, b[n:n+int(size)]...)
		n += int(size)
		if !bytes.Equal(b[n:n+len(crlf)], crlf) {
			return nil, 0, fmt.Errorf("%w: chunk runs on, or has a trailer", errMalformedResponse)
		}
		n += len(crlf)
		if size == 0 {
			return body, n, nil
		}
	}
}
