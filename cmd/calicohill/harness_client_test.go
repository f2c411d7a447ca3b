package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// clientRequest is a FastCGI request.
type clientRequest struct {
	id          uint16
	params      [][2]string
	body        string
	role        byte // FastCGI role; 0 for Responder
	padding     byte
	longLengths bool // encode all parameter lengths in 4 bytes
	bodyOpen    bool // omit the record that ends the body
	closeAfter  bool // ask the scheduler to close the connection after the answer
}

// testClient is a client's connection.
type testClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// connect connects a client. The connection is closed at the end of the test.
func (s *testScheduler) connect() *testClient {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	return &testClient{t: s.t, conn: conn, reader: bufio.NewReader(conn)}
}

// connectSlowReader connects a client with a small receive buffer, so that the scheduler can send little data before
// the client reads.
func (s *testScheduler) connectSlowReader() *testClient {
	s.t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		return errors.Join(c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) }), err)
	}}
	conn, err := d.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	return &testClient{t: s.t, conn: conn, reader: bufio.NewReader(conn)}
}

// Types of FastCGI records.
const (
	typeBeginRequest    = 1
	typeAbortRequest    = 2
	typeEndRequest      = 3
	typeParams          = 4
	typeStdin           = 5
	typeStdout          = 6
	typeGetValues       = 9
	typeGetValuesResult = 10
	typeUnknownType     = 11
)

// encodeRecord returns a FastCGI record with the given number of padding bytes.
func encodeRecord(kind byte, id uint16, padding byte, content string) []byte {
	data := []byte{1, kind, byte(id >> 8), byte(id), byte(len(content) >> 8), byte(len(content)), padding, 0}
	return append(append(data, content...), make([]byte, padding)...)
}

// bytes encodes the request as FastCGI records.
func (r clientRequest) bytes() []byte {
	keep := byte(1)
	if r.closeAfter {
		keep = 0
	}
	data := encodeRecord(typeBeginRequest, r.id, r.padding, string([]byte{0, max(r.role, 1), keep, 0, 0, 0, 0, 0}))
	var params []byte
	for _, p := range r.params {
		for _, part := range p {
			if n := len(part); n > 127 || r.longLengths {
				params = binary.BigEndian.AppendUint32(params, uint32(n)|1<<31)
			} else {
				params = append(params, byte(n))
			}
		}
		params = append(append(params, p[0]...), p[1]...)
	}
	data = append(append(data, encodeRecord(typeParams, r.id, r.padding, string(params))...), encodeRecord(typeParams, r.id, 0, "")...)
	if r.body != "" {
		data = append(data, encodeRecord(typeStdin, r.id, r.padding, r.body)...)
	}
	if !r.bodyOpen {
		data = append(data, encodeRecord(typeStdin, r.id, 0, "")...)
	}
	return data
}

func (c *testClient) send(request clientRequest) { c.write(request.bytes()) }

func (c *testClient) write(data []byte) {
	if _, err := c.conn.Write(data); err != nil {
		c.t.Errorf("client: %v", err)
	}
}

// closedByServer reads until the connection ends and reports whether the scheduler closed it. It waits up to
// waitTimeout for each record.
func (c *testClient) closedByServer() bool {
	for {
		_, _, _, err := c.readRecord()
		var late net.Error
		if err != nil {
			return !errors.As(err, &late) || !late.Timeout()
		}
	}
}

// clientAnswer is an answer received by a client.
type clientAnswer struct {
	id             uint16
	status         int // 0 if STDOUT was empty
	header         http.Header
	body           string
	protocolStatus byte
}

// readRecord reads one FastCGI record.
func (c *testClient) readRecord() (kind byte, id uint16, content []byte, err error) {
	if err = c.conn.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		return 0, 0, nil, err
	}
	header := make([]byte, 8)
	if _, err = io.ReadFull(c.reader, header); err != nil {
		return 0, 0, nil, err
	}
	content = make([]byte, int(binary.BigEndian.Uint16(header[4:]))+int(header[6]))
	_, err = io.ReadFull(c.reader, content)
	return header[1], binary.BigEndian.Uint16(header[2:]), content[:len(content)-int(header[6])], err
}

// readAnswer reads records up to the next END_REQUEST. It does not support interleaved answers.
func (c *testClient) readAnswer() (answer clientAnswer) {
	c.t.Helper()
	var out []byte
	for {
		kind, id, content, err := c.readRecord()
		switch {
		case err != nil:
			c.t.Errorf("client: reading an answer: %v", err)
			return answer
		case kind == typeStdout:
			out = append(out, content...)
			continue
		case kind != typeEndRequest:
			c.t.Errorf("client: record of type %d", kind)
			return answer
		}
		answer.id, answer.protocolStatus = id, content[4]
		head, body, _ := strings.Cut(string(out), "\r\n\r\n")
		answer.body, answer.header = body, http.Header{}
		for _, l := range strings.Split(head, "\r\n") {
			name, value, _ := strings.Cut(l, ": ")
			answer.header.Set(name, value)
		}
		answer.status, _ = strconv.Atoi(strings.SplitN(answer.header.Get("Status"), " ", 2)[0])
		return answer
	}
}

var lastID struct {
	sync.Mutex
	n uint64
}

// newCall returns a request of a class with a unique request ID. Each pair in change sets a parameter, or removes the
// parameter if its value is "-".
func newCall(class string, body string, change ...[2]string) clientRequest {
	lastID.Lock()
	lastID.n++
	request := clientRequest{id: 1, body: body, params: [][2]string{
		{"SCRIPT_NAME", "/rpc/" + class},
		{"HTTP_REQUEST_ID", fmt.Sprintf("%016x", lastID.n)},
		{"HTTP_BUDGET_MS", "9000"},
		{"HTTP_ONCE_KEY", fmt.Sprintf("%032x", lastID.n)},
		{"HTTP_RESOURCE_KEY", "7f3a9c21e0b4d655"},
		{"HTTP_X_SPEC", "memory_mb:512;lanes:2"},
	}}
	lastID.Unlock()
	for _, c := range change {
		request.setParam(c[0], c[1])
	}
	params := request.params[:0]
	for _, p := range request.params {
		if p[1] != "-" {
			params = append(params, p)
		}
	}
	request.params = params
	return request
}

// healthRequest returns a health check of the scheduler.
func healthRequest() clientRequest {
	return clientRequest{id: 1, params: [][2]string{{"SCRIPT_NAME", "/health"}}}
}

// param returns the value of a parameter, or "" if the request does not have it.
func (r clientRequest) param(name string) string {
	for _, p := range r.params {
		if p[0] == name {
			return p[1]
		}
	}
	return ""
}

// setParam sets the value of a parameter. It adds the parameter if the request does not have it.
func (r *clientRequest) setParam(name, value string) {
	for i := range r.params {
		if r.params[i][0] == name {
			r.params[i][1] = value
			return
		}
	}
	r.params = append(r.params, [2]string{name, value})
}
