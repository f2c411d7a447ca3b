package main

import (
	"testing"
	"time"
)

// A request that is aborted by its client must be canceled at the agent, and its FastCGI ID must be free for reuse.
func TestAbortCancelsAtAgent(t *testing.T) {
	sched, agent := startWithAgent(t, func(n int, request agentRequest) string {
		if n == 1 {
			return ""
		}
		return echo(n, request)
	})
	client := sched.connect()
	request := newCall("consulta", "x")
	client.send(request)
	waitUntil(t, "the request is at the agent", func() bool { return len(agent.received()) == 1 })
	client.write(encodeRecord(typeAbortRequest, request.id, 0, ""))
	client.readAnswer()
	waitUntil(t, "the request is canceled at the agent", func() bool {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		return len(agent.canceled) == 1 && agent.canceled[0] == request.param("HTTP_REQUEST_ID")
	})
	client.send(newCall("consulta", "y"))
	if got := client.readAnswer(); got.body != "re:y" {
		t.Errorf("the next request of that id got %d, %q", got.status, got.body)
	}
}

// A request whose client disconnects while the connection to the worker is being dialed must not reach the worker. The
// request of a client that stays connected must reach it.
func TestDisconnectDuringDial(t *testing.T) {
	for _, tt := range []struct {
		name  string
		leave func(client *testClient, request clientRequest)
	}{
		{"cancels", func(client *testClient, request clientRequest) {
			client.write(encodeRecord(typeAbortRequest, request.id, 0, ""))
			if got := client.readAnswer(); got.id != request.id {
				client.t.Errorf("request %d ended, want %d", got.id, request.id)
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
			gone.waitUntilRead()
			stays.send(newCall("certificado", "stays"))
			stays.waitUntilRead() // both requests wait for the connection, which can't be established yet
			waitUntilDialing(t, agent)
			tt.leave(gone, request)
			open()
			if got := stays.readAnswer(); got.body != "re:stays" {
				t.Errorf("the client that stayed got status %d", got.status)
			}
			if had := agent.received(); len(had) != 1 || had[0].body != "stays" {
				t.Errorf("the worker received %v, want only the request of the client that stayed connected", had)
			}
		})
	}
}

// A retry whose client disconnects while the connection to the worker is being dialed must not be sent.
func TestDisconnectDuringRetryDial(t *testing.T) {
	reset := make(chan struct{})
	first := newAgent(t, func(int, agentRequest) string { <-reset; return resetConnection })
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
	close(reset)
	waitUntilDialing(t, agent)
	client.closeAndWait()
	open()
	if got := stays.readAnswer(); got.body != "re:stays" {
		t.Errorf("the client that stayed got status %d", got.status)
	}
	if had := agent.received(); len(had) != 1 {
		t.Errorf("the worker received %v, want only the request of the client that stayed connected", had)
	}
}

// A queued request must not be sent to a worker after its client has aborted it or closed the connection.
func TestDisconnectWhileQueued(t *testing.T) {
	release := make(chan struct{})
	sched, agent := startWithAgent(t, func(n int, request agentRequest) string { <-release; return echo(n, request) })
	first, aborts, closes, stays := sched.connect(), sched.connect(), sched.connect(), sched.connect()
	oneLane := [2]string{"HTTP_X_SPEC", "lanes:1"} // an instance runs one request at a time, so that the others are queued
	first.send(newCall("consulta", "first", oneLane))
	waitUntil(t, "the first request is at the worker", func() bool { return len(agent.received()) == 1 })
	request := newCall("consulta", "gone", oneLane)
	aborts.send(request)
	closes.send(newCall("consulta", "gone", oneLane))
	stays.send(newCall("consulta", "stays", oneLane))
	for _, client := range []*testClient{aborts, closes, stays} {
		client.waitUntilRead()
	}
	aborts.write(encodeRecord(typeAbortRequest, request.id, 0, ""))
	aborts.readAnswer()
	closes.closeAndWait()
	close(release)
	for client, want := range map[*testClient]string{first: "re:first", stays: "re:stays"} {
		if got := client.readAnswer(); got.body != want {
			t.Errorf("status %d, %q, want %q", got.status, got.body, want)
		}
	}
	time.Sleep(300 * time.Millisecond) // no further request may reach the worker within this time
	for _, request := range agent.received() {
		if request.body == "gone" {
			t.Error("a request was forwarded after its client had disconnected")
		}
	}
}
