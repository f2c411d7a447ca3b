package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// What ends while something is owed: each crossing is forced by what peers do, and in which order.

// late is a site with one worker whose connections come up only after open, and long after they were asked for.
func startWithLateAgent(t *testing.T) (sched *testScheduler, agent *nodeAgent, open func()) {
	t.Helper()
	agent, open = newLateAgent(t, echo)
	sched = newTestScheduler(t)
	sched.settingsEdits = [][2]string{{`"connectTimeoutMs":250`, `"connectTimeoutMs":4000`}}
	sched.addEvent(true, "late SERVING "+agent.addr)
	return sched.start(), agent, open
}

// A request whose client left while the connection for it was being made never reaches the worker, and one whose
// client stayed does.
func TestLeftWhileDialing(t *testing.T) {
	for _, tt := range []struct {
		name  string
		leave func(client *testClient, request clientRequest)
	}{
		{"cancels", func(client *testClient, request clientRequest) {
			client.write(encodeRecord(2, request.id, 0, ""))
			if got := client.readAnswer(); got.id != request.id {
				client.t.Errorf("the end of request %d, want %d", got.id, request.id)
			}
		}},
		{"closes", func(client *testClient, _ clientRequest) { client.conn.Close() }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			sched, agent, open := startWithLateAgent(t)
			gone, stays := sched.connect(), sched.connect()
			request := newCall("certificado", "gone")
			gone.send(request)
			stays.send(newCall("certificado", "stays"))
			time.Sleep(100 * time.Millisecond) // both wait for the connection, which can't come up
			tt.leave(gone, request)
			open()
			if got := stays.readAnswer(); got.body != "re:stays" {
				t.Errorf("the client that stayed got status %d", got.status)
			}
			if had := agent.received(); len(had) != 1 || had[0].body != "stays" {
				t.Errorf("the worker had %v, want the request of the client that stayed alone", had)
			}
		})
	}
}

// A worker that begins to drain while the connection to it is being made gets nothing on it.
func TestDrainsWhileDialing(t *testing.T) {
	sched, agentA, open := startWithLateAgent(t)
	agentB := newAgent(t, answerWith("b"))
	client := sched.connect()
	client.send(newCall("certificado", "x"))
	time.Sleep(100 * time.Millisecond)
	sched.addEventAndWait(false, "late DRAINING "+agentA.addr, "b SERVING "+agentB.addr)
	if got := client.readAnswer(); got.body != "b" {
		t.Errorf("status %d, want it served by the other worker", got.status)
	}
	open()
	waitUntil(t, "the connection is up", func() bool {
		agentA.mu.Lock()
		defer agentA.mu.Unlock()
		return agentA.conns > 0
	})
	waitUntilServedBy(t, sched, "b")
	if had := agentA.received(); len(had) != 0 {
		t.Errorf("the worker that drains had %v", had)
	}
}

// A repeat whose connection comes up when the workers have forgotten its key is not sent any more: they would not
// drop it.
func TestRepeatWaitsTooLong(t *testing.T) {
	breaks := make(chan struct{})
	first := newAgent(t, func(int, agentRequest) string { <-breaks; return resetConnection })
	agent, open := newLateAgent(t, echo)
	sched := newTestScheduler(t)
	sched.settingsEdits = [][2]string{{`"connectTimeoutMs":250`, `"connectTimeoutMs":4000`}, {`"memorySpanMs":2500`, `"memorySpanMs":600`}}
	sched.addEvent(true, "first SERVING "+first.addr)
	client := sched.start().connect()
	client.send(newCall("registro-horas", "x", [2]string{"HTTP_BUDGET_MS", "2400"}))
	waitUntil(t, "the request is at the first worker", func() bool { return len(first.received()) == 1 })
	sched.addEventAndWait(false, "late SERVING "+agent.addr)
	close(breaks) // it may have run there: the repeat goes to the other
	time.Sleep(100 * time.Millisecond)
	open() // the connection comes up a second after it was asked for
	if got := client.readAnswer(); got.status != 503 {
		t.Errorf("status %d, want a refusal", got.status)
	}
	waitUntil(t, "the connection is up", func() bool {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		return agent.conns > 0
	})
	client.send(newCall("consulta", "next"))
	client.readAnswer()
	for _, request := range agent.received() {
		if request.body == "x" {
			t.Error("the repeat was sent after the workers had forgotten its key")
		}
	}
}

