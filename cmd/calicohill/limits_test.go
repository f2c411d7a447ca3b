package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// clientLoadCase defines what thirty clients do before another client connects, and whether that client is accepted.
type clientLoadCase struct {
	name     string
	before   func(client *testClient, number int)
	accepted bool
}

// firstSpreadFunction is the first of thirty functions. Among the workers w0 to w11, no worker is first in the
// rendezvous order of more than three of these functions. A worker gets at most four requests that wait for loads: with
// functions that prefer the same worker, a request would wait for as long as the test holds the others.
const firstSpreadFunction = 309

var clientLoadCases = []clientLoadCase{
	{"silent", func(*testClient, int) {}, true},
	{"half a request", func(client *testClient, _ int) {
		request := newCall("consulta", "half")
		request.bodyOpen = true
		client.send(request)
	}, true},
	{"served and held for good", func(client *testClient, _ int) {
		client.send(newCall("consulta", "once"))
		if got := client.readAnswer(); got.body != "re:once" {
			client.t.Errorf("status %d at first", got.status)
		}
	}, true},
	{"requests open", func(client *testClient, number int) {
		// Each client calls a different function, or the scheduler would reject some requests.
		function := fmt.Sprintf("%016x", firstSpreadFunction+number)
		client.send(newCall("consulta", "held", [2]string{"HTTP_BUDGET_MS", "60000"}, [2]string{"HTTP_RESOURCE_KEY", function}))
	}, false},
}

// Clients must not use more than a third of the descriptors. To make room for a new client, the scheduler must
// disconnect a client without a complete request in progress. If all clients have one, it must disconnect the new
// client instead.
func TestTooManyClients(t *testing.T) {
	for _, tt := range clientLoadCases {
		t.Run(tt.name, tt.run)
	}
}

func (tt clientLoadCase) run(t *testing.T) {
	release := make(chan struct{})
	sched, receivedCount := newTestScheduler(t), func() int { return 0 }
	sched.maxSockets = 90
	var targets []string
	for i := range 12 {
		agent := newAgent(t, func(n int, request agentRequest) string {
			if request.body == "held" {
				<-release
			}
			return echo(n, request)
		})
		others := receivedCount
		receivedCount = func() int { return len(agent.received()) + others() }
		targets = append(targets, fmt.Sprintf("w%d SERVING %s", i, agent.addr))
	}
	sched.addEvent(true, targets...)
	sched.start()
	var clients []*testClient
	for number := range 30 {
		client := sched.connect()
		tt.before(client, number)
		clients = append(clients, client)
	}
	if !tt.accepted {
		waitUntil(t, "all requests are at workers", func() bool { return receivedCount() == len(clients) })
		if !sched.connect().closedByServer() {
			t.Error("the 31st client was not disconnected")
		}
		close(release)
		for _, client := range clients {
			if got := client.readAnswer(); got.body != "re:held" {
				t.Errorf("status %d for a request that was open", got.status)
			}
		}
		return
	}
	client := sched.connect()
	client.send(newCall("consulta", "new"))
	if got := client.readAnswer(); got.body != "re:new" {
		t.Errorf("status %d, want the new client served", got.status)
	}
}

// If served clients hold all connections, a newly accepted client must not be evicted before its request has arrived,
// even if another client is accepted in the meantime.
func TestJustAcceptedClientStays(t *testing.T) {
	sched, _ := startWithAgent(t, echo)
	sched.kill()
	sched.maxSockets = 90
	sched.start()
	sendRequest := func(client *testClient) bool {
		if _, err := client.conn.Write(newCall("consulta", "x").bytes()); err != nil {
			return false
		}
		kind, _, _, err := client.readRecord()
		return err == nil && kind == typeStdout
	}
	// A new connection is not evicted for 250 ms. A round may take longer on a busy machine, but not every round does.
	waitUntil(t, "a newly accepted client is served", func() bool {
		var clients []*testClient
		for range 32 {
			client := sched.connect()
			defer client.conn.Close()
			if clients = append(clients, client); len(clients) <= 30 {
				sendRequest(client)
			}
		}
		return sendRequest(clients[31]) && sendRequest(clients[30])
	})
}

