package main

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	unfinishedClients  = 80 // a third of the descriptors is 85
	unfinishedSockets  = 256
	unfinishedMemoryMB = 32
	unfinishedDuration = 1500 * time.Millisecond // less than the time after which unfinished requests end
	longParamBytes     = 16_000
)

// unfinishedCase defines what each bad client sends before it waits.
type unfinishedCase struct {
	name string
	sent func() []byte
}

var unfinishedCases = []unfinishedCase{
	{"long parameters", func() []byte { return unfinishedRequests(longParamBytes) }},
}

// unfinishedRequests returns as many requests as a connection may carry, without the ends of their bodies. Each has a
// parameter of the given length.
func unfinishedRequests(paramBytes int) []byte {
	var data []byte
	for id := uint16(1); id <= 32; id++ {
		request := newCall("consulta", "", [2]string{"REQUEST_METHOD", strings.Repeat("G", paramBytes)})
		request.id, request.bodyOpen = id, true
		data = append(data, request.bytes()...)
	}
	return data
}

// Guards against memory that grows with what clients leave unfinished: requests that never ended, with long parameters,
// once drove the scheduler over its memory limit within a second. Other clients must be served meanwhile.
func TestMemoryOfUnfinishedRequests(t *testing.T) {
	for _, tt := range unfinishedCases {
		t.Run(tt.name, func(t *testing.T) { testMemoryOfUnfinishedRequests(t, tt.sent) })
	}
}

func testMemoryOfUnfinishedRequests(t *testing.T, sent func() []byte) {
	t.Helper()
	agent := newAgent(t, echo)
	sched := newTestScheduler(t)
	sched.memoryMB, sched.maxSockets = unfinishedMemoryMB, unfinishedSockets
	relaxLatencyLimits(sched)
	sched.addEvent(true, "a SERVING "+agent.addr)
	usual := sched.start().connect()
	call := func() {
		usual.send(newCall("consulta", "usual", relaxedBudget))
		if got := usual.readAnswer(); got.body != "re:usual" {
			t.Errorf("status %d for a usual client, want it served", got.status)
		}
	}
	call()
	leave := leaveUnfinished(t, sched.addr, sent)
	defer leave()
	highest := map[string]int{}
	for end := time.Now().Add(unfinishedDuration); time.Now().Before(end); {
		call()
		for name, count := range sched.resourceUsage() {
			highest[name] = max(highest[name], count)
		}
		time.Sleep(20 * time.Millisecond) // between two calls of the usual client
	}
	t.Logf("highest values: %v", highest)
	if limit := unfinishedMemoryMB * bytesPerMB; highest["runtime"] > limit {
		t.Errorf("the Go runtime held %d bytes, want at most the %d of the whole process", highest["runtime"], limit)
	}
	leave()
	waitUntil(t, "all that the bad clients held is released", func() bool {
		usage := sched.resourceUsage()
		return usage["client_conns"] == 1 && usage["client_requests"] == 0 && usage["buffers"] == 0 && usage["received"] == 0
	})
	call()
}

// leaveUnfinished connects the bad clients, which read whatever they get. The function that it returns disconnects
// them.
func leaveUnfinished(t *testing.T, addr string, sent func() []byte) (leave func()) {
	t.Helper()
	var clients []net.Conn
	var open sync.WaitGroup
	for range unfinishedClients {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		clients = append(clients, conn)
		open.Go(func() { _, _ = io.Copy(io.Discard, conn) })
		open.Go(func() { _, _ = conn.Write(sent()) })
	}
	return func() {
		for _, conn := range clients {
			conn.Close()
		}
		open.Wait()
	}
}