// halfWritten is a site whose first client has answers of some MB coming and reads none of it, so that the system does
// not take all of them. Few clients find room beside it.
func startHalfWritten(t *testing.T, last func(*clientRequest)) (sched *testScheduler, client *testClient, whole func()) {
	t.Helper()
	big := strings.Repeat("0123456789", 100_000)
	agent := newAgent(t, func(n int, request agentRequest) string {
		if request.body == "big" {
			return answerLine(request.id, "OK", "-", big)
		}
		return echo(n, request)
	})
	sched = newTestScheduler(t)
	sched.maxSockets = 90
	sched.addEvent(true, "a SERVING "+agent.addr)
	client = sched.start().connectSlowReader()
	const count = 5
	for id := uint16(1); id <= count; id++ {
		request := newCall("consulta", "big", [2]string{"HTTP_X_SPEC", "lanes:8"})
		if request.id = id; id == count && last != nil {
			last(&request)
		}
		client.send(request)
	}
	waitUntil(t, "all requests are at the worker", func() bool { return len(agent.received()) == count })
	return sched, client, func() {
		t.Helper()
		for range count {
			if got := client.readAnswer(); got.status != 200 || got.body != big {
				t.Fatalf("request %d got status %d and %d bytes, want %d", got.id, got.status, len(got.body), len(big))
			}
		}
	}
}

// Answers that are half written when the program is told to end go out whole, if their client takes its time too.
func TestHalfWrittenAtTheEnd(t *testing.T) {
	sched, _, whole := startHalfWritten(t, nil)
	if err := sched.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1500 * time.Millisecond) // it may end 0.7 s after that
	whole()
	sched.waitForExit()
}

// A client that reads nothing does not keep the program from its end.
func TestNeverReadAtTheEnd(t *testing.T) {
	sched, _, _ := startHalfWritten(t, nil)
	if err := sched.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	sched.waitForExit()
}

// A connection that is to end with a request ends when all answers on it are sent.
func TestHalfWrittenOnce(t *testing.T) {
	_, client, whole := startHalfWritten(t, func(request *clientRequest) { request.closeAfter = true })
	time.Sleep(300 * time.Millisecond)
	whole()
	if !client.closedByServer() {
		t.Error("the connection stays open")
	}
}

// A connection with answers half written has no request open any more, and is not the one to make room all the same.
func TestHalfWrittenMakesNoRoom(t *testing.T) {
	sched, _, whole := startHalfWritten(t, nil)
	for range 30 { // 29 find room
		client := sched.connect()
		client.send(newCall("consulta", "x"))
		if got := client.readAnswer(); got.body != "re:x" {
			t.Errorf("status %d, want it served", got.status)
		}
	}
	whole()
}

// What waits for clients that do not read is bounded for all of them together: each alone stays within its own bound.
func TestUnreadAnswersAreBounded(t *testing.T) {
	big := strings.Repeat("0123456789", 25_000)
	agent := newAgent(t, func(n int, request agentRequest) string {
		if request.body == "big" {
			return answerLine(request.id, "OK", "-", big)
		}
		return echo(n, request)
	})
	sched := newTestScheduler(t)
	sched.maxSockets, sched.memoryMB = 90, 32
	sched.addEvent(true, "a SERVING "+agent.addr)
	sched.start()
	const closed = "too much waits for clients that do not read"
	waitUntil(t, "one of them is closed", func() bool {
		client := sched.connectSlowReader()
		for id := uint16(1); id <= 20 && !strings.Contains(sched.log.String(), closed); id++ {
			request := newCall("consulta", "big", [2]string{"HTTP_X_SPEC", "lanes:30"})
			request.id = id
			had := len(agent.received())
			_, _ = client.conn.Write(request.bytes()) // fails if it is the one that was closed
			waitUntil(t, "the worker has it", func() bool { return len(agent.received()) > had || strings.Contains(sched.log.String(), closed) })
		}
		return strings.Contains(sched.log.String(), closed)
	})
	client := sched.connect()
	client.send(newCall("consulta", "x"))
	if got := client.readAnswer(); got.body != "re:x" {
		t.Errorf("status %d for a client that reads", got.status)
	}
}

