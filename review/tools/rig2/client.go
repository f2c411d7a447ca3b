package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The FastCGI records that the clients use.
const (
	beginRequest = 1
	abortRequest = 2
	endRequest   = 3
	params       = 4
	stdin        = 5
	stdout       = 6
)

func header(kind byte, id uint16, length int) []byte {
	return []byte{1, kind, byte(id >> 8), byte(id), byte(length >> 8), byte(length), 0, 0}
}

func pairLength(n int) []byte {
	if n < 128 {
		return []byte{byte(n)}
	}
	return binary.BigEndian.AppendUint32(nil, uint32(n)|1<<31)
}

func pair(name, value string) []byte {
	b := append(pairLength(len(name)), pairLength(len(value))...)
	return append(append(b, name...), value...)
}

// request is a request of a client.
type request struct {
	path     string
	id       string
	function string
	key      string
	budget   time.Duration
	body     string
	extra    []byte // further parameters
}

// begin returns the records of a request up to the end of its parameters.
func (r request) begin(id uint16) []byte {
	p := pair("SCRIPT_NAME", r.path)
	if r.path != "/health" {
		p = append(p, pair("HTTP_REQUEST_ID", r.id)...)
		p = append(p, pair("HTTP_RESOURCE_KEY", r.function)...)
		p = append(p, pair("HTTP_X_SPEC", "memory_mb:512;lanes:2")...)
	}
	p = append(p, pair("HTTP_BUDGET_MS", strconv.FormatInt(r.budget.Milliseconds(), 10))...)
	if r.key != "" {
		p = append(p, pair("HTTP_ONCE_KEY", r.key)...)
	}
	p = append(p, r.extra...)
	b := append(header(beginRequest, id, 8), 0, 1, 1, 0, 0, 0, 0, 0)
	b = append(append(b, header(params, id, len(p))...), p...)
	return append(b, header(params, id, 0)...)
}

// records returns the records of a whole request.
func (r request) records(id uint16) []byte {
	b := r.begin(id)
	if r.body != "" {
		b = append(append(b, header(stdin, id, len(r.body))...), r.body...)
	}
	return append(b, header(stdin, id, 0)...)
}

// reply is the answer to a request. The status is 0 if the connection ended, and -1 if no answer came in time.
type reply struct {
	status int
	body   string
	after  time.Duration
	err    error
}

// client is a connection of a usual client.
type client struct {
	conn    net.Conn
	mu      sync.Mutex
	last    uint16
	pending map[uint16]chan reply
	partial map[uint16][]byte
	ended   error
}

func newClient(conn net.Conn) *client {
	c := &client{conn: conn, pending: map[uint16]chan reply{}, partial: map[uint16][]byte{}}
	go c.read()
	return c
}

func (c *client) read() {
	reader := bufio.NewReaderSize(c.conn, 64<<10)
	for {
		head := make([]byte, 8)
		_, err := io.ReadFull(reader, head)
		content := make([]byte, int(binary.BigEndian.Uint16(head[4:]))+int(head[6]))
		if err == nil {
			_, err = io.ReadFull(reader, content)
		}
		c.mu.Lock()
		if err != nil {
			c.ended = err
			for id, ch := range c.pending {
				ch <- reply{err: err}
				delete(c.pending, id)
			}
			c.mu.Unlock()
			return
		}
		id := binary.BigEndian.Uint16(head[2:])
		switch head[1] {
		case stdout:
			c.partial[id] = append(c.partial[id], content...)
		case endRequest:
			if ch := c.pending[id]; ch != nil {
				ch <- parse(c.partial[id], content)
				delete(c.pending, id)
			}
			delete(c.partial, id)
		}
		c.mu.Unlock()
	}
}

func parse(text, end []byte) reply {
	if len(end) > 4 && end[4] != 0 {
		return reply{status: 503} // OVERLOADED
	}
	head, body, _ := strings.Cut(string(text), "\r\n\r\n")
	var status int
	_, _ = fmt.Sscanf(head, "Status: %d", &status)
	return reply{status: status, body: body}
}

// do sends a request and waits for its answer, until half a second after its time.
func (c *client) do(r request) reply {
	c.mu.Lock()
	if c.ended != nil {
		defer c.mu.Unlock()
		return reply{err: c.ended}
	}
	c.last++
	id := c.last
	ch := make(chan reply, 1)
	c.pending[id] = ch
	c.mu.Unlock()
	_, _ = c.conn.Write(r.records(id)) // an error ends the connection, which read sees
	sent := time.Now()
	select {
	case got := <-ch:
		got.after = time.Since(sent)
		return got
	case <-time.After(r.budget + 500*time.Millisecond):
		return reply{status: -1, after: time.Since(sent)}
	}
}

var lastID atomic.Uint64

// newID returns 16 hex digits that no request had before.
func newID() string {
	return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<8^lastID.Add(1)*0x9e3779b97f4a7c15)
}
