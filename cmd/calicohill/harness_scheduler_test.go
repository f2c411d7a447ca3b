package main

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"calicohill/internal/testbed/platform"
	"calicohill/internal/testbed/process"
	"calicohill/internal/testbed/standin"
)

// testSettings returns the platform's settings for a fleet of one scheduler.
func testSettings() platform.Settings {
	return platform.Settings{Schedulers: 1, IdleCloseMillis: 15_000, InstanceIdleMillis: 9_000}
}

// testScheduler runs the program as a process, together with its configuration and the endpoint list service that it
// polls.
type testScheduler struct {
	t       *testing.T
	addr    string // listen address for clients
	cmd     *exec.Cmd
	log     *process.Log
	ended   chan error // receives the result of Wait when the process has ended
	started bool

	// The configuration. Tests may change it before they start the process.
	knownEvents   int               // number of events in the configuration file; 0 for all events
	settings      platform.Settings // modified by settingsEdits
	maxSockets    int
	memoryMB      int
	configFile    string      // path; set by launch
	operatorFile  string      // path; "" for none
	settingsEdits [][2]string // replacements in the JSON settings: pairs of old and new text

	// The endpoint list service.
	listServer      *httptest.Server
	mu              sync.Mutex
	events          []string
	changed         chan struct{}               // closed and replaced when an event is added
	pollOverrides   []func(http.ResponseWriter) // answers to the next polls, which replace the events
	openPolls       map[string]int              // number of open polls, by the service's address
	pollsUnanswered atomic.Bool                 // set while polls are not answered
}

// newTestScheduler returns a scheduler that is not started yet. Tests may change its configuration before the start.
func newTestScheduler(t *testing.T) *testScheduler {
	t.Helper()
	sched := &testScheduler{t: t, changed: make(chan struct{}), settings: testSettings(), maxSockets: 1024, memoryMB: 192, openPolls: map[string]int{}}
	sched.listServer = &httptest.Server{Listener: listenOnOwnHost(t), Config: &http.Server{Handler: http.HandlerFunc(sched.poll)}}
	sched.listServer.Start()
	return sched
}

// configure writes the configuration file, with the events so far.
func (s *testScheduler) configure() {
	s.t.Helper()
	s.mu.Lock()
	known := s.feed(0)
	if s.knownEvents > 0 {
		known = standin.EndpointFeed(s.knownEvents, s.events[:s.knownEvents])
	}
	settings := string(s.settings.JSON())
	for _, c := range s.settingsEdits {
		if !strings.Contains(settings, c[0]) {
			s.t.Fatalf("no %s in the settings", c[0])
		}
		settings = strings.ReplaceAll(settings, c[0], c[1])
	}
	text, err := json.Marshal(platform.Config{
		ListService: s.listServer.Listener.Addr().String(),
		Known:       json.RawMessage(known),
		Limits:      platform.Limits{Cores: 1, MemoryMB: s.memoryMB, Sockets: s.maxSockets},
		Listen:      s.addr,
		Name:        "n0",
		Seed:        "8c1f30d27a5be964",
		Settings:    json.RawMessage(settings),
	})
	s.mu.Unlock()
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(s.configFile, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// launch starts the process, configured with the events so far.
func (s *testScheduler) launch() {
	s.t.Helper()
	if s.addr == "" {
		s.addr = unusedAddress(s.t)
	}
	s.configFile = filepath.Join(s.t.TempDir(), "config.json")
	s.configure()
	s.cmd, s.log = program(s.t, "-config", s.configFile, "--operator", s.operatorFile)
	// As on the platform, the process can't open more descriptors than its configuration grants.
	s.cmd.Env = append(s.cmd.Env, filesVariable+"="+strconv.Itoa(s.maxSockets))
	if err := s.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.ended = make(chan error, 1)
	go func() { s.ended <- s.cmd.Wait() }()
	if !s.started {
		s.started = true
		s.t.Cleanup(s.stop)
	}
}

// start starts the process, configured with the events so far, and waits until its health check succeeds.
func (s *testScheduler) start() *testScheduler {
	s.t.Helper()
	s.launch()
	waitUntil(s.t, "the program is healthy", func() bool {
		conn, err := net.Dial("tcp", s.addr)
		if err != nil {
			return false
		}
		defer conn.Close()
		client := &testClient{t: s.t, conn: conn, reader: bufio.NewReader(conn)}
		client.send(healthRequest())
		return client.readAnswer().status == http.StatusOK
	})
	return s
}

// waitForExit waits until the process exits by itself, with code 0.
func (s *testScheduler) waitForExit() {
	s.t.Helper()
	select {
	case err := <-s.ended:
		if s.ended <- err; err != nil {
			s.t.Errorf("ended with %v", err)
		}
	case <-time.After(waitTimeout):
		s.t.Error("the program did not exit")
	}
}

// stop kills the process at the end of the test. It fails the test if the process exited with an error, panicked or
// reported a data race.
func (s *testScheduler) stop() {
	_ = s.cmd.Process.Kill() // fails if it has ended
	if err := <-s.ended; err != nil && !strings.Contains(err.Error(), "killed") {
		s.t.Errorf("the program ended with %v", err)
	}
	if strings.Contains(s.log.String(), "DATA RACE") || strings.Contains(s.log.String(), "panic:") {
		s.t.Error("the program raced or panicked")
	}
	s.listServer.CloseClientConnections()
	s.listServer.Close()
	if s.t.Failed() {
		s.t.Logf("log of the program:\n%s", s.log)
	}
}

// startWithAgent starts a scheduler with one worker. The worker's agent answers each request with reply.
func startWithAgent(t *testing.T, reply func(n int, request agentRequest) string) (*testScheduler, *nodeAgent) {
	t.Helper()
	agent := newAgent(t, reply)
	sched := newTestScheduler(t)
	sched.addEvent(true, "a SERVING "+agent.addr)
	return sched.start(), agent
}

// waitUntilServedBy sends requests until one is answered with the body want, and then expects the same body for the
// next 20 requests.
func waitUntilServedBy(t *testing.T, sched *testScheduler, want string) {
	t.Helper()
	client := sched.connect()
	sendRequest := func() string { client.send(newCall("consulta", "")); return client.readAnswer().body }
	waitUntil(t, want+" answers", func() bool { return sendRequest() == want })
	for range 20 {
		if got := sendRequest(); got != want {
			t.Fatalf("answer %q, want %q only", got, want)
		}
	}
}

// whileStopped stops the process, calls a function, waits for the time stall and resumes the process.
func (s *testScheduler) whileStopped(stall time.Duration, meanwhile func()) {
	s.t.Helper()
	whileStopped(s.t, s.cmd.Process.Pid, stall, meanwhile)
}

// kill sends SIGKILL to the process and waits until it has exited.
func (s *testScheduler) kill() {
	s.t.Helper()
	if err := s.cmd.Process.Kill(); err != nil {
		s.t.Fatal(err)
	}
	s.ended <- <-s.ended // waits, and puts the result back for stop
}