// stopped stops the program for what is done meanwhile.
func (s *testScheduler) whileStopped(meanwhile func()) {
	s.t.Helper()
	if err := s.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		s.t.Fatal(err)
	}
	waitUntil(s.t, "the program stands still", func() bool {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.cmd.Process.Pid))
		return err == nil && strings.Contains(string(text), ") T ")
	})
	meanwhile()
	if err := s.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		s.t.Fatal(err)
	}
}

// Clients that came while a program that is to end had no processor are served, though its time is up when it has one
// again: their connections were taken by the system, one after the other by the program.
func TestStalledAtTheEnd(t *testing.T) {
	sched, _ := startWithAgent(t, echo)
	var fronts []*testClient
	if err := sched.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "it drains", func() bool { return strings.Contains(sched.log.String(), "draining") })
	sched.whileStopped(func() {
		for range 20 {
			client := sched.connect()
			client.send(newCall("consulta", "x"))
			fronts = append(fronts, client)
		}
		time.Sleep(2 * time.Second)
	})
	for _, client := range fronts {
		if got := client.readAnswer(); got.body != "re:x" && got.status != 503 {
			t.Errorf("status %d", got.status)
		}
	}
	sched.waitForExit()
}

// A configuration that is read for long, as from a disk that stands still, does not hold up the end, and neither do
// many orders to read it.
func TestTermAmidReload(t *testing.T) {
	sched, _ := startWithAgent(t, echo)
	fifo := filepath.Join(t.TempDir(), "config")
	if err := unix.Mkfifo(fifo, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(fifo, sched.configFile); err != nil { // whoever reads it waits for a writer
		t.Fatal(err)
	}
	for range 8 {
		if err := sched.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond) // or the system makes one of them
	}
	if err := sched.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	client := sched.connect()
	client.send(newCall("consulta", "x"))
	if got := client.readAnswer(); got.body != "re:x" {
		t.Errorf("status %d right after SIGTERM", got.status)
	}
	sched.waitForExit()
}

// Dials that come up all at once, with clients in all places that there are for them, leave descriptors for one more
// client: without one the event loop would end.
func TestDescriptorsOfDials(t *testing.T) {
	sched := newTestScheduler(t)
	sched.maxSockets = 66
	sched.settingsEdits = [][2]string{{`"connectTimeoutMs":250`, `"connectTimeoutMs":6000`}}
	var targets []string
	var open []func()
	for i := range 40 {
		agent, up := newLateAgent(t, echo)
		targets, open = append(targets, fmt.Sprintf("w%d SERVING %s", i, agent.addr)), append(open, up)
	}
	sched.addEvent(true, targets...)
	sched.start()
	asks := sched.connect()
	for id := uint16(1); id <= 30; id++ { // each for a worker that none of the others is at
		request := newCall("consulta", "x", [2]string{"HTTP_BUDGET_MS", "8000"})
		request.id, request.params[4][1] = id, fmt.Sprintf("%016x", uint64(id)*0x9e3779b97f4a7c15)
		asks.send(request)
	}
	time.Sleep(200 * time.Millisecond) // the dials are under way, and none can come up
	var idle []*testClient
	sched.whileStopped(func() {
		for range 60 {
			idle = append(idle, sched.connect())
		}
		for _, up := range open {
			up()
		}
		time.Sleep(1500 * time.Millisecond) // the connections come up
	})
	for range 30 {
		asks.readAnswer()
	}
	client := sched.connect()
	client.send(newCall("consulta", "after"))
	if got := client.readAnswer(); got.body != "re:after" {
		t.Errorf("status %d for a client that came then", got.status)
	}
	if text := sched.log.String(); strings.Contains(text, "too many open files") {
		t.Error("the program ran out of descriptors")
	}
}

