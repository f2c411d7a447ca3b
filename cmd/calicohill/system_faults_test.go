package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// withoutDescriptors calls a function while the program can't open any descriptor: accept, socket and every other
// system call that needs one fail with EMFILE.
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

// Guards against a failing accept that ends the program and loses all its requests. EMFILE, ENFILE, ENOBUFS and ENOMEM
// did so, because the library of the event loop stops on all accept errors but four.
//
// While accept fails, the scheduler logs the error and serves open connections. Connections that the operating system
// has established meanwhile are served afterwards.
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
		waitUntil(t, "the accept errors are logged", func() bool { return strings.Contains(sched.log.String(), "accept failed") })
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

// Guards against ejecting a worker because a dial failed for a reason on the scheduler's own machine. A request of any
// class waits for the next dial.
func TestDialFailsLocally(t *testing.T) {
	for _, class := range []string{"consulta", "registro-horas", "certificado"} {
		t.Run(class, func(t *testing.T) {
			sched, agent := startWithAgent(t, echo)
			client := sched.connect()
			client.waitUntilRead()
			sched.withoutDescriptors(func() {
				client.send(newCall(class, "x"))
				client.waitUntilRead()
				time.Sleep(50 * time.Millisecond) // how long socket calls fail
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
