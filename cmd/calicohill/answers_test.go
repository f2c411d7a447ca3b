package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A malformed or truncated answer must fail its request, which may have run, but must not take the worker out of use:
// later requests still go to the worker's loaded instance.
func TestMalformedAnswer(t *testing.T) {
	for _, tt := range []struct{ name, text string }{
		{"invalid bytes", "\x01\xfe\r\n"},
		{"length is not a number", "ID OK - many\r\n"},
		{"negative length", "ID OK - -3\r\n"},
		{"length of 3 GB", "ID OK - 3000000000\r\n" + strings.Repeat("x", 1<<16)},
		{"body longer than its length", "ID OK - 2\r\nbody\r\n"},
		{"line without line end", "ID " + strings.Repeat("x", 1<<13)},
		{"invalid bytes before a valid line", "\x01\xfeID OK - 4\r\nbody\r\n"},
		{"truncated body", "ID OK - 100\r\nshort"},
		{"connection reset", resetConnection},
	} {
		t.Run(tt.name, func(t *testing.T) {
			malformed := false
			var malformedMutex sync.Mutex
			reply := func(n int, request agentRequest) string {
				malformedMutex.Lock()
				defer malformedMutex.Unlock()
				if malformed {
					malformed = false
					return strings.Replace(tt.text, "ID", request.id, 1)
				}
				return echo(n, request)
			}
			agents := []*nodeAgent{newAgent(t, reply), newAgent(t, reply)}
			sched := newTestScheduler(t)
			sched.addEvent(true, "a SERVING "+agents[0].addr, "b SERVING "+agents[1].addr)
			sched.start()
			client := sched.connect()
			client.t = t
			sendRequest := func() int {
				client.send(newCall("certificado", "", [2]string{"HTTP_BUDGET_MS", "60000"}))
				return client.readAnswer().status
			}
			countReceived := func() []int { return []int{len(agents[0].received()), len(agents[1].received())} }
			if got := sendRequest(); got != 200 {
				t.Fatalf("status %d for the first request", got)
			}
			first := countReceived()
			malformedMutex.Lock()
			malformed = true
			malformedMutex.Unlock()
			if got := sendRequest(); got != 502 {
				t.Errorf("status %d for a malformed answer, want 502", got)
			}
			for range 5 {
				if got := sendRequest(); got != 200 {
					t.Errorf("status %d afterwards, want 200", got)
				}
			}
			if d := cmp.Diff([]int{7 * first[0], 7 * first[1]}, countReceived()); d != "" {
				t.Errorf("requests at each worker (-want +got):\n%s", d)
			}
		})
	}
}

// A duplicate answer to an attempt must not be taken for the answer to the retry, which has the same ID. The retry is
// therefore sent on another connection than the answered attempt.
func TestDuplicateAnswer(t *testing.T) {
	for _, status := range []string{"MISS", "BUSY", "VOID"} {
		t.Run(status, func(t *testing.T) {
			sched, agent := startWithAgent(t, func(n int, request agentRequest) string {
				if n == 1 {
					return answerLine(request.id, status, "-", "")
				}
				if request.conn == 1 {
					return answerLine(request.id, "ERR", "-", "") + answerLine(request.id, "OK", "-", "late")
				}
				return answerLine(request.id, "OK", "-", "good")
			})
			client := sched.connect()
			client.send(newCall("certificado", ""))
			if got := client.readAnswer(); got.status != 200 || got.body != "good" {
				t.Errorf("status %d, body %q; the worker received %+v", got.status, got.body, agent.received())
			}
		})
	}
}

// An answer that arrives after its request's deadline must be dropped. The client must not receive a second answer, and
// the next requests on the connection must get their own answers.
func TestAnswerAfterDeadline(t *testing.T) {
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
		t.Errorf("status %d after its deadline, want 502: it may have run", got.status)
	}
	close(release)
	for _, body := range []string{"a", "b", "c"} {
		client.send(newCall("certificado", body))
		if got := client.readAnswer(); got.body != "re:"+body {
			t.Errorf("status %d, %q, want the answer to %q", got.status, got.body, body)
		}
	}
	if requests := agent.received(); len(requests) != 4 {
		t.Errorf("the worker received %d requests, want 4", len(requests))
	}
}

// A late duplicate answer must be dropped, whether the first answer completed its request or caused a retry. The next
// request on the connection must get its own answer.
func TestLateDuplicateAnswer(t *testing.T) {
	for _, first := range []string{"OK", "MISS", "ERR"} {
		t.Run(first, func(t *testing.T) {
			var mu sync.Mutex
			// The worker that receives the first request answers it twice. It sends the duplicate before its next
			// answer on its first connection.
			duplicate, duplicateSender := "", ""
			begun := false
			worker := func(name string) *nodeAgent {
				return newAgent(t, func(number int, request agentRequest) string {
					mu.Lock()
					defer mu.Unlock()
					if !begun {
						begun, duplicateSender, duplicate = true, name, answerLine(request.id, "OK", "-", "second")
						if first == "OK" {
							return echo(number, request)
						}
						return answerLine(request.id, first, "-", "")
					}
					before := ""
					if name == duplicateSender && request.conn == 1 {
						before, duplicate = duplicate, ""
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
				t.Errorf("status %d, %q, want the first answer or the answer to a retry", got.status, got.body)
			}
			for _, body := range []string{"a", "b", "c", "d"} { // each of a different function, loaded at either worker
				client.send(newCall("consulta", body, [2]string{"HTTP_RESOURCE_KEY", fmt.Sprintf("%016x", body[0])}))
				if got := client.readAnswer(); got.body != "re:"+body {
					t.Errorf("status %d, %q, want the answer to %q", got.status, got.body, body)
				}
			}
		})
	}
}