// Idle clients that take all places they can get at three schedulers, while discovery is down, keep none of them from
// discovery and new workers once it is back, nor other clients from being served.
func TestDescriptorsOfIdleClients(t *testing.T) {
	agentA, agentB := newAgent(t, answerWith("a")), newAgent(t, answerWith("b"))
	sched := newTestScheduler(t)
	sched.addEvent(true, "a SERVING "+agentA.addr)
	sites := []*testScheduler{sched, newTestScheduler(t), newTestScheduler(t)}
	for _, other := range sites {
		if other != sched { // it asks the same bulletin
			other.bulletin.Close()
			other.bulletin, other.events = sched.bulletin, sched.events
		}
		other.maxSockets, other.schedulers = 90, len(sites)
		other.start()
		waitUntilServedBy(t, other, "a")
	}
	address := sched.bulletin.Listener.Addr().String()
	sched.bulletin.CloseClientConnections()
	sched.bulletin.Listener.Close()
	for _, sched := range sites {
		waitUntil(t, "discovery is missed", func() bool { return strings.Contains(sched.log.String(), "bulletin not heard") })
		for range 200 {
			sched.connect()
		}
		waitUntilServedBy(t, sched, "a")
		for range 60 {
			sched.connect()
		}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	sched.bulletin = &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(sched.poll)}}
	sched.bulletin.Start()
	sched.addEvent(false, "a DELETED "+agentA.addr, "b SERVING "+agentB.addr)
	for _, sched := range sites {
		waitUntil(t, "it knows of the second event", func() bool { return strings.Contains(sched.log.String(), "event=2 ") })
		for range 60 {
			sched.connect()
		}
		waitUntilServedBy(t, sched, "b")
		if strings.Contains(sched.log.String(), "too many open files") {
			t.Error("a program ran out of descriptors")
		}
	}
}

// A further attempt whose client leaves while the connection for it is being made begins no more than a first one does.
func TestLeftWhileTriedAgain(t *testing.T) {
	breaks := make(chan struct{})
	first := newAgent(t, func(int, agentRequest) string { <-breaks; return resetConnection })
	agent, open := newLateAgent(t, echo)
	sched := newTestScheduler(t)
	sched.settingsEdits = [][2]string{{`"connectTimeoutMs":250`, `"connectTimeoutMs":4000`}}
	sched.addEvent(true, "first SERVING "+first.addr)
	client := sched.start().connect()
	client.send(newCall("consulta", "gone"))
	waitUntil(t, "the request is at the first worker", func() bool { return len(first.received()) == 1 })
	sched.addEventAndWait(false, "late SERVING "+agent.addr, "first DRAINING "+first.addr)
	stays := sched.connect()
	stays.send(newCall("consulta", "stays"))
	close(breaks)
	time.Sleep(100 * time.Millisecond)
	client.conn.Close()
	open()
	if got := stays.readAnswer(); got.body != "re:stays" {
		t.Errorf("the client that stayed got status %d", got.status)
	}
	if had := agent.received(); len(had) != 1 {
		t.Errorf("the worker had %v, want the request of the client that stayed alone", had)
	}
}

