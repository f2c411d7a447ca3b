package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that a node agent received. The mutex of its world guards its fields.
type arrival struct {
	id, agent, class, function, key string
	at                              time.Time
	ran                             bool
	word                            string // of the answer
}

// world keeps what arrived at the node agents and what ran there.
type world struct {
	rec      *record
	mu       sync.Mutex
	arrivals map[string][]*arrival // by request id
}

func newWorld(rec *record) *world { return &world{rec: rec, arrivals: map[string][]*arrival{}} }

// of returns copies of the arrivals of a request, and the number that ran.
func (w *world) of(id string) (arrivals []arrival, ran int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals[id] {
		arrivals = append(arrivals, *a)
		if a.ran {
			ran++
		}
	}
	return arrivals, ran
}

// agent is a sound stand-in for a node agent, but for the share of requests that it fails.
type agent struct {
	world *world
	uid   string
	addr  string
	lanes chan struct{}

	answerOf func(*arrival) []byte // body of a good answer
	failing  func() float64        // share of requests that fail after they have run

	mu   sync.Mutex
	held map[string]int // requests by function
}

func newAgent(w *world, uid string, cores int) *agent {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("node agent: %v", err)
	}
	a := &agent{world: w, uid: uid, addr: listener.Addr().String(), lanes: make(chan struct{}, cores), held: map[string]int{}}
	a.answerOf = func(got *arrival) []byte { return []byte("answer to " + got.id) }
	a.failing = func() float64 { return 0 }
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c := &agentConn{agent: a, conn: conn, open: map[string]*arrival{}}
			go c.serve()
		}
	}()
	return a
}

func (a *agent) target(state string) target {
	return target{UID: a.uid, Endpoint: a.addr, Zone: "guate-zona4", Model: "std-3c", State: state, Capacity: 3}
}

// hold changes the number of requests for a function and returns the number before.
func (a *agent) hold(function string, change int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.held[function]
	a.held[function] += change
	return before
}

// agentConn is a connection of a scheduler to an agent.
type agentConn struct {
	agent *agent
	conn  net.Conn

	writeMu sync.Mutex
	mu      sync.Mutex
	open    map[string]*arrival
	gone    bool
}

func (c *agentConn) serve() {
	defer func() {
		c.mu.Lock()
		c.gone = true
		c.mu.Unlock()
		c.conn.Close()
	}()
	reader := bufio.NewReader(c.conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 4 && words[0] == "go":
			length, err := strconv.Atoi(words[3])
			if err != nil {
				return
			}
			if _, err := io.CopyN(io.Discard, reader, int64(length)+2); err != nil {
				return
			}
			c.take(words[1], words[2])
		case len(words) == 2 && words[0] == "halt":
			c.mu.Lock()
			delete(c.open, words[1])
			c.mu.Unlock()
			c.agent.world.rec.line("agent %s: %s given up", c.agent.uid, words[1])
		case len(words) == 2 && (words[0] == "ping" || words[0] == "stat"):
			c.write(fmt.Appendf(nil, "%s UP l=util:0.3\r\n", words[1]))
		default:
			return
		}
	}
}

// take handles a request that has arrived whole.
func (c *agentConn) take(id, fields string) {
	got := &arrival{id: id, agent: c.agent.uid, at: time.Now()}
	for field := range strings.SplitSeq(fields, ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "sort":
			got.class = value
		case "asset":
			got.function = value
		case "op":
			got.key = value
		}
	}
	w := c.agent.world
	w.mu.Lock()
	w.arrivals[id] = append(w.arrivals[id], got)
	w.mu.Unlock()
	w.rec.line("agent %s: %s arrived, sort=%s asset=%s", got.agent, id, got.class, got.function)
	c.mu.Lock()
	c.open[id] = got
	c.mu.Unlock()
	go c.run(got)
}

// isOpen reports whether a request is still wanted.
func (c *agentConn) isOpen(got *arrival) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[got.id] == got && !c.gone
}

// run runs a request and answers it, unless it is given up while it waits.
func (c *agentConn) run(got *arrival) {
	a, w := c.agent, c.agent.world
	depth := a.hold(got.function, 1)
	defer a.hold(got.function, -1)
	a.lanes <- struct{}{}
	defer func() { <-a.lanes }()
	if !c.isOpen(got) {
		return
	}
	w.mu.Lock()
	got.ran = true
	w.mu.Unlock()
	w.rec.line("agent %s: %s runs", a.uid, got.id)
	if rand.Float64() < a.failing() {
		time.Sleep(5 * time.Millisecond)
		c.answer(got, "ERR", "-", nil)
		return
	}
	time.Sleep(time.Duration(20+rand.IntN(40)) * time.Millisecond)
	c.answer(got, "OK", fmt.Sprintf("depth=%d,l=util:0.4", depth), a.answerOf(got))
}

func (c *agentConn) answer(got *arrival, word, fields string, body []byte) {
	if !c.isOpen(got) {
		return
	}
	w := c.agent.world
	w.mu.Lock()
	got.word = word
	w.mu.Unlock()
	w.rec.line("agent %s: %s answered %s with %d bytes", got.agent, got.id, word, len(body))
	text := fmt.Appendf(nil, "%s %s %s %d\r\n", got.id, word, fields, len(body))
	c.write(append(append(text, body...), "\r\n"...))
	c.mu.Lock()
	delete(c.open, got.id)
	c.mu.Unlock()
}

func (c *agentConn) write(b []byte) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, _ = c.conn.Write(b)
}
