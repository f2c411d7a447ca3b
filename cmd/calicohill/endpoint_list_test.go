package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A draining worker must get no new requests, and a new worker must not share the connections of a removed worker with
// the same address. The scheduler must poll the list service again after a failure or an invalid answer.
func TestEndpointList(t *testing.T) {
	agentA, agentB := newAgent(t, answerWith("a")), newAgent(t, answerWith("b"))
	sched := newTestScheduler(t)
	sched.addEvent(true, "a SERVING "+agentA.addr)
	sched.start()
	waitUntilServedBy(t, sched, "a")
	sched.addEvent(false, "a DRAINING "+agentA.addr, "b SERVING "+agentB.addr)
	waitUntilServedBy(t, sched, "b")

	agentA.mu.Lock()
	connsBefore := agentA.conns
	agentA.mu.Unlock()
	sched.addEvent(false, "a DELETED "+agentA.addr, "b DRAINING "+agentB.addr, "c SERVING "+agentA.addr)
	waitUntilServedBy(t, sched, "a")
	agentA.mu.Lock()
	if agentA.conns <= connsBefore {
		t.Errorf("the new worker at the old address got no new connection")
	}
	agentA.mu.Unlock()

	sched.mu.Lock()
	for _, text := range []string{`{"no":`, `{"no":4,"items":[{"no":4,"roster":{"targets":[{"uid":"b","state":"?"}]}}]}`} {
		sched.pollOverrides = append(sched.pollOverrides, func(w http.ResponseWriter) { fmt.Fprint(w, text) })
	}
	sched.pollOverrides = append(sched.pollOverrides,
		func(w http.ResponseWriter) { http.Error(w, "later", http.StatusInternalServerError) },
		func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		func(w http.ResponseWriter) { // chunked
			if err := http.NewResponseController(w).Flush(); err != nil {
				t.Error(err)
			}
			fmt.Fprint(w, sched.feed(3))
		})
	sched.mu.Unlock()
	sched.addEvent(true, "b SERVING "+agentB.addr)
	waitUntilServedBy(t, sched, "b")
}

// The answer of a worker must be forwarded to the client even if the worker starts to drain and is removed from the
// list before it answers.
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

// A scheduler without an endpoint list must report that it is unhealthy and reject requests with 503. It must serve
// requests as soon as it has a list, and shut down on SIGTERM even without one.
func TestBeforeTheFirstList(t *testing.T) {
	agent := newAgent(t, echo)
	for _, tt := range []struct {
		name      string
		terminate bool // send SIGTERM before there is a list
	}{{"serves after the first list", false}, {"shuts down without a list", true}} {
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
			for kind, request := range map[string]clientRequest{
				"a health check": healthRequest(),
				"a call":         newCall("certificado", "x", [2]string{"HTTP_BUDGET_MS", "400"}),
			} {
				client.send(request)
				if got := client.readAnswer(); got.status != 503 {
					t.Errorf("status %d for %s without a list, want 503", got.status, kind)
				}
			}
			if tt.terminate {
				if err := sched.cmd.Process.Signal(syscall.SIGTERM); err != nil {
					t.Fatal(err)
				}
				sched.waitForExit()
				return
			}
			sched.addEventAndWait(true, "a SERVING "+agent.addr)
			client.send(newCall("certificado", "x"))
			if got := client.readAnswer(); got.body != "re:x" {
				t.Errorf("status %d after the first list", got.status)
			}
		})
	}
}

// If the service's answer omits events, the scheduler must read the list again from its first event, since a worker may
// have started to drain in an omitted event. If the service omits the events again, the scheduler must apply the later
// events without them.
func TestMissingEvents(t *testing.T) {
	for _, tt := range []struct {
		name         string
		omittedAgain bool
	}{{"once", false}, {"repeatedly", true}} {
		t.Run(tt.name, func(t *testing.T) {
			agentA, agentB := newAgent(t, answerWith("a")), newAgent(t, answerWith("b"))
			sched := newTestScheduler(t)
			sched.addEvent(true, "a SERVING "+agentA.addr)
			sched.start()
			waitUntilServedBy(t, sched, "a")
			sched.mu.Lock()
			omitEvent := func(w http.ResponseWriter) { fmt.Fprintf(w, `{"no":3,"items":[%s]}`, sched.events[2]) }
			sched.pollOverrides = append(sched.pollOverrides, omitEvent)
			if tt.omittedAgain {
				sched.pollOverrides = append(sched.pollOverrides, omitEvent)
			}
			changed := sched.changed
			sched.events = append(sched.events, fmt.Sprintf(`{"no":2,"roster":{"rev":1,"all":false,"targets":[{"uid":"a","state":"DRAINING","endpoint":%q}]}}`, agentA.addr))
			sched.events = append(sched.events, fmt.Sprintf(`{"no":3,"roster":{"rev":1,"all":false,"targets":[{"uid":"b","state":"SERVING","endpoint":%q}]}}`, agentB.addr))
			sched.changed = make(chan struct{})
			sched.mu.Unlock()
			close(changed)
			waitUntil(t, "the last event is applied", func() bool { return strings.Contains(sched.log.String(), "event=3 ") })
			if tt.omittedAgain {
				sched.addEvent(false, "a DRAINING "+agentA.addr) // later events are applied
			}
			waitUntilServedBy(t, sched, "b")
		})
	}
}

// A scheduler that is stopped between two polls for longer than the drain grace must mark its list as stale. It must
// send no requests to a worker that started to drain in that time.
func TestDrainDuringStall(t *testing.T) {
	agentA, agentB := newAgent(t, answerWith("a")), newAgent(t, answerWith("b"))
	sched := newTestScheduler(t)
	sched.settings.Schedulers = 300
	sched.settingsEdits = [][2]string{{`"stopSendingWithinMs":1000`, `"stopSendingWithinMs":200`}}
	sched.addEvent(true, "a SERVING "+agentA.addr)
	sched.start()
	waitUntilServedBy(t, sched, "a")
	client := sched.connect()
	for round := range 5 {
		sched.addEventAndWait(true, "a SERVING "+agentA.addr) // answers a poll, so that the scheduler pauses before the next one
		sched.whileStopped(270*time.Millisecond, func() {
			sched.addEvent(true, "a DRAINING "+agentA.addr, "b SERVING "+agentB.addr)
			client.send(newCall("consulta", ""))
		})
		if got := client.readAnswer(); got.body != "b" {
			t.Errorf("round %d: %q answered 270 ms after a started to drain, want b", round, got.body)
		}
	}
}
