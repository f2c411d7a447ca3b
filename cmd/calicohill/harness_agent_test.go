package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"calicohill/internal/testbed/standin"

	"golang.org/x/sys/unix"
)

// agentRequest is a request as a node agent receives it.
type agentRequest struct {
	id     string
	fields map[string]string
	body   string
	conn   int // number of the connection, from 1
}

// nodeAgent is a node agent with scripted answers. It calls reply for each request, with the request's number counted
// from 1, and sends the bytes that reply returns. If they are empty, the request stays unanswered.
type nodeAgent struct {
	t        *testing.T
	addr     string
	listener net.Listener
	reply    func(n int, request agentRequest) string
	// idleReset is the idle time after which a connection is reset by the next request; 0 for never.
	idleReset time.Duration
	// While draining is set, the agent rejects requests and answers health checks with DOWN.
	draining atomic.Bool

	mu       sync.Mutex
	requests []agentRequest // in order of arrival
	canceled []string       // IDs of canceled requests
	conns    int            // number of accepted connections
	closed   int            // number of accepted connections that are closed
	checks   int            // number of received health checks
	open     map[net.Conn]bool
}

// resetConnection is a reply that resets the connection.
const resetConnection = "\x00"

// newAgent starts an agent that runs until the end of the test.
func newAgent(t *testing.T, reply func(n int, request agentRequest) string) *nodeAgent {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	agent := listeningAgent(t, listener, reply)
	go agent.accept()
	return agent
}

// listenForEach starts a node agent that calls serve for each connection, on a goroutine of its own, until the end of
// the test. It returns the agent's address.
func listenForEach(t *testing.T, serve func(net.Conn)) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// listeningAgent returns an agent that does not accept connections yet.
func listeningAgent(t *testing.T, listener net.Listener, reply func(n int, request agentRequest) string) *nodeAgent {
	t.Helper()
	return &nodeAgent{t: t, addr: listener.Addr().String(), listener: listener, reply: reply, open: map[net.Conn]bool{}}
}

// accept accepts connections until the listener is closed.
func (a *nodeAgent) accept() {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.conns++
		n := a.conns
		a.mu.Unlock()
		go a.serve(conn, n)
	}
}

// newLateAgent returns an agent that does not accept connections until open is called, because its listen backlog is
// full. After that call, a dialed connection is established by its next SYN, about a second after its first one.
func newLateAgent(t *testing.T, reply func(n int, request agentRequest) string) (agent *nodeAgent, open func()) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	raw, err := listener.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var listenErr error
	controlErr := raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), 0) })
	if err := errors.Join(controlErr, listenErr); err != nil {
		t.Fatal(err)
	}
	filler, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	agent = listeningAgent(t, listener, reply)
	return agent, func() {
		filler.Close()
		if conn, err := listener.Accept(); err == nil { // the filler's
			conn.Close()
		}
		go agent.accept()
	}
}

// closeConns closes all connections.
func (a *nodeAgent) closeConns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for conn := range a.open {
		conn.Close()
	}
}

// agentConnection is a connection that a node agent accepted.
type agentConnection struct {
	net.Conn
	agent   *nodeAgent
	writing sync.Mutex
}

// serve reads commands from a connection until it is closed, and answers each request on a goroutine of its own.
func (a *nodeAgent) serve(conn net.Conn, number int) {
	defer a.track(conn)()
	connection := &agentConnection{Conn: conn, agent: a}
	last := time.Now()
	for reader := bufio.NewReader(conn); ; last = time.Now() {
		command, err := standin.ReadAgentCommand(reader)
		if errors.Is(err, standin.ErrMalformedCommand) {
			a.t.Error(err)
		}
		if err != nil {
			return
		}
		if a.idleReset > 0 && time.Since(last) > a.idleReset {
			resetOnClose(conn)
			return
		}
		switch command.Verb {
		case standin.AgentCancel:
			a.recordCanceled(command.ID)
		case standin.AgentPing, standin.AgentStatus:
			connection.answerHealthCheck(command.ID)
		case standin.AgentStart:
			request := agentRequest{id: command.ID, fields: command.Fields, body: command.Body, conn: number}
			n := a.recordRequest(request)
			go connection.answer(n, request)
		default:
			a.t.Errorf("unknown command %q", command.Verb)
			return
		}
	}
}

