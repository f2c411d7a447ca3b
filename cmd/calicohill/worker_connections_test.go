package main

import (
	"strconv"
	"testing"
	"time"
)

// One of hundreds of schedulers uses a single connection to a worker for its few requests. Guards against exhausting
// the worker, which has to accept the connections of all schedulers.
func TestFewConnections(t *testing.T) {
	// Every second answer takes some time, so that two requests are in flight at a time.
	latency := func(n int, _ agentRequest) time.Duration { return time.Duration(n%2) * 20 * time.Millisecond }
	agent := newAgent(t, withLatency(latency, func(_ int, request agentRequest) string {
		return answerLine(request.id, "OK", "-", strconv.Itoa(request.conn))
	}))
	sched := newTestScheduler(t)
	sched.settings.Schedulers = 300
	sched.addEvent(true, "a SERVING "+agent.addr)
	sched.start()
	client, otherClient := sched.connect(), sched.connect()
	for range 20 {
		client.send(newCall("consulta", ""))
		otherClient.send(newCall("consulta", ""))
		for _, each := range []*testClient{client, otherClient} {
			if got := each.readAnswer(); got.status == 200 && got.body != "1" {
				t.Fatalf("a request was sent on connection %s, want 1", got.body)
			}
		}
	}
	if len(agent.received()) < 20 {
		t.Errorf("%d requests reached the worker", len(agent.received()))
	}
}

// Guards against losing requests on connections that the network has dropped because they were idle. The scheduler
// detects the idle time and no longer uses connections that have been idle for that long.
func TestIdleConnectionsDropped(t *testing.T) {
	agent := newAgent(t, echo)
	agent.idleReset = 60 * time.Millisecond
	sched := newTestScheduler(t)
	sched.addEvent(true, "a SERVING "+agent.addr)
	client := sched.start().connect()
	waitUntil(t, "ten calls in a row are served after idle times", func() bool {
		for range 10 {
			time.Sleep(130 * time.Millisecond) // the idle time, after which the network drops the connection
			client.send(newCall("certificado", "x"))
			if client.readAnswer().status != 200 {
				return false
			}
		}
		return true
	})
}

// Guards against new requests on a dead connection: the worker's machine may have become unreachable without closing
// it, and be back under the same name. A connection on which a request has waited long for its answer gets no new
// requests.
func TestUnresponsiveConnection(t *testing.T) {
	sched, agent := startWithUnresponsiveAgent(t)
	first, second := sched.connect(), sched.connect()
	first.send(newCall("consulta", "lost", [2]string{"HTTP_BUDGET_MS", "3000"}))
	waitUntil(t, "the first request is at the agent", func() bool { return len(agent.received()) == 1 })
	time.Sleep(1200 * time.Millisecond) // how long the request waits for its answer: more than 1 s is long
	second.send(newCall("consulta", "found"))
	if got := second.readAnswer(); got.body != "re:found" {
		t.Errorf("status %d, want it served on a new connection", got.status)
	}
	if got := first.readAnswer(); got.status == 200 {
		t.Errorf("the first request was served, want it lost")
	}
}

// Like TestUnresponsiveConnection, with deadlines shorter than that wait: a few consecutive lost requests suffice.
func TestLostRequests(t *testing.T) {
	sched, _ := startWithUnresponsiveAgent(t)
	client := sched.connect()
	waitUntil(t, "a request is served on a new connection", func() bool {
		client.send(newCall("consulta", "x", [2]string{"HTTP_BUDGET_MS", "300"}))
		return client.readAnswer().status == 200
	})
}

// Guards against a request that is lost because the agent closes its idle connection at the same time. The scheduler
// closes idle connections before the agent's idle timeout.
func TestIdleConnections(t *testing.T) {
	agent, sched := newAgent(t, echo), newTestScheduler(t)
	sched.settings.IdleCloseMillis = 400
	sched.addEvent(true, "a SERVING "+agent.addr)
	client := sched.start().connect()
	for n := range 2 {
		client.send(newCall("certificado", "x"))
		if got := client.readAnswer(); got.status != 200 {
			t.Errorf("status %d", got.status)
		}
		waitUntil(t, "the program closes its idle connection", func() bool {
			agent.mu.Lock()
			defer agent.mu.Unlock()
			return agent.closed == n+1
		})
	}
}

// Guards against a request to a worker that starts draining while the connection to it is being dialed.
func TestDrainDuringDial(t *testing.T) {
	sched, agentA, open := startWithLateAgent(t)
	agentB := newAgent(t, answerWith("b"))
	client := sched.connect()
	client.send(newCall("certificado", "x"))
	waitUntilDialing(t, agentA)
	sched.addEventAndWait(false, "late DRAINING "+agentA.addr, "b SERVING "+agentB.addr)
	if got := client.readAnswer(); got.body != "b" {
		t.Errorf("status %d, want it served by the other worker", got.status)
	}
	open()
	waitUntil(t, "the connection is established", func() bool {
		agentA.mu.Lock()
		defer agentA.mu.Unlock()
		return agentA.conns > 0
	})
	waitUntilServedBy(t, sched, "b")
	if requests := agentA.received(); len(requests) != 0 {
		t.Errorf("the draining worker received %v", requests)
	}
}

// Guards against losing a request when the worker closes its idle connection at the same time. The close and the
// request arrive, in either order, while the scheduler is paused; the request must be sent on another connection. It is
// non-idempotent, so that a loss would be reported as a failure.
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
			sched.whileStopped(0, func() {
				if !tt.after {
					agent.closeConns()
				}
				client.send(newCall("certificado", "x"))
				if tt.after {
					agent.closeConns()
				}
				client.waitUntilArrived()
				waitUntil(t, "the worker's close has arrived", func() bool { return countToAgents(t, socketEstablished, agent) == 0 })
			})
			if got := client.readAnswer(); got.body != "re:x" {
				t.Errorf("status %d, %q, want it served on another connection", got.status, got.body)
			}
		})
	}
}
