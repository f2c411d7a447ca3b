package main

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// call is one request of a client.
type call struct {
	path, id, function, key, spec string
	budget                        time.Duration
	body                          []byte

	sentAt time.Time // when its last byte was written

	// The fields below may be read once done is closed.
	done       chan struct{} // closed with the answer, or with the end of the connection
	answeredAt time.Time
	ended      bool // the connection ended without a whole answer
	begun      bool // a byte of the answer had arrived
	status     int  // of the answer; 0 for the protocol status OVERLOADED
	stdout     []byte
}

// outcome names how a call ended, in the words of the pages.
func (q *call) outcome() string {
	select {
	case <-q.done:
	default:
		return "no answer yet"
	}
	switch {
	case q.ended && q.begun:
		return "connection ended amid its answer"
	case q.ended:
		return "connection ended without an answer"
	case q.status == 200:
		return "served"
	case q.status == 0 || q.status == 429 || q.status == 503:
		return "refused"
	default:
		return "failed"
	}
}

// newCall returns a call with a new id.
func newCall(class, function string, budget time.Duration) *call {
	return &call{path: "/rpc/" + class, id: randomHex(16), function: function, budget: budget, spec: "memory_mb:300;lanes:4"}
}

func randomHex(digits int) string {
	b := make([]byte, digits/2)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// The types of FastCGI records.
const (
	beginRequest = 1
	abortRequest = 2
	endRequest   = 3
	params       = 4
	stdin        = 5
	stdout       = 6
)

func appendRecord(b []byte, kind byte, id uint16, content []byte) []byte {
	b = append(b, 1, kind, byte(id>>8), byte(id), byte(len(content)>>8), byte(len(content)), 0, 0)
	return append(b, content...)
}

func appendPair(b []byte, name, value string) []byte {
	return append(append(append(b, byte(len(name)), byte(len(value))), name...), value...)
}

// appendTo appends the records of the call.
func (q *call) appendTo(b []byte, id uint16) []byte {
	b = appendRecord(b, beginRequest, id, []byte{0, 1, 1, 0, 0, 0, 0, 0})
	p := appendPair(nil, "SCRIPT_NAME", q.path)
	p = appendPair(p, "REQUEST_METHOD", "POST")
	if q.id != "" {
		p = appendPair(p, "HTTP_REQUEST_ID", q.id)
		p = appendPair(p, "HTTP_BUDGET_MS", strconv.FormatInt(q.budget.Milliseconds(), 10))
		p = appendPair(p, "HTTP_RESOURCE_KEY", q.function)
		p = appendPair(p, "HTTP_X_SPEC", q.spec)
	}
	if q.key != "" {
		p = appendPair(p, "HTTP_ONCE_KEY", q.key)
	}
	b = appendRecord(b, params, id, p)
	b = appendRecord(b, params, id, nil)
	if len(q.body) > 0 {
		b = appendRecord(b, stdin, id, q.body)
	}
	return appendRecord(b, stdin, id, nil)
}

// client is one connection of a web server of the front.
type client struct {
	conn       net.Conn
	rate       int // bytes a second that it reads at most; 0 for no limit
	lastStatus int // of the last answer

	writeMu sync.Mutex
	mu      sync.Mutex
	open    map[uint16]*call
	lastID  uint16
	closed  bool
}

func dialClient(addr string, rate int) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, rate: rate, open: map[uint16]*call{}}
	go c.read()
	return c, nil
}

func (c *client) close() { c.conn.Close() }

func (c *client) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// openCalls returns the number of calls without an answer.
func (c *client) openCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// send writes a call and reports whether it was written whole.
func (c *client) send(q *call) bool {
	q.done = make(chan struct{})
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	for c.lastID++; c.lastID == 0 || c.open[c.lastID] != nil; c.lastID++ {
	}
	id := c.lastID
	c.open[id] = q
	c.mu.Unlock()
	_, err := c.conn.Write(q.appendTo(nil, id))
	c.mu.Lock()
	q.sentAt = time.Now()
	c.mu.Unlock()
	return err == nil
}

// do sends a call and waits for its answer. It returns false if there was none in time.
func (c *client) do(q *call, wait time.Duration) bool {
	if !c.send(q) {
		return false
	}
	select {
	case <-q.done:
		return !q.ended
	case <-time.After(wait):
		return false
	}
}

// pacedReader reads at most rate bytes a second.
type pacedReader struct {
	source io.Reader
	rate   int
}

func (p pacedReader) Read(b []byte) (int, error) {
	const piece = 8 << 10
	n, err := p.source.Read(b[:min(len(b), piece)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(p.rate))
	return n, err
}

// read reads answers until the connection ends.
func (c *client) read() {
	var source io.Reader = c.conn
	if c.rate > 0 {
		source = pacedReader{c.conn, c.rate}
	}
	for c.readRecord(source) {
	}
	c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for id, q := range c.open {
		delete(c.open, id)
		q.ended = true
		q.begun = len(q.stdout) > 0
		q.answeredAt = time.Now()
		close(q.done)
	}
}

func (c *client) readRecord(source io.Reader) bool {
	header := make([]byte, 8)
	if _, err := io.ReadFull(source, header); err != nil {
		return false
	}
	length := int(binary.BigEndian.Uint16(header[4:]))
	content := make([]byte, length+int(header[6]))
	if _, err := io.ReadFull(source, content); err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	id := binary.BigEndian.Uint16(header[2:])
	q := c.open[id]
	switch {
	case q == nil:
	case header[1] == stdout:
		q.stdout = append(q.stdout, content[:length]...)
	case header[1] == endRequest:
		delete(c.open, id)
		q.status = status(q.stdout, content[4])
		c.lastStatus = q.status
		q.answeredAt = time.Now()
		close(q.done)
	}
	return true
}

// status returns the HTTP status of an answer, or 0 if it has the protocol status OVERLOADED.
func status(answer []byte, protocolStatus byte) int {
	if protocolStatus != 0 {
		return 0
	}
	line, _, _ := bytes.Cut(answer, []byte("\r\n"))
	words := strings.Fields(string(line))
	if len(words) < 2 {
		return 0
	}
	code, _ := strconv.Atoi(words[1])
	return code
}