// A client that does not complete its request or a record must be answered with 408 or disconnected after a timeout,
// even on a connection that has carried a complete request.
func TestIncompleteRequestTimeout(t *testing.T) {
	sched, _ := startWithAgent(t, echo)
	served := sched.connect()
	sendRequest := func() {
		t.Helper()
		served.send(newCall("consulta", "x"))
		if got := served.readAnswer(); got.body != "re:x" {
			t.Errorf("status %d for the client that sends a request", got.status)
		}
	}
	sendRequest()
	complete := newCall("consulta", "body").bytes()
	for _, tt := range []struct {
		name   string
		text   []byte
		before bool // send a complete request first
		status int
	}{
		{"nothing", nil, false, 0},
		{"half a header", complete[:5], false, 0},
		{"half a record", complete[:40], false, 408},
		{"no end", complete[:len(complete)-8], false, 408},
		{"no end, later", complete[:len(complete)-8], true, 408},
		{"half a header, later", complete[:5], true, 0},
		{"a record of 64 KiB that does not come", []byte{1, 5, 0, 1, 0xff, 0xff, 0, 0, 'x'}, true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			client := sched.connect()
			client.t = t
			if tt.before {
				client.send(newCall("consulta", "first"))
				client.readAnswer()
			}
			client.write(tt.text)
			if tt.status != 0 {
				if got := client.readAnswer(); got.status != tt.status {
					t.Errorf("status %d, want %d", got.status, tt.status)
				}
			}
			// After a complete request the connection may stay open if a request is incomplete but no record is.
			if tt.name != "no end, later" && !client.closedByServer() {
				t.Error("the connection was not closed")
			}
		})
	}
	t.Cleanup(sendRequest) // runs after all subtests
}

// A connection must not carry more than 32 requests, complete or not. A further request must be rejected at once.
func TestTooManyRequests(t *testing.T) {
	sched, _ := startWithAgent(t, echo)
	client := sched.connect()
	for id := uint16(1); id <= 33; id++ {
		request := newCall("consulta", "x")
		request.id, request.bodyOpen = id, true
		client.send(request)
	}
	if got := client.readAnswer(); got.id != 33 || got.protocolStatus != 2 {
		t.Errorf("request %d ended with protocol status %d, want request 33 rejected with 2, overloaded", got.id, got.protocolStatus)
	}
	client.write(encodeRecord(typeStdin, 7, 0, "")) // completes request 7; the other requests stay incomplete
	if got := client.readAnswer(); got.id != 7 || got.body != "re:x" {
		t.Errorf("then request %d ended with status %d, want request 7 served", got.id, got.status)
	}
}

// If many connections to workers are established at once while clients use their full third of the descriptors, enough
// descriptors must be left for one more client. Without a free descriptor the event loop once stopped.
func TestDescriptorsOfDials(t *testing.T) {
	sched := newTestScheduler(t)
	sched.maxSockets = 66
	sched.settingsEdits = [][2]string{{`"connectTimeoutMs":250`, `"connectTimeoutMs":6000`}}
	var targets []string
	var agents []*nodeAgent
	var open []func()
	for i := range 40 {
		agent, establish := newLateAgent(t, echo)
		agents = append(agents, agent)
		targets, open = append(targets, fmt.Sprintf("w%d SERVING %s", i, agent.addr)), append(open, establish)
	}
	sched.addEvent(true, targets...)
	sched.start()
	busyClient := sched.connect()
	for id := uint16(1); id <= 30; id++ { // each for a different worker
		function := fmt.Sprintf("%016x", uint64(id)*0x9e3779b97f4a7c15)
		request := newCall("consulta", "x", [2]string{"HTTP_BUDGET_MS", "8000"}, [2]string{"HTTP_RESOURCE_KEY", function})
		request.id = id
		busyClient.send(request)
	}
	busyClient.waitUntilRead()
	dialing := func() int { return countToAgents(t, socketSynSent, agents...) }
	const maxDials = 12 // 24 of the 66 descriptors are for workers, and a dial uses two
	waitUntil(t, "the maximum number of connections is being dialed", func() bool { return dialing() == maxDials })
	var idle []*testClient
	sched.whileStopped(0, func() {
		for range 60 {
			idle = append(idle, sched.connect())
		}
		for _, establish := range open {
			establish()
		}
		waitUntil(t, "the workers' connections are established", func() bool { return dialing() == 0 })
	})
	for range 30 {
		busyClient.readAnswer()
	}
	client := sched.connect()
	client.send(newCall("consulta", "after"))
	if got := client.readAnswer(); got.body != "re:after" {
		t.Errorf("status %d for a client that connected afterwards", got.status)
	}
	if text := sched.log.String(); strings.Contains(text, "too many open files") {
		t.Error("the program ran out of descriptors")
	}
}

