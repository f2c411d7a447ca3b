package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that an agent received whole.
type run struct {
	agent    string
	id       string
	class    string
	function string
	key      string
	at       time.Time
}

// agent is a stand-in of a node agent. It answers each request after a delay with the request's body.
type agent struct {
	name     string
	listener net.Listener
	record   *record
	delay    func() time.Duration

	mu    sync.Mutex
	runs  []run
	conns map[net.Conn]bool
}

func newAgent(name string, rec *record, delay time.Duration) *agent {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("agent: %v", err)
	}
	a := &agent{
		name: name, listener: listener, record: rec, conns: map[net.Conn]bool{},
		delay: func() time.Duration { return delay },
	}
	go a.accept()
	return a
}

func (a *agent) addr() string { return a.listener.Addr().String() }

func (a *agent) accept() {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.conns[conn] = true
		a.mu.Unlock()
		go func() {
			a.serve(conn)
			_ = conn.Close()
			a.mu.Lock()
			delete(a.conns, conn)
			a.mu.Unlock()
		}()
	}
}

func (a *agent) serve(conn net.Conn) {
	reader := bufio.NewReaderSize(conn, 64<<10)
	var write sync.Mutex
	answer := func(text string) {
		write.Lock()
		defer write.Unlock()
		_, _ = io.WriteString(conn, text)
	}
	canceled := map[string]chan struct{}{}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 2 && (words[0] == "stat" || words[0] == "ping"):
			answer(words[1] + " UP l=util:0.10 0\r\n\r\n")
		case len(words) == 2 && words[0] == "halt":
			if c := canceled[words[1]]; c != nil {
				close(c)
				delete(canceled, words[1])
			}
		case len(words) == 4 && words[0] == "go":
			size, err := strconv.Atoi(words[3])
			if err != nil || size < 0 || size > 16<<10 {
				return
			}
			body := make([]byte, size+2)
			if _, err := io.ReadFull(reader, body); err != nil {
				return
			}
			stop := make(chan struct{})
			canceled[words[1]] = stop
			a.received(words[1], words[2])
			go func() {
				select {
				case <-time.After(a.delay()):
					answer(fmt.Sprintf("%s OK depth=0,l=util:0.10 %d\r\n%s", words[1], size, body))
				case <-stop:
				}
			}()
		default:
			return
		}
	}
}

func (a *agent) received(id, fields string) {
	got := run{agent: a.name, id: id, at: time.Now()}
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
	a.mu.Lock()
	a.runs = append(a.runs, got)
	a.mu.Unlock()
	a.record.add("run %s id=%s class=%s key=%s", a.name, id, got.class, got.key)
}

// all returns the requests received so far.
func (a *agent) all() []run {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]run(nil), a.runs...)
}
