package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// withoutDescriptors calls a function while the program can open no descriptor: its accepts, sockets and everything else
// that needs one fail with EMFILE.
func (s *testScheduler) withoutDescriptors(meanwhile func()) {
	s.t.Helper()
	pid := s.cmd.Process.Pid
	var before unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		s.t.Fatal(err)
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 0, Max: before.Max}, nil); err != nil {
		s.t.Fatal(err)
	}
	meanwhile()
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &before, nil); err != nil {
		s.t.Fatal(err)
	}
}

// Seen on reading: an accept that fails with EMFILE ended the program, with all its requests lost; ENFILE, ENOBUFS and
// ENOMEM took the same way. The library under the event loop gives up on every error of accept but four.
//
// While accepting fails, what is open is served, and the log says so. Connections that the system has accepted meanwhile
// are served afterwards.
func TestAcceptFails(t *testing.T) {
	sched, _ := startWithAgent(t, echo)
	client := sched.connect()
	serve := func(client *testClient) {
		t.Helper()
		client.send(newCall("consulta", "x"))
		if got := client.readAnswer(); got.status != http.StatusOK {
			t.Errorf("status %d, want 200", got.status)
		}
	}
	serve(client)
	var waiting []*testClient
	sched.withoutDescriptors(func() {
		for range 20 {
			late := sched.connect()
			late.send(newCall("consulta", "x"))
			waiting = append(waiting, late)
		}
		waitUntil(t, "the log says that accepts fail", func() bool { return strings.Contains(sched.log.String(), "accept failed") })
		for range 20 {
			serve(client)
		}
	})
	for i, late := range waiting {
		if got := late.readAnswer(); got.status != http.StatusOK {
			t.Errorf("connection %d, which waited to be accepted: status %d, want 200", i, got.status)
		}
	}
}

// A connection to a worker that fails for a fault of this machine says nothing of the worker: the request waits for the
// next dial, whatever its class, and the worker is not ejected.
func TestDialFailsLocally(t *testing.T) {
	for _, class := range []string{"consulta", "registro-horas", "certificado"} {
		t.Run(class, func(t *testing.T) {
			sched, agent := startWithAgent(t, echo)
			client := sched.connect()
			client.waitUntilRead()
			sched.withoutDescriptors(func() {
				client.send(newCall(class, "x"))
				client.waitUntilRead()
				time.Sleep(50 * time.Millisecond) // how long sockets fail
			})
			sent := time.Now()
			got := client.readAnswer()
			if took := time.Since(sent); got.status != http.StatusOK || took > 500*time.Millisecond {
				t.Errorf("status %d after %v, want 200 before an ejected worker is probed", got.status, took)
			}
			if n := len(agent.received()); n != 1 {
				t.Errorf("%d attempts at the worker, want one", n)
			}
		})
	}
}
