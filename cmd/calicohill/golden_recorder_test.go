package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"
)

// agentMessage is one complete message that an agent received.
type agentMessage struct {
	conn net.Conn
	text string
}

// id returns the request ID in the message.
func (m agentMessage) id() string { return strings.Fields(m.text)[1] }

// exchangeRecorder runs one exchange step by step and records the bytes that each side sends and receives. The test
// controls every step, so that their order does not depend on timing.
type exchangeRecorder struct {
	t         *testing.T
	scheduler *testScheduler
	messages  chan agentMessage // received by the agents, in order
	polls     chan string       // received by the list service
	client    net.Conn
	out       *strings.Builder
}

// newExchangeRecorder starts the program with a number of agents. The recorder acts as all of them.
func newExchangeRecorder(t *testing.T, out *strings.Builder, agents int) *exchangeRecorder {
	t.Helper()
	recorder := &exchangeRecorder{t: t, scheduler: newTestScheduler(t), messages: make(chan agentMessage, 64), polls: make(chan string, 64), out: out}
	recorder.recordPolls()
	var workers []string
	for i := range agents {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		go recorder.acceptAgent(listener)
		workers = append(workers, fmt.Sprintf("%c SERVING %s", 'a'+i, listener.Addr()))
	}
	recorder.scheduler.addEvent(true, workers...)
	recorder.scheduler.start()
	conn, err := net.Dial("tcp", recorder.scheduler.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	recorder.client = conn
	return recorder
}

// acceptAgent accepts the connections to an agent and reads their messages.
func (r *exchangeRecorder) acceptAgent(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.t.Cleanup(func() { conn.Close() })
		go r.readAgent(conn)
	}
}

func (r *exchangeRecorder) readAgent(conn net.Conn) {
	for in := bufio.NewReader(conn); ; {
		text, err := in.ReadString('\n')
		if err == nil && strings.HasPrefix(text, "go ") {
			words := strings.Fields(text)
			size, _ := strconv.Atoi(words[len(words)-1])
			body := make([]byte, size+len("\r\n"))
			_, err = io.ReadFull(in, body)
			text += string(body)
		}
		if text != "" {
			r.messages <- agentMessage{conn: conn, text: text}
		}
		if err != nil {
			return
		}
	}
}

// recordPolls replaces the scheduler's list service with one that records the bytes of each poll.
func (r *exchangeRecorder) recordPolls() {
	r.scheduler.listServer.Close()
	r.scheduler.listServer = httptest.NewUnstartedServer(http.HandlerFunc(r.scheduler.poll))
	r.scheduler.listServer.Listener = recordingListener{r.scheduler.listServer.Listener, r.polls}
	r.scheduler.listServer.Start()
}

// recordingListener sends each request that its connections receive to a channel.
type recordingListener struct {
	net.Listener
	requests chan string
}

func (l recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordingConn{Conn: conn, requests: l.requests}, nil
}

type recordingConn struct {
	net.Conn
	requests chan string
	pending  []byte
}

func (c *recordingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.pending = append(c.pending, data[:n]...)
	const headEnd = "\r\n\r\n" // polls have no body
	for end := bytes.Index(c.pending, []byte(headEnd)); end >= 0; end = bytes.Index(c.pending, []byte(headEnd)) {
		end += len(headEnd)
		select {
		case c.requests <- string(c.pending[:end]):
		default: // the buffer is full: it holds more polls than any exchange compares
		}
		c.pending = c.pending[end:]
	}
	return n, err
}

// write adds a line to the recording: the side that sends or receives, and the quoted bytes.
func (r *exchangeRecorder) write(who, text string) { fmt.Fprintf(r.out, "%s %s\n", who, quote(text)) }

// quote quotes bytes in Go syntax and abbreviates runs of 64 or more equal bytes to a product such as "x"*5000.
func quote(text string) string {
	const long = 64
	var parts []string
	rest := 0
	for i := 0; i < len(text); {
		n := len(text[i:]) - len(strings.TrimLeft(text[i:], text[i:i+1]))
		if n = max(n, 1); n >= long {
			if rest < i {
				parts = append(parts, strconv.QuoteToASCII(text[rest:i]))
			}
			parts = append(parts, fmt.Sprintf("%s*%d", strconv.QuoteToASCII(text[i:i+1]), n))
			rest = i + n
		}
		i += n
	}
	if rest < len(text) || text == "" {
		parts = append(parts, strconv.QuoteToASCII(text[rest:]))
	}
	return strings.Join(parts, " + ")
}