// answerHealthCheck answers a health check with UP, or with DOWN while the agent is draining.
func (c *agentConnection) answerHealthCheck(tag string) {
	c.agent.mu.Lock()
	c.agent.checks++
	c.agent.mu.Unlock()
	status := standin.AnswerUp
	if c.agent.draining.Load() {
		status = standin.AnswerDown
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	_, _ = fmt.Fprintf(c.Conn, "%s %s\r\n", tag, status) // fails if the scheduler has closed the connection
}

// answer writes the agent's reply to a request.
func (c *agentConnection) answer(n int, request agentRequest) {
	text := ""
	if c.agent.draining.Load() {
		text = answerLine(request.id, string(standin.AnswerBusy), "-", "")
	} else {
		text = c.agent.reply(n, request)
	}
	if text == resetConnection {
		resetOnClose(c.Conn)
		c.Close()
		return
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	_, _ = io.WriteString(c, text) // fails if the scheduler has closed the connection
}

// track records an open connection. The returned function closes the connection and counts it as closed.
func (a *nodeAgent) track(conn net.Conn) (release func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open[conn] = true
	return func() {
		conn.Close()
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.open, conn)
		a.closed++
	}
}

// recordCanceled records that the scheduler canceled a request.
func (a *nodeAgent) recordCanceled(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.canceled = append(a.canceled, id)
}

// recordRequest records a request and returns its number.
func (a *nodeAgent) recordRequest(request agentRequest) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests = append(a.requests, request)
	return len(a.requests)
}

// received returns the requests received so far.
func (a *nodeAgent) received() []agentRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]agentRequest(nil), a.requests...)
}

// answerLine returns an answer in the node agents' protocol.
func answerLine(id, status, fields, body string) string {
	return standin.AgentAnswer{ID: id, Status: standin.AnswerStatus(status), Fields: fields, Body: body}.String()
}

// echo answers a request with its own body.
func echo(_ int, request agentRequest) string {
	return answerLine(request.id, "OK", "depth=0,l=util:0.5", "re:"+request.body)
}

// withLatency returns a reply function that delays each reply by the worker's service time for that request.
func withLatency(latency func(n int, request agentRequest) time.Duration, reply func(int, agentRequest) string) func(int, agentRequest) string {
	return func(n int, request agentRequest) string {
		time.Sleep(latency(n, request)) // simulates the service time
		return reply(n, request)
	}
}

// startWithUnresponsiveAgent starts a scheduler with an agent that does not answer requests on its first connection.
func startWithUnresponsiveAgent(t *testing.T) (sched *testScheduler, agent *nodeAgent) {
	t.Helper()
	sched, agent = startWithAgent(t, func(n int, request agentRequest) string {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		if agent.conns == 1 {
			return ""
		}
		return echo(n, request)
	})
	return sched, agent
}

// answerWith returns a reply function that answers every request with the given body.
func answerWith(text string) func(int, agentRequest) string {
	return func(_ int, request agentRequest) string { return answerLine(request.id, "OK", "-", text) }
}

// startWithLateAgent starts a scheduler with one worker. Connections to the worker are established only after open is
// called, long after they were dialed.
func startWithLateAgent(t *testing.T) (sched *testScheduler, agent *nodeAgent, open func()) {
	t.Helper()
	agent, open = newLateAgent(t, echo)
	sched = newTestScheduler(t)
	sched.settingsEdits = [][2]string{{`"connectTimeoutMs":250`, `"connectTimeoutMs":4000`}}
	sched.addEvent(true, "late SERVING "+agent.addr)
	return sched.start(), agent, open
}
