package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"calicohill/internal/testbed"

	"golang.org/x/sys/unix"
)

// agentRequest is a request as a node agent receives it.
type agentRequest struct {
	id     string
	fields map[string]string
	body   string
	conn   int // number of the connection that it arrived on, from 1
}

// nodeAgent is a node agent that answers by a script. reply is called for each request with its number, from 1, and returns
// the bytes of the answer; an empty one leaves the request unanswered.
type nodeAgent struct {
	t        *testing.T
	addr     string
	listener net.Listener
	reply    func(n int, request agentRequest) string
	// idleReset is the idle time after which the next request resets its connection; 0 for never.
	idleReset time.Duration

	mu     sync.Mutex
	seen   []agentRequest
	halted []string
	conns  int
	closed int
	open   map[net.Conn]bool
}

// resetConnection is a reply that resets the connection.
const resetConnection = "\x00"

func newAgent(t *testing.T, reply func(n int, request agentRequest) string) *nodeAgent {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	agent := &nodeAgent{t: t, addr: listener.Addr().String(), listener: listener, reply: reply}
	t.Cleanup(func() { listener.Close() })
	go agent.accept()
	return agent
}

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

// newLateAgent returns an agent that accepts no connection before open is called: its listen backlog is full until then.
// Connections are established by the next SYN after that, about a second after the first one.
func newLateAgent(t *testing.T, reply func(n int, request agentRequest) string) (agent *nodeAgent, open func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = errors.Join(err, raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }), err)
	}
	if err != nil {
		t.Fatal(err)
	}
	fill, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	agent = &nodeAgent{t: t, addr: listener.Addr().String(), listener: listener, reply: reply}
	return agent, func() {
		fill.Close()
		if conn, err := listener.Accept(); err == nil { // what filled the queue
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

func (a *nodeAgent) serve(conn net.Conn, number int) {
	a.mu.Lock()
	if a.open == nil {
		a.open = map[net.Conn]bool{}
	}
	a.open[conn] = true
	a.mu.Unlock()
	defer func() {
		conn.Close()
		a.mu.Lock()
		delete(a.open, conn)
		a.closed++
		a.mu.Unlock()
	}()
	var writing sync.Mutex
	last := time.Now()
	for reader := bufio.NewReader(conn); ; last = time.Now() {
		command, err := testbed.ReadAgentCommand(reader)
		if errors.Is(err, testbed.ErrMalformedCommand) {
			a.t.Error(err)
		}
		if err != nil {
			return
		}
		if a.idleReset > 0 && time.Since(last) > a.idleReset {
			resetOnClose(conn)
			return
		}
		if command.Verb == testbed.AgentCancel {
			a.noteCanceled(command.ID)
			continue
		}
		if command.Verb != testbed.AgentStart {
			a.t.Errorf("command %q, which scripted agents do not answer", command.Verb)
			return
		}
		request := agentRequest{id: command.ID, fields: command.Fields, body: command.Body, conn: number}
		n := a.noteReceived(request)
		go func() {
			text := a.reply(n, request)
			if text == resetConnection {
				resetOnClose(conn)
				conn.Close()
			}
			writing.Lock()
			defer writing.Unlock()
			_, _ = io.WriteString(conn, text) // fails if the scheduler has closed the connection
		}()
	}
}

// noteCanceled notes that the scheduler canceled a request.
func (a *nodeAgent) noteCanceled(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.halted = append(a.halted, id)
}

// noteReceived notes a request, and returns its number.
func (a *nodeAgent) noteReceived(request agentRequest) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seen = append(a.seen, request)
	return len(a.seen)
}

// received returns the requests that have arrived so far.
func (a *nodeAgent) received() []agentRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]agentRequest(nil), a.seen...)
}

// answerLine returns an answer in the agents' protocol.
func answerLine(id, status, fields, body string) string {
	return testbed.AgentAnswer{ID: id, Status: testbed.AnswerStatus(status), Fields: fields, Body: body}.String()
}

// echo is a reply with the request's own body.
func echo(_ int, request agentRequest) string {
	return answerLine(request.id, "OK", "depth=0,l=util:0.5", "re:"+request.body)
}

// startWithDeafAgent starts a scheduler with an agent that answers nothing on its first connection.
func startWithDeafAgent(t *testing.T) (sched *testScheduler, agent *nodeAgent) {
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

func answerWith(name string) func(int, agentRequest) string {
	return func(_ int, request agentRequest) string { return answerLine(request.id, "OK", "-", name) }
}

// startWithLateAgent starts a scheduler with one worker, whose connections are established only after open is called, long
// after they were dialed.
func startWithLateAgent(t *testing.T) (sched *testScheduler, agent *nodeAgent, open func()) {
	t.Helper()
	agent, open = newLateAgent(t, echo)
	sched = newTestScheduler(t)
	sched.settingsEdits = [][2]string{{`"connectTimeoutMs":250`, `"connectTimeoutMs":4000`}}
	sched.addEvent(true, "late SERVING "+agent.addr)
	return sched.start(), agent, open
}