// A request that waits for room is not sent when its client has left, whichever way it left.
func TestLeftWhileHeld(t *testing.T) {
	release := make(chan struct{})
	sched, agent := startWithAgent(t, func(n int, request agentRequest) string { <-release; return echo(n, request) })
	first, cancels, closes, stays := sched.connect(), sched.connect(), sched.connect(), sched.connect()
	one := [2]string{"HTTP_X_SPEC", "lanes:1"} // a copy that runs one at a time, and is taken
	first.send(newCall("consulta", "first", one))
	waitUntil(t, "the first is at the worker", func() bool { return len(agent.received()) == 1 })
	request := newCall("consulta", "gone", one)
	cancels.send(request)
	closes.send(newCall("consulta", "gone", one))
	stays.send(newCall("consulta", "stays", one))
	time.Sleep(50 * time.Millisecond)
	cancels.write(encodeRecord(2, request.id, 0, ""))
	cancels.readAnswer()
	closes.conn.Close()
	time.Sleep(50 * time.Millisecond)
	close(release)
	for client, want := range map[*testClient]string{first: "re:first", stays: "re:stays"} {
		if got := client.readAnswer(); got.body != want {
			t.Errorf("status %d, %q, want %q", got.status, got.body, want)
		}
	}
	time.Sleep(300 * time.Millisecond)
	for _, request := range agent.received() {
		if request.body == "gone" {
			t.Error("a request was sent on after its client had left")
		}
	}
}

// The answer of a worker that is removed meanwhile is passed on, and so is that of one which begins to drain.
func TestAnswerCrossesRemoval(t *testing.T) {
	release := make(chan struct{})
	agentA := newAgent(t, func(n int, request agentRequest) string { <-release; return echo(n, request) })
	agentB := newAgent(t, answerWith("b"))
	sched := newTestScheduler(t)
	sched.addEvent(true, "a SERVING "+agentA.addr)
	client := sched.start().connect()
	client.send(newCall("certificado", "x"))
	waitUntil(t, "the request is at the worker", func() bool { return len(agentA.received()) == 1 })
	sched.addEventAndWait(false, "a DRAINING "+agentA.addr, "b SERVING "+agentB.addr)
	sched.addEventAndWait(false, "a DELETED "+agentA.addr)
	sched.addEventAndWait(true, "b SERVING "+agentB.addr)
	close(release)
	if got := client.readAnswer(); got.body != "re:x" {
		t.Errorf("status %d, %q, want the answer of the worker that was removed", got.status, got.body)
	}
	waitUntilServedBy(t, sched, "b")
}

// A worker's close of a connection at rest, and a request that would go on it, are both there when the program looks:
// the request goes on another, in whichever order they came. It may not be repeated, so that a loss would show.
func TestCloseCrossesRequest(t *testing.T) {
	for _, tt := range []struct {
		name  string
		after bool // the close comes after the request
	}{{"close first", false}, {"request first", true}} {
		t.Run(tt.name, func(t *testing.T) {
			sched, agent := startWithAgent(t, echo)
			client := sched.connect()
			client.send(newCall("certificado", "first"))
			client.readAnswer()
			sched.whileStopped(func() {
				if !tt.after {
					agent.closeConns()
				}
				client.send(newCall("certificado", "x"))
				if tt.after {
					agent.closeConns()
				}
				time.Sleep(50 * time.Millisecond)
			})
			if got := client.readAnswer(); got.body != "re:x" {
				t.Errorf("status %d, %q, want it served on another connection", got.status, got.body)
			}
		})
	}
}

// An answer that comes when its request's time is over is nobody's: its client had one answer, and the next request on
// that connection gets its own.
func TestAnswerAfterItsTime(t *testing.T) {
	release := make(chan struct{})
	sched, agent := startWithAgent(t, func(n int, request agentRequest) string {
		if n == 1 {
			<-release
		}
		return echo(n, request)
	})
	client := sched.connect()
	client.send(newCall("certificado", "late", [2]string{"HTTP_BUDGET_MS", "300"}))
	if got := client.readAnswer(); got.status != 502 {
		t.Errorf("status %d when its time was over, want a failure: it may have run", got.status)
	}
	close(release)
	for _, body := range []string{"a", "b", "c"} {
		client.send(newCall("certificado", body))
		if got := client.readAnswer(); got.body != "re:"+body {
			t.Errorf("status %d, %q, want the answer to %q", got.status, got.body, body)
		}
	}
	if had := agent.received(); len(had) != 4 {
		t.Errorf("the worker had %d requests, want 4", len(had))
	}
}

