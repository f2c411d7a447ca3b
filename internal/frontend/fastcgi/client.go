package fastcgi

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"sync"
	"time"
)

// Request is a request as a client makes it.
type Request struct {
	Path     string        // SCRIPT_NAME, as in /rpc/consulta
	ID       string        // Request-Id: 16 hex digits, new with every request
	Function string        // Resource-Key: 16 hex digits
	OnceKey  string        // "" if none
	Budget   time.Duration // that the client waits, a millisecond at least
	Spec     string        // X-Spec; "" if none
	Params   [][2]string   // further parameters, as CGI names them
	Body     []byte
}

// Reply is the answer to a Request.
type Reply struct {
	Status     int // HTTP's; 0 where the request was turned away as OVERLOADED
	RetryAfter time.Duration
	Body       []byte
}

// Verdict tells served, refused and failed apart, as the protocol does.
func (r Reply) Verdict() string {
	switch r.Status {
	case http.StatusOK:
		return "served"
	case 0, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return "refused"
	default:
		return "failed"
	}
}

// ErrTooManyStreams is the error of a Client that has as many requests open as a connection carries.
var ErrTooManyStreams = errors.New("fastcgi: 32 requests are open on the connection")

// Client is a connection to a scheduler that carries up to 32 requests at a time. It is safe for concurrent use.
// A connection that breaks fails all that is open on it, and every later request.
type Client struct {
	conn net.Conn
	mu   sync.Mutex
	// waits are the requests that are open, by the number that they have on the connection.
	pending map[uint16]*pendingReply
	lastID  uint16
	err     error // why nothing more can be asked
}

type pendingReply struct {
	reply  chan Reply // closed without a Reply when the connection ends
	stdout []byte
}

// Dial connects to a scheduler.
func Dial(ctx context.Context, addr string) (*Client, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, pending: map[uint16]*pendingReply{}}
	go c.readLoop()
	return c, nil
}

// Close ends the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Do sends a request and waits for its answer. When the context ends first, the request is aborted.
func (c *Client) Do(ctx context.Context, q Request) (Reply, error) {
	id, w, err := c.send(q)
	if err != nil {
		return Reply{}, err
	}
	select {
	case r, ok := <-w.reply:
		if !ok {
			c.mu.Lock()
			defer c.mu.Unlock()
			return Reply{}, c.err
		}
		return r, nil
	case <-ctx.Done():
		c.mu.Lock()
		defer c.mu.Unlock()
		// The number stays taken until the scheduler has ended the request too.
		_, _ = c.conn.Write(appendHeader(nil, typeAbortRequest, id, 0))
		return Reply{}, ctx.Err()
	}
}

func (c *Client) send(q Request) (uint16, *pendingReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, nil, c.err
	}
	if len(c.pending) >= maxStreamsPerConn {
		return 0, nil, ErrTooManyStreams
	}
	for c.lastID++; c.lastID == 0 || c.pending[c.lastID] != nil; c.lastID++ {
	}
	w := &pendingReply{reply: make(chan Reply, 1)}
	c.pending[c.lastID] = w
	if _, err := c.conn.Write(appendRequest(nil, c.lastID, q)); err != nil {
		delete(c.pending, c.lastID)
		return 0, nil, fmt.Errorf("sending a request: %w", err)
	}
	return c.lastID, w, nil
}

// appendRequest adds all records of a request.
func appendRequest(b []byte, id uint16, q Request) []byte {
	b = appendHeader(b, typeBeginRequest, id, 8)
	b = append(b, 0, roleResponder, flagKeepConn, 0, 0, 0, 0, 0)
	var params []byte
	for _, p := range append([][2]string{
		{"SCRIPT_NAME", q.Path},
		{"HTTP_REQUEST_ID", q.ID},
		{"HTTP_RESOURCE_KEY", q.Function},
		{"HTTP_BUDGET_MS", strconv.FormatInt(max(q.Budget.Milliseconds(), 1), 10)},
		{"HTTP_ONCE_KEY", q.OnceKey},
		{"HTTP_X_SPEC", q.Spec},
	}, q.Params...) {
		if p[1] == "" {
			continue
		}
		for _, part := range p {
			if len(part) < 0x80 {
				params = append(params, byte(len(part)))
			} else {
				params = binary.BigEndian.AppendUint32(params, uint32(len(part))|1<<31)
			}
		}
		params = append(append(params, p[0]...), p[1]...)
	}
	b = appendStream(b, typeParams, id, params)
	return appendStream(b, typeStdin, id, q.Body)
}

// appendStream adds a stream and the empty record that ends it.
func appendStream(b []byte, kind byte, id uint16, content []byte) []byte {
	for len(content) > 0 {
		n := min(len(content), maxContentLen)
		b = append(appendHeader(b, kind, id, n), content[:n]...)
		content = content[n:]
	}
	return appendHeader(b, kind, id, 0)
}

// read takes in answers until the connection ends.
func (c *Client) readLoop() {
	err := c.readRecords(bufio.NewReader(c.conn))
	c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = fmt.Errorf("fastcgi: the connection ended: %w", err)
	for id, w := range c.pending {
		delete(c.pending, id)
		close(w.reply)
	}
}

func (c *Client) readRecords(r io.Reader) error {
	buf := make([]byte, headerLen+maxContentLen+255)
	for {
		if _, err := io.ReadFull(r, buf[:headerLen]); err != nil {
			return err
		}
		whole := headerLen + int(binary.BigEndian.Uint16(buf[4:])) + int(buf[6])
		if _, err := io.ReadFull(r, buf[headerLen:whole]); err != nil {
			return err
		}
		rec, _, err := parseRecord(buf[:whole])
		if err != nil {
			return err
		}
		if err := c.handleRecord(rec); err != nil {
			return err
		}
	}
}

func (c *Client) handleRecord(rec record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.pending[rec.id]
	switch {
	case w == nil:
	case rec.kind == typeStdout:
		w.stdout = append(w.stdout, rec.content...)
	case rec.kind == typeEndRequest && len(rec.content) == 8:
		delete(c.pending, rec.id)
		reply := Reply{}
		if rec.content[4] == statusComplete && len(w.stdout) > 0 {
			var err error
			if reply, err = parseReply(w.stdout); err != nil {
				return err
			}
		}
		w.reply <- reply
	}
	return nil
}

func parseReply(text []byte) (r Reply, err error) {
	b := bufio.NewReader(bytes.NewReader(text))
	head, err := textproto.NewReader(b).ReadMIMEHeader()
	if err != nil {
		return r, fmt.Errorf("answer: %w", err)
	}
	code, _, _ := bytes.Cut([]byte(head.Get("Status")), []byte(" "))
	if r.Status, err = strconv.Atoi(string(code)); err != nil {
		return r, fmt.Errorf("answer: status %.40q", head.Get("Status"))
	}
	ms, _ := strconv.Atoi(head.Get("Back-Off-Ms"))
	r.RetryAfter = time.Duration(ms) * time.Millisecond
	r.Body, err = io.ReadAll(b)
	return r, err
}
