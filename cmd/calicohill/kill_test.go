package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// crossingTime is how long before or after a close a request may cross it, by the protocol: the client sends it again.
const crossingTime = 50 * time.Millisecond

// persistentClient sends one request after the other on a connection, as the web servers do, until nobody listens.
type persistentClient struct {
	sched   *testScheduler
	sent    int
	lost    []string // what became of requests that were read, or crossed no close, and got no answer
	class   string
	timeout time.Duration // that the client waits for an answer
}

// run sends requests until a connection is refused.
func (c *persistentClient) run() {
	conn, err := net.Dial("tcp", c.sched.addr)
	again := false // the request crossed a close and was sent again
	for err == nil {
		var sentAt time.Time
		sentAt, err = c.call(conn)
		if err == nil {
			again = false
			continue
		}
		conn.Close()
		if crossed := time.Since(sentAt) <= crossingTime; !crossed || again {
			c.lost = append(c.lost, fmt.Sprintf("closed %v after it was sent (again: %v): %v", time.Since(sentAt), again, err))
		}
		again = true
		conn, err = net.Dial("tcp", c.sched.addr)
	}
}

// call sends a request and reads its answer. The error says that there is none.
func (c *persistentClient) call(conn net.Conn) (sentAt time.Time, err error) {
	request := newCall(c.class, "x", [2]string{"HTTP_BUDGET_MS", fmt.Sprint(c.timeout.Milliseconds())})
	request.setParam("HTTP_RESOURCE_KEY", request.param("HTTP_REQUEST_ID")) // a function of its own
	sentAt = time.Now()
	if _, err := conn.Write(request.bytes()); err != nil {
		return sentAt, err
	}
	c.sent++
	client := &testClient{conn: conn, reader: bufio.NewReader(conn)}
	for {
		kind, _, _, err := client.readRecord()
		if err != nil {
			return sentAt, err
		}
		if kind == typeEndRequest {
			return sentAt, nil
		}
	}
}

// Seen on reading: clients that go on over open connections after SIGTERM kept the program from ending, since there was
// an open request at each of its checks, until the platform's kill, which found requests unanswered.
//
// The kill comes the longest deadline, here one second, and 0.7 s after SIGTERM. The program ends before, and no
// request that it took is without an answer. Workers that answer late, and never, have requests open all the while.
func TestClientsGoOnUntilKill(t *testing.T) {
	const deadline = time.Second
	slow := newAgent(t, withLatency(func(n int, _ agentRequest) time.Duration {
		return time.Duration(n%10) * 30 * time.Millisecond
	}, func(n int, request agentRequest) string {
		if n%10 == 9 {
			return ""
		}
		return echo(n, request)
	}))
	sched := newTestScheduler(t)
	sched.settingsEdits = [][2]string{
		{`"hardLimitMs":2500`, `"hardLimitMs":1000`}, {`"hardLimitMs":3000`, `"hardLimitMs":1000`},
	}
	sched.addEvent(true, "a SERVING "+slow.addr)
	sched.start()
	var clients []*persistentClient
	var running sync.WaitGroup
	for i := range 24 {
		client := &persistentClient{sched: sched, class: []string{"consulta", "registro-horas", "certificado"}[i%3], timeout: deadline}
		clients = append(clients, client)
		running.Go(client.run)
	}
	waitUntil(t, "the worker is busy", func() bool { return len(slow.received()) > 50 })
	if err := sched.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	// Judged by the log line, since the race detector delays the exit of the process by a second.
	kill := time.AfterFunc(deadline+drainDelay, func() {
		if !strings.Contains(sched.log.String(), logEnded) {
			_ = sched.cmd.Process.Kill()
		}
	})
	defer kill.Stop()
	err := <-sched.ended
	sched.ended <- err
	if err != nil {
		t.Errorf("ended with %v, want an exit before the kill", err)
	}
	running.Wait()
	sent := 0
	for _, client := range clients {
		sent += client.sent
		for _, lost := range client.lost {
			t.Errorf("a request is lost: %s", lost)
		}
	}
	t.Logf("%d requests", sent)
}

// A second SIGTERM, and a SIGHUP and SIGUSR1 among them, neither hasten nor delay the end.
func TestSignalsInSeries(t *testing.T) {
	sched, _ := startWithAgent(t, echo)
	client := &persistentClient{sched: sched, class: "consulta", timeout: time.Second}
	var running sync.WaitGroup
	running.Go(client.run)
	began := time.Now()
	for _, received := range []syscall.Signal{
		syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGTERM,
	} {
		if err := sched.cmd.Process.Signal(received); err != nil && !errors.Is(err, syscall.ESRCH) {
			t.Fatal(err)
		}
	}
	sched.waitForExit()
	if took := time.Since(began); took < drainDelay {
		t.Errorf("ended %v after the first SIGTERM, want no sooner than %v", took, drainDelay)
	}
	running.Wait()
	if len(client.lost) > 0 {
		t.Errorf("requests are lost: %q", client.lost)
	}
}