// A new configuration without a class, or with other figures for it, does nothing to requests under way or to those
// that come: the settings that a scheduler runs with are those of its start.
func TestReloadWithoutAClass(t *testing.T) {
	release := make(chan struct{})
	sched, agent := startWithAgent(t, func(n int, request agentRequest) string {
		if n == 1 {
			<-release
		}
		return echo(n, request)
	})
	client := sched.connect()
	client.send(newCall("certificado", "out"))
	waitUntil(t, "the request is at the worker", func() bool { return len(agent.received()) == 1 })
	sched.settingsEdits = [][2]string{
		{`"name":"certificado"`, `"name":"other"`},
		{`"effect":"non_idempotent"`, `"effect":"read_like"`},
		{`"hardLimitMs":3000`, `"hardLimitMs":30`},
	}
	sched.configure()
	if err := sched.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the configuration is read", func() bool { return strings.Contains(sched.log.String(), "configuration read again") })
	close(release)
	if got := client.readAnswer(); got.body != "re:out" {
		t.Errorf("status %d for the request under way", got.status)
	}
	for class, want := range map[string]int{"certificado": 200, "consulta": 200, "other": 400} {
		client.send(newCall(class, "x"))
		if got := client.readAnswer(); got.status != want {
			t.Errorf("status %d for class %s, want %d", got.status, class, want)
		}
	}
}

// A scheduler that has no list yet is not ready, refuses what comes while its client can still go elsewhere, ends when
// it is told to, and serves as soon as it has one.
func TestBeforeTheFirstList(t *testing.T) {
	agent := newAgent(t, echo)
	for _, tt := range []struct {
		name  string
		ended bool
	}{{"serves when it has one", false}, {"ends without", true}} {
		t.Run(tt.name, func(t *testing.T) {
			sched := newTestScheduler(t)
			sched.launch()
			var client *testClient
			waitUntil(t, "the program listens", func() bool {
				conn, err := net.Dial("tcp", sched.addr)
				if err == nil {
					client = &testClient{t: t, conn: conn, reader: bufio.NewReader(conn)}
				}
				return err == nil
			})
			defer client.conn.Close()
			for path, request := range map[string]clientRequest{"health": {id: 1, params: [][2]string{{"SCRIPT_NAME", "/health"}}}, "a request": newCall("certificado", "x", [2]string{"HTTP_BUDGET_MS", "400"})} {
				client.send(request)
				if got := client.readAnswer(); got.status != 503 {
					t.Errorf("status %d for %s without a list, want 503", got.status, path)
				}
			}
			if tt.ended {
				if err := sched.cmd.Process.Signal(syscall.SIGTERM); err != nil {
					t.Fatal(err)
				}
				sched.waitForExit()
				return
			}
			sched.addEventAndWait(true, "a SERVING "+agent.addr)
			client.send(newCall("certificado", "x"))
			if got := client.readAnswer(); got.body != "re:x" {
				t.Errorf("status %d once it has a list", got.status)
			}
		})
	}
}

