package fastcgi

import (
	"bufio"
	"bytes"
	"context"
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

// Request is a request that a client sends.
type Request struct {
	Path           string        // SCRIPT_NAME, as in /rpc/consulta
	ID             string        // Request-Id: 16 hexadecimal digits, unique for each request
	Function       string        // Resource-Key: 16 hexadecimal digits
	IdempotencyKey string        // Once-Key; "" for none
	Budget         time.Duration // how long the client waits for the response; at least 1 ms is sent
	Spec           string        // X-Spec; "" for none
	Params         []Param       // additional parameters; those with an empty value are not sent
	Body           []byte
}

// Param is a CGI parameter of a request. The header X-Centre, for example, is named HTTP_X_CENTRE.
type Param struct {
	Name  string
	Value string
}

// Reply is the response to a Request.
type Reply struct {
	Status     int           // HTTP status; 0 if the scheduler ended the request as OVERLOADED
	RetryAfter time.Duration // 0 if the scheduler sent none
	Body       []byte
}

// Outcome classifies how a request ended. Its value is the protocol's term for the outcome.
type Outcome string

// The outcomes of requests.
const (
	OutcomeServed   Outcome = "served"
	OutcomeRejected Outcome = "refused" // safe to retry
	OutcomeFailed   Outcome = "failed"
)

// Outcome returns the outcome that the protocol defines for the status of the reply.
func (r Reply) Outcome() Outcome {
	switch r.Status {
	case http.StatusOK:
		return OutcomeServed
	case 0, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return OutcomeRejected
	default:
		return OutcomeFailed
	}
}

// ErrTooManyRequests is returned by Client.Do if the connection already has the maximum number of open requests.
var ErrTooManyRequests = errors.New("fastcgi: 32 requests are open on the connection")

// Client is a connection to a scheduler that carries up to 32 concurrent requests. It is safe for concurrent use.
// When the connection breaks, all open requests and all later requests fail.
type Client struct {
	conn net.Conn

	mu      sync.Mutex
	pending map[requestID]*pendingReply
	lastID  requestID
	err     error // why the connection ended; nil while it is open
}

// pendingReply collects the reply to an open request.
type pendingReply struct {
	reply  chan Reply // closed without a value when the connection ends
	stdout []byte
}

// Dial connects to a scheduler.
func Dial(ctx context.Context, addr string) (*Client, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	client := &Client{conn: conn, pending: map[requestID]*pendingReply{}}
	go client.readLoop()
	return client, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Do sends a request and waits for its reply. If the context ends first, it aborts the request. The error is
// ErrTooManyRequests, the error of the context, or the error that ended the connection.
func (c *Client) Do(ctx context.Context, request Request) (Reply, error) {
	id, pending, err := c.send(request)
	if err != nil {
		return Reply{}, err
	}
	select {
	case reply, ok := <-pending.reply:
		if !ok {
			c.mu.Lock()
			defer c.mu.Unlock()
			return Reply{}, c.err
		}
		return reply, nil
	case <-ctx.Done():
		c.mu.Lock()
		defer c.mu.Unlock()
		// The ID stays in use until the scheduler ends the request.
		// A failed write means that the connection is broken, which readLoop detects.
		_, _ = c.conn.Write(appendHeader(nil, typeAbortRequest, id, 0))
		return Reply{}, ctx.Err()
	}
}

// send writes a request with an unused ID.
func (c *Client) send(request Request) (requestID, *pendingReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, nil, c.err
	}
	if len(c.pending) >= maxRequestsPerConn {
		return 0, nil, ErrTooManyRequests
	}
	id := c.nextID()
	pending := &pendingReply{reply: make(chan Reply, 1)}
	c.pending[id] = pending
	if _, err := c.conn.Write(encodeRequest(id, request)); err != nil {
		delete(c.pending, id)
		return 0, nil, fmt.Errorf("sending a request: %w", err)
	}
	return id, pending, nil
}

// nextID returns the next unused ID. One exists, because fewer than maxRequestsPerConn IDs are in use.
func (c *Client) nextID() requestID {
	c.lastID++
	for c.lastID == noRequest || c.pending[c.lastID] != nil {
		c.lastID++
	}
	return c.lastID
}

// encodeRequest returns all records of a request.
func encodeRequest(id requestID, request Request) []byte {
	records := appendHeader(nil, typeBeginRequest, id, controlBodyLen)
	records = append(records, 0, roleResponder, flagKeepConn, 0, 0, 0, 0, 0)
	records = appendStream(records, typeParams, id, requestParams(request), nil)
	return appendStream(records, typeStdin, id, request.Body, nil)
}

// requestParams returns the content of the PARAMS stream of a request.
func requestParams(request Request) []byte {
	budgetMS := max(request.Budget.Milliseconds(), 1)
	params := append([]Param{
		{Name: "SCRIPT_NAME", Value: request.Path},
		{Name: "HTTP_REQUEST_ID", Value: request.ID},
		{Name: "HTTP_RESOURCE_KEY", Value: request.Function},
		{Name: "HTTP_BUDGET_MS", Value: strconv.FormatInt(budgetMS, 10)},
		{Name: "HTTP_ONCE_KEY", Value: request.IdempotencyKey},
		{Name: "HTTP_X_SPEC", Value: request.Spec},
	}, request.Params...)
	var stream []byte
	for _, param := range params {
		if param.Value != "" {
			stream = appendPair(stream, param.Name, param.Value)
		}
	}
	return stream
}

// readLoop reads replies until the connection ends, and then fails all open requests.
func (c *Client) readLoop() {
	err := c.readRecords(bufio.NewReader(c.conn))
	c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = fmt.Errorf("fastcgi: connection ended: %w", err)
	for id, pending := range c.pending {
		delete(c.pending, id)
		close(pending.reply)
	}
}

// readRecords reads and handles records until an error occurs.
func (c *Client) readRecords(r io.Reader) error {
	buf := make([]byte, maxContentLen+maxPaddingLen)
	for {
		if _, err := io.ReadFull(r, buf[:headerLen]); err != nil {
			return err
		}
		header, err := parseHeader(buf)
		if err != nil {
			return err
		}
		rest := buf[:header.contentLen+header.paddingLen]
		if _, err := io.ReadFull(r, rest); err != nil {
			return err
		}
		if err := c.handleRecord(header, rest[:header.contentLen]); err != nil {
			return err
		}
	}
}

// handleRecord handles a record of a reply. Records of requests that are not open are ignored.
func (c *Client) handleRecord(header recordHeader, content []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := c.pending[header.id]
	switch {
	case pending == nil:
	case header.kind == typeStdout:
		pending.stdout = append(pending.stdout, content...)
	case header.kind == typeEndRequest && len(content) == controlBodyLen:
		delete(c.pending, header.id)
		reply, err := newReply(pending.stdout, protocolStatus(content[4]))
		if err != nil {
			return err
		}
		pending.reply <- reply
	}
	return nil
}

// newReply returns the reply to a request that has ended.
func newReply(stdout []byte, status protocolStatus) (Reply, error) {
	if status != statusComplete || len(stdout) == 0 {
		return Reply{}, nil
	}
	return parseReply(stdout)
}

// parseReply parses the header fields and the body of a reply.
func parseReply(stdout []byte) (Reply, error) {
	reader := bufio.NewReader(bytes.NewReader(stdout))
	header, err := textproto.NewReader(reader).ReadMIMEHeader()
	if err != nil {
		return Reply{}, fmt.Errorf("malformed reply: %w", err)
	}
	var reply Reply
	code, _, _ := bytes.Cut([]byte(header.Get("Status")), []byte(" "))
	if reply.Status, err = strconv.Atoi(string(code)); err != nil {
		return reply, fmt.Errorf("malformed reply: status %.40q", header.Get("Status"))
	}
	retryAfterMS, _ := strconv.Atoi(header.Get(retryAfterHeader)) // a missing or malformed value means no advice
	reply.RetryAfter = time.Duration(retryAfterMS) * time.Millisecond
	reply.Body, err = io.ReadAll(reader)
	return reply, err
}