// splitRecords splits FastCGI data into records. Trailing data that is not a complete record becomes the last element.
func splitRecords(data []byte) (records []string) {
	const header = 8
	for len(data) >= header && data[0] == 1 {
		n := header + int(binary.BigEndian.Uint16(data[4:])) + int(data[6])
		if n > len(data) {
			break
		}
		records, data = append(records, string(data[:n])), data[n:]
	}
	if len(data) > 0 {
		records = append(records, string(data))
	}
	return records
}

// clientSends sends data as the client and records it.
func (r *exchangeRecorder) clientSends(data []byte) {
	r.t.Helper()
	for _, text := range splitRecords(data) {
		r.write("client sends   ", text)
	}
	if _, err := r.client.Write(data); err != nil {
		r.t.Fatalf("client: %v", err)
	}
}

// clientReceives reads records as the client, up to and including the first record of the type last.
func (r *exchangeRecorder) clientReceives(last byte) {
	r.t.Helper()
	for {
		setReadDeadline(r.t, r.client)
		data := make([]byte, 8)
		if _, err := io.ReadFull(r.client, data); err != nil {
			r.t.Fatalf("client: reading a record: %v", err)
		}
		content := make([]byte, int(binary.BigEndian.Uint16(data[4:]))+int(data[6]))
		if _, err := io.ReadFull(r.client, content); err != nil {
			r.t.Fatalf("client: reading a record: %v", err)
		}
		r.write("client receives", string(append(data, content...)))
		if data[1] == last {
			return
		}
	}
}

// clientReceivesClose reads as the client until the connection is closed.
func (r *exchangeRecorder) clientReceivesClose() {
	r.t.Helper()
	setReadDeadline(r.t, r.client)
	data, err := io.ReadAll(r.client)
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		r.t.Fatal("client: the connection was not closed")
	}
	for _, text := range splitRecords(data) {
		r.write("client receives", text)
	}
	fmt.Fprintln(r.out, "client receives the end of the connection")
}

// agentReceives waits for the next message to an agent, records it and returns it.
func (r *exchangeRecorder) agentReceives() agentMessage {
	r.t.Helper()
	select {
	case message := <-r.messages:
		r.write("agent receives ", r.withoutTimeout(message.text))
		return message
	case <-time.After(waitTimeout):
		r.t.Fatal("no agent received a message")
		return agentMessage{}
	}
}

// withoutTimeout replaces the remaining time of an attempt with a placeholder. The remaining time must be within the
// budget of the request.
func (r *exchangeRecorder) withoutTimeout(text string) string {
	if m := timeoutField.FindStringSubmatch(text); m != nil {
		if ms, err := strconv.Atoi(m[1]); err != nil || ms <= 0 || ms > goldenBudget {
			r.t.Errorf("patience=%s, want more than 0 and at most the budget of %d", m[1], goldenBudget)
		}
	}
	return timeoutField.ReplaceAllString(text, ",patience=PATIENCE$2")
}

// agentSends answers a message. It replaces {id} in text with the request ID of the message.
func (r *exchangeRecorder) agentSends(message agentMessage, text string) {
	r.t.Helper()
	text = strings.ReplaceAll(text, "{id}", message.id())
	r.write("agent sends    ", text)
	if _, err := io.WriteString(message.conn, text); err != nil {
		r.t.Fatalf("agent: %v", err)
	}
}

// agentCloses closes the connection on which a message arrived, with a reset if reset is set.
func (r *exchangeRecorder) agentCloses(message agentMessage, reset bool) {
	how := "closes"
	if reset {
		how = "resets"
		resetOnClose(message.conn)
	}
	fmt.Fprintf(r.out, "agent %s the connection\n", how)
	message.conn.Close()
}

// listServiceReceivesPoll waits for the next poll of the list service and records it.
func (r *exchangeRecorder) listServiceReceivesPoll() {
	r.t.Helper()
	select {
	case text := <-r.polls:
		r.write("list service receives", hostHeader.ReplaceAllString(text, "\r\nHost: 127.0.0.1:PORT\r\n"))
	case <-time.After(waitTimeout):
		r.t.Fatal("the list service is not polled")
	}
}

// finish checks that the agents receive no further messages. It first sends a health check on another connection: when
// the answer arrives, the program has sent all messages of the exchange.
func (r *exchangeRecorder) finish() {
	r.t.Helper()
	client := r.scheduler.connect()
	client.send(healthRequest())
	client.readAnswer()
	for {
		select {
		case message := <-r.messages:
			r.t.Errorf("an agent received an unexpected message: %q", message.text)
		default:
			return
		}
	}
}