// Events that an answer leaves out may say who drains: the list is read from its beginning. A service that does not
// have them any more is taken as it is.
func TestEventsLeftOut(t *testing.T) {
	for _, tt := range []struct {
		name  string
		never bool // the service never brings them
	}{{"once", false}, {"for good", true}} {
		t.Run(tt.name, func(t *testing.T) {
			agentA, agentB := newAgent(t, answerWith("a")), newAgent(t, answerWith("b"))
			sched := newTestScheduler(t)
			sched.addEvent(true, "a SERVING "+agentA.addr)
			sched.start()
			waitUntilServedBy(t, sched, "a")
			sched.mu.Lock()
			skips := func(w http.ResponseWriter) { fmt.Fprintf(w, `{"no":3,"items":[%s]}`, sched.events[2]) }
			sched.pollOverrides = append(sched.pollOverrides, skips)
			if tt.never {
				sched.pollOverrides = append(sched.pollOverrides, skips)
			}
			held := sched.changed
			sched.events = append(sched.events, fmt.Sprintf(`{"no":2,"roster":{"rev":1,"all":false,"targets":[{"uid":"a","state":"DRAINING","endpoint":%q}]}}`, agentA.addr))
			sched.events = append(sched.events, fmt.Sprintf(`{"no":3,"roster":{"rev":1,"all":false,"targets":[{"uid":"b","state":"SERVING","endpoint":%q}]}}`, agentB.addr))
			sched.changed = make(chan struct{})
			sched.mu.Unlock()
			close(held)
			waitUntil(t, "the last event is known", func() bool { return strings.Contains(sched.log.String(), "event=3 ") })
			if tt.never {
				sched.addEvent(false, "a DRAINING "+agentA.addr) // what comes after them is heard
			}
			waitUntilServedBy(t, sched, "b")
		})
	}
}

// Requests that are begun on many connections and never whole give up their buffers to those of others.
func TestHalfRequestsMakeRoom(t *testing.T) {
	agent := newAgent(t, echo)
	sched := newTestScheduler(t)
	sched.memoryMB = 12 // 256 buffers
	sched.addEvent(true, "a SERVING "+agent.addr)
	sched.start()
	asks := func() {
		t.Helper()
		client := sched.connect()
		client.send(newCall("consulta", "x"))
		if got := client.readAnswer(); got.body != "re:x" {
			t.Errorf("status %d, protocol status %d, want it served", got.status, got.protocolStatus)
		}
	}
	asks()
	for range 10 {
		client := sched.connect()
		for id := uint16(1); id <= 32; id++ {
			request := newCall("consulta", "half")
			request.id, request.bodyOpen = id, true
			client.send(request)
		}
	}
	time.Sleep(500 * time.Millisecond) // they have 2 s
	asks()
}

// How long a stall may be that does not make the list old hangs on the grace that drains have: a scheduler between two
// asks that stands still for longer than that grace sends nothing to a worker that was told to drain meanwhile.
func TestDrainedDuringAStall(t *testing.T) {
	agentA, agentB := newAgent(t, answerWith("a")), newAgent(t, answerWith("b"))
	sched := newTestScheduler(t)
	sched.schedulers = 300
	sched.settingsEdits = [][2]string{{`"stopSendingWithinMs":1000`, `"stopSendingWithinMs":200`}}
	sched.addEvent(true, "a SERVING "+agentA.addr)
	sched.start()
	waitUntilServedBy(t, sched, "a")
	client := sched.connect()
	for round := range 5 {
		sched.addEventAndWait(true, "a SERVING "+agentA.addr) // it has just been answered, and rests before it asks again
		sched.whileStopped(func() {
			sched.addEvent(true, "a DRAINING "+agentA.addr, "b SERVING "+agentB.addr)
			client.send(newCall("consulta", ""))
			time.Sleep(270 * time.Millisecond)
		})
		if got := client.readAnswer(); got.body != "b" {
			t.Errorf("round %d: %q answers 270 ms after a was told to drain, want b", round, got.body)
		}
	}
}

// Requests whose clients would wait for longer than the platform does get their final answer before it ends the
// program: a refusal where a repeat is harmless, a failure where it may not be repeated.
func TestAnsweredBeforeTheKill(t *testing.T) {
	agent := newAgent(t, func(int, agentRequest) string { return "" })
	sched := newTestScheduler(t)
	sched.settingsEdits = [][2]string{{`"hardLimitMs":2500`, `"hardLimitMs":9000`}, {`"hardLimitMs":3000`, `"hardLimitMs":9000`}}
	sched.addEvent(true, "a SERVING "+agent.addr)
	sched.start()
	want := map[string]int{"consulta": 503, "registro-horas": 503, "certificado": 502}
	fronts := map[string]*testClient{}
	for class := range want {
		client := sched.connect()
		request := newCall(class, "x")
		request.params[4][1] = request.param("HTTP_REQUEST_ID") // each of a function of its own, or some would be held
		client.send(request)
		fronts[class] = client
	}
	waitUntil(t, "all are at the worker", func() bool { return len(agent.received()) >= len(want) })
	at := time.Now()
	if err := sched.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for class, status := range want {
		if got := fronts[class].readAnswer(); got.status != status {
			t.Errorf("%s: status %d, want %d", class, got.status, status)
		}
	}
	// By what it says: the race detector keeps a process for a second beyond its end.
	waitUntil(t, "it ends", func() bool { return strings.Contains(sched.log.String(), "scheduler ended") })
	if took := time.Since(at); took > 3700*time.Millisecond { // SIGKILL comes no sooner
		t.Errorf("ended %v after SIGTERM", took)
	}
	sched.waitForExit()
}