// Idle clients must not starve a scheduler of descriptors. They take all connections that three schedulers accept while
// the list service is down. When the service is reachable again, each scheduler must connect to it and to new workers,
// and serve other clients.
func TestDescriptorsOfIdleClients(t *testing.T) {
	agentA, agentB := newAgent(t, answerWith("a")), newAgent(t, answerWith("b"))
	sched := newTestScheduler(t)
	sched.addEvent(true, "a SERVING "+agentA.addr)
	schedulers := []*testScheduler{sched, newTestScheduler(t), newTestScheduler(t)}
	for _, other := range schedulers {
		if other != sched { // polls the list service of the first scheduler
			other.listServer.Close()
			other.listServer, other.events = sched.listServer, sched.events
		}
		other.maxSockets, other.settings.Schedulers = 90, len(schedulers)
		other.start()
		waitUntilServedBy(t, other, "a")
	}
	address := sched.listServer.Listener.Addr().String()
	sched.listServer.CloseClientConnections()
	sched.listServer.Listener.Close()
	for _, sched := range schedulers {
		waitUntil(t, "the list service is found unreachable", func() bool { return strings.Contains(sched.log.String(), "list service unreachable") })
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
	sched.listServer = &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(sched.poll)}}
	sched.listServer.Start()
	sched.addEvent(false, "a DELETED "+agentA.addr, "b SERVING "+agentB.addr)
	for _, sched := range schedulers {
		waitUntil(t, "the scheduler has applied the second event", func() bool { return strings.Contains(sched.log.String(), "event=2 ") })
		for range 60 {
			sched.connect()
		}
		waitUntilServedBy(t, sched, "b")
		if strings.Contains(sched.log.String(), "too many open files") {
			t.Error("a program ran out of descriptors")
		}
	}
}

// Incomplete requests on many connections must release their memory to requests of other clients.
func TestIncompleteRequestsReleaseMemory(t *testing.T) {
	agent := newAgent(t, echo)
	sched := newTestScheduler(t)
	sched.memoryMB = 12 // 3 MB for requests
	sched.addEvent(true, "a SERVING "+agent.addr)
	sched.start()
	sendRequests := func() {
		t.Helper()
		client := sched.connect()
		client.send(newCall("consulta", "x"))
		if got := client.readAnswer(); got.body != "re:x" {
			t.Errorf("status %d, protocol status %d, want the request served", got.status, got.protocolStatus)
		}
	}
	sendRequests()
	for range 10 { // 320 requests with 17 KB each
		client := sched.connect()
		for id := uint16(1); id <= 32; id++ {
			request := newCall("consulta", longValue)
			request.id, request.bodyOpen = id, true
			client.send(request)
		}
	}
	// Longer than the 0.25 s after which the scheduler may take the memory of any incomplete request, and well below the
	// 2 s after which it closes their connections.
	time.Sleep(500 * time.Millisecond)
	sendRequests()
}
