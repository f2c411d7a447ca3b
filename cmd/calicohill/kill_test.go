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

// closeCrossingWindow is the maximum time between a request and the close of its connection that the protocol counts as
// a crossing. The client sends such a request again.
const closeCrossingWindow = 50 * time.Millisecond

// persistentClient sends sequential requests on a connection, as the web servers do, until connections are refused.
type persistentClient struct {
	sched      *testScheduler
	sent       int
	unanswered []string // errors of unanswered requests, except requests that crossed a close and may be sent again
	class      string
	timeout    time.Duration // budget of each request
}

// run sends requests until a connection is refused.
func (c *persistentClient) run() {
	conn, err := net.Dial("tcp", c.sched.addr)
	resent := false // the request crossed a close and was sent again
	for err == nil {
		var sentAt time.Time
		sentAt, err = c.call(conn)
		if err == nil {
			resent = false
			continue
		}
		conn.Close()
		if crossed := time.Since(sentAt) <= closeCrossingWindow; !crossed || resent {
			c.unanswered = append(c.unanswered, fmt.Sprintf("closed %v after it was sent (resent: %v): %v", time.Since(sentAt), resent, err))
		}
		resent = true
		conn, err = net.Dial("tcp", c.sched.addr)
	}
}

// call sends a request and reads its answer. The error reports a missing answer.
func (c *persistentClient) call(conn net.Conn) (sentAt time.Time, err error) {
	request := newCall(c.class, "x", [2]string{"HTTP_BUDGET_MS", fmt.Sprint(c.timeout.Milliseconds())})
	request.setParam("HTTP_RESOURCE_KEY", request.param("HTTP_REQUEST_ID")) // a different function for each request
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

// Clients that keep sending requests over open connections after SIGTERM must not prevent the program from exiting.
// Previously each check of the drainer found an open request, and the platform killed the program while requests were
// unanswered.
//
// The platform kills the program 0.7 s plus the longest deadline (here one second) after SIGTERM. The program must exit
// earlier and answer every request that it has read. Some answers of the worker are late or missing, so that requests
// are open all the time.
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
	// The check uses the log line instead of the process's exit, which takes longer under the race detector.
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
		for _, unanswered := range client.unanswered {
			t.Errorf("a request was lost: %s", unanswered)
		}
	}
	t.Logf("%d requests", sent)
}

// Repeated SIGTERM signals, mixed with SIGHUP and SIGUSR1, must neither shorten nor lengthen the shutdown.
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
	if len(client.unanswered) > 0 {
		t.Errorf("requests were lost: %q", client.unanswered)
	}
}