// Requests that come in pieces, those of two clients in turn, and answers that come in pieces are whole in the end. Each
// piece is a write of its own.
func TestInPieces(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() { // a worker that echoes, one byte at a time
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for reader := bufio.NewReader(conn); ; {
					line, err := reader.ReadString('\n')
					words := strings.Fields(line)
					if err != nil || len(words) != 4 {
						return
					}
					size, _ := strconv.Atoi(words[3])
					body := make([]byte, size+2)
					if _, err := io.ReadFull(reader, body); err != nil {
						return
					}
					for _, b := range []byte(answerLine(words[1], "OK", "depth=0,l=util:0.5", string(body[:size]))) {
						if _, err := conn.Write([]byte{b}); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	sched := newTestScheduler(t)
	sched.addEvent(true, "a SERVING "+listener.Addr().String())
	sched.start()
	clientA, clientB := sched.connect(), sched.connect()
	first, second := newCall("certificado", "the first").bytes(), newCall("certificado", "the second").bytes()
	for i := range max(len(first), len(second)) {
		if i < len(first) {
			clientA.write(first[i : i+1])
		}
		if i < len(second) {
			clientB.write(second[i : i+1])
		}
	}
	for client, want := range map[*testClient]string{clientA: "the first", clientB: "the second"} {
		if got := client.readAnswer(); got.body != want {
			t.Errorf("status %d, %q, want %q", got.status, got.body, want)
		}
	}
}

// A second answer that comes some time after the first is nobody's, whether the first ended its request or had it tried
// again, and whatever comes on the connection next gets its own.
func TestSecondAnswerLate(t *testing.T) {
	for _, first := range []string{"OK", "MISS", "ERR"} {
		t.Run(first, func(t *testing.T) {
			var mu sync.Mutex
			second, address := "", "" // the second answer, and the worker that sends it before its next, on its first connection
			begun := false
			worker := func(name string) *nodeAgent {
				return newAgent(t, func(number int, request agentRequest) string {
					mu.Lock()
					defer mu.Unlock()
					if !begun {
						begun, address, second = true, name, answerLine(request.id, "OK", "-", "second")
						if first == "OK" {
							return echo(number, request)
						}
						return answerLine(request.id, first, "-", "")
					}
					before := ""
					if name == address && request.conn == 1 {
						before, second = second, ""
					}
					return before + echo(number, request)
				})
			}
			sched := newTestScheduler(t)
			sched.addEvent(true, "a SERVING "+worker("a").addr, "b SERVING "+worker("b").addr)
			sched.start()
			client := sched.connect()
			client.send(newCall("consulta", "x"))
			if got := client.readAnswer(); got.body != "re:x" {
				t.Errorf("status %d, %q, want the first answer, or that of another attempt", got.status, got.body)
			}
			for _, body := range []string{"a", "b", "c", "d"} { // of functions that stand at either
				client.send(newCall("consulta", body, [2]string{"HTTP_RESOURCE_KEY", fmt.Sprintf("%016x", body[0])}))
				if got := client.readAnswer(); got.body != "re:"+body {
					t.Errorf("status %d, %q, want the answer to %q", got.status, got.body, body)
				}
			}
		})
	}
}
