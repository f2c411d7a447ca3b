package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"calicohill/internal/snapshot/snapshotfile"
)

// newSchedulerWithSnapshot returns a scheduler that saves its endpoint list, and the path of its snapshot.
func newSchedulerWithSnapshot(t *testing.T, dir string) (*testScheduler, string) {
	t.Helper()
	file := filepath.Join(dir, "n0.list")
	sched := newTestScheduler(t)
	sched.settings.HealthChecks = true
	sched.operatorFile = filepath.Join(t.TempDir(), "own.conf")
	text := "state\n  snapshot " + file + "\n  fleet gt-registros\n  max-age 1h\n"
	if err := os.WriteFile(sched.operatorFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return sched, file
}

// lastSnapshotEvent returns the number of the last event in a snapshot, or 0 if there is no snapshot. It fails the test
// if the snapshot is invalid.
func lastSnapshotEvent(t *testing.T, file string) int {
	t.Helper()
	record, err := snapshotfile.Read(file, "gt-registros", time.Duration(time.Now().UnixNano()), time.Hour)
	if err != nil {
		t.Fatalf("the snapshot is invalid: %v", err)
	}
	return record.EventNumber
}

// After a crash the scheduler uses its saved endpoint list if that is newer than the configured one, even while the
// list service is down. Guards against requests to a worker that started draining before the crash. If the service has
// restarted its event numbers, the scheduler uses the service's list instead.
func TestSnapshot(t *testing.T) {
	agentA, agentB, agentC := newAgent(t, answerWith("a")), newAgent(t, answerWith("b")), newAgent(t, answerWith("c"))
	sched, file := newSchedulerWithSnapshot(t, t.TempDir())
	sched.addEvent(true, "a SERVING "+agentA.addr)
	sched.start()
	sched.addEvent(false, "a DRAINING "+agentA.addr, "b SERVING "+agentB.addr)
	waitUntilServedBy(t, sched, "b")
	waitUntil(t, "the list is saved", func() bool { return lastSnapshotEvent(t, file) == 2 })
	sched.kill()
	before := len(agentA.received())

	sched.listServer.CloseClientConnections()
	sched.listServer.Close()
	sched.knownEvents = 1
	sched.start()
	for i := range 10 {
		client := sched.connect()
		client.send(newCall("consulta", fmt.Sprint(i)))
		if got := client.readAnswer(); got.body != "b" {
			t.Errorf("after a crash, without the list service: status %d, body %q", got.status, got.body)
		}
	}
	if got := len(agentA.received()); got != before {
		t.Errorf("%d requests went to a worker that drained before the crash", got-before)
	}

	// The list service restarts without events and numbers new ones from 1.
	sched.mu.Lock()
	sched.events = nil
	sched.mu.Unlock()
	sched.addEvent(true, "c SERVING "+agentC.addr)
	sched.listServer = httptest.NewServer(http.HandlerFunc(sched.poll))
	sched.kill()
	sched.knownEvents = 0
	sched.start()
	waitUntilServedBy(t, sched, "c")
	if !strings.Contains(sched.log.String(), "event numbers restarted") {
		t.Error("the log does not say that the list service restarted its numbering")
	}
}

// The age of a saved list is unknown, and a worker in it may have been draining for a long time. Guards against using
// the list without health checks before the list service has confirmed it.
func TestSnapshotOfUnknownAge(t *testing.T) {
	agent := newAgent(t, answerWith("a"))
	sched, file := newSchedulerWithSnapshot(t, t.TempDir())
	sched.settings.HealthChecks = false
	sched.addEvent(true, "a SERVING "+agent.addr)
	sched.addEvent(false, "a SERVING "+agent.addr)
	sched.start()
	waitUntil(t, "the list is saved", func() bool { return lastSnapshotEvent(t, file) == 2 })
	sched.kill()
	sched.knownEvents = 1
	sched.stopAnsweringPolls()
	sched.start()
	client := sched.connect()
	client.send(newCall("consulta", "", [2]string{"HTTP_BUDGET_MS", "3000"}))
	if got := client.readAnswer(); got.status != http.StatusServiceUnavailable || len(agent.received()) != 0 {
		t.Errorf("status %d with an unconfirmed list, want 503 and no request sent", got.status)
	}
	sched.pollsUnanswered.Store(false)
	sched.listServer.CloseClientConnections()
	waitUntilServedBy(t, sched, "a")
}

// Learned state is saved with the list. Guards against requests that, after a crash, load their functions at a worker
// that was added later instead of going to the worker that has them loaded.
func TestSnapshotOfLearnedState(t *testing.T) {
	agentA, agentB := newAgent(t, answerWith("a")), newAgent(t, answerWith("b"))
	sched, file := newSchedulerWithSnapshot(t, t.TempDir())
	sched.addEvent(true, "b SERVING "+agentB.addr)
	sched.start()
	sendRequests := func() {
		for i := range 12 {
			client := sched.connect()
			client.send(newCall("consulta", "x", [2]string{"HTTP_RESOURCE_KEY", fmt.Sprintf("%016x", i+1)}))
			if got := client.readAnswer(); got.body != "b" {
				t.Errorf("function %d: status %d, body %q", i+1, got.status, got.body)
			}
		}
	}
	sendRequests()
	sched.addEvent(false, "a SERVING "+agentA.addr)
	waitUntil(t, "the list is saved", func() bool { return lastSnapshotEvent(t, file) == 2 })
	sched.kill()
	sched.start()
	sendRequests()
	if n := len(agentA.received()); n > 0 {
		t.Errorf("%d calls went to a worker with no instance loaded", n)
	}
}

// An invalid snapshot is set aside and logged once, and failing writes are logged once. Guards against either of them
// preventing the scheduler from starting and serving.
func TestInvalidSnapshot(t *testing.T) {
	agent := newAgent(t, answerWith("a"))
	dir := t.TempDir()
	for _, tt := range []struct {
		name, message string
		prepare       func(t *testing.T, file string)
	}{
		{"torn", "snapshot set aside", func(t *testing.T, file string) {
			t.Helper()
			if err := os.WriteFile(file, []byte("calicohill snapshot 1\nabcd{"), 0o600); err != nil {
				t.Fatal(err)
			}
		}},
		{"directory", "snapshot set aside", func(t *testing.T, file string) {
			t.Helper()
			if err := os.MkdirAll(filepath.Join(file, "x"), 0o700); err != nil {
				t.Fatal(err)
			}
		}},
		{"missing directory", "snapshot write failed, keeping the previous file", func(t *testing.T, file string) {
			t.Helper()
			if err := os.RemoveAll(filepath.Dir(file)); err != nil {
				t.Fatal(err)
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			sub := filepath.Join(dir, strings.ReplaceAll(tt.name, " ", "-"))
			if err := os.Mkdir(sub, 0o700); err != nil {
				t.Fatal(err)
			}
			sched, file := newSchedulerWithSnapshot(t, sub)
			tt.prepare(t, file)
			sched.addEvent(true, "a SERVING "+agent.addr)
			sched.start()
			waitUntilServedBy(t, sched, "a")
			waitUntil(t, "the log contains "+tt.message, func() bool { return strings.Contains(sched.log.String(), tt.message) })
			if n := strings.Count(sched.log.String(), tt.message); n != 1 {
				t.Errorf("%q is logged %d times, want once", tt.message, n)
			}
		})
	}
}

// Guards against a snapshot that is invalid, or older than the previous one, after a SIGKILL while the endpoint list
// changes constantly.
func TestKillDuringSnapshot(t *testing.T) {
	agent := newAgent(t, answerWith("a"))
	sched, file := newSchedulerWithSnapshot(t, t.TempDir())
	sched.addEvent(true, "a SERVING "+agent.addr)
	rng, last := rand.New(rand.NewPCG(1, 1)), 0
	for range 8 {
		sched.start()
		end := time.Now().Add(time.Duration(rng.IntN(400)) * time.Millisecond)
		ticker := time.NewTicker(time.Millisecond)
		for ; time.Now().Before(end); <-ticker.C {
			sched.addEvent(false, "a SERVING "+agent.addr, fmt.Sprintf("w%d SERVING %s", rng.IntN(1000), agent.addr))
		}
		ticker.Stop()
		sched.kill()
		saved := lastSnapshotEvent(t, file)
		if saved < last {
			t.Errorf("the last saved event is %d, it was %d before", saved, last)
		}
		last = saved
	}
	if last < 2 {
		t.Error("no event was saved")
	}
}
