package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	processesMu sync.Mutex
	processes   []*scheduler
)

// killAll kills the schedulers that were started and waits for their end.
func killAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, s := range processes {
		s.signal(syscall.SIGKILL)
		select {
		case <-s.ended:
		case <-time.After(5 * time.Second):
		}
	}
}

// scheduler is one process of the project's program.
type scheduler struct {
	addr  string
	cmd   *exec.Cmd
	ended chan struct{} // closed when the process has ended
	log   string        // file of its output
}

// projectRoot is the project's root folder; run.sh sets it.
func projectRoot() string { return os.Getenv("PROJECT") }

// deployLine returns a command of the deploy file.
func deployLine(key string) string {
	text, err := os.ReadFile(filepath.Join(projectRoot(), "deploy/balancer.toml"))
	if err != nil {
		cannotRun("deploy file: %v", err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, key+" = \""); ok {
			return value[:strings.LastIndex(value, "\"")]
		}
	}
	cannotRun("deploy file: no line %s", key)
	return ""
}

// freeAddr returns a loopback address on which nothing listens.
func freeAddr() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("no free port: %v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// writeConfig replaces a configuration file as a whole.
func writeConfig(path, name, listen, bulletinAddr string, known feed, limit limits, settings map[string]any) {
	content, err := json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":   map[string]any{"cores": 1, "memory_mb": limit.memoryMB, "sockets": limit.sockets},
		"bulletin": bulletinAddr, "known": known, "settings": settings,
	}, "", " ")
	if err == nil {
		err = os.WriteFile(path+".new", content, 0o600)
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		cannotRun("configuration: %v", err)
	}
}

// startScheduler starts the program with the run command of the deploy file.
func startScheduler(rec *record, dir, name, listen, config string) *scheduler {
	s := &scheduler{addr: listen, ended: make(chan struct{}), log: filepath.Join(dir, name+".log")}
	logFile, err := os.Create(s.log)
	if err != nil {
		cannotRun("log: %v", err)
	}
	s.cmd = exec.Command("/bin/sh", "-c", deployLine("run"))
	s.cmd.Dir = projectRoot()
	s.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "ROUTER_NAME="+name, "ROUTER_LISTEN="+listen, "TMPDIR="+dir)
	s.cmd.Stdout = logFile
	s.cmd.Stderr = logFile
	if err := s.cmd.Start(); err != nil {
		cannotRun("start: %v", err)
	}
	processesMu.Lock()
	processes = append(processes, s)
	processesMu.Unlock()
	rec.line("scheduler: started")
	go func() {
		err := s.cmd.Wait()
		logFile.Close()
		rec.line("scheduler: ended: %v", err)
		close(s.ended)
	}()
	return s
}

func (s *scheduler) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

func (s *scheduler) signal(sig syscall.Signal) {
	if !s.hasEnded() {
		_ = s.cmd.Process.Signal(sig)
	}
}

// awaitReady asks for /health until the answer is 200.
func (s *scheduler) awaitReady(rec *record) {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until) && !s.hasEnded(); time.Sleep(20 * time.Millisecond) {
		c, err := dialClient(s.addr, 0)
		if err != nil {
			continue
		}
		ready := c.do(&call{path: "/health"}, time.Second) && c.lastStatus == 200
		c.close()
		if ready {
			rec.line("scheduler: ready")
			return
		}
	}
	cannotRun("the scheduler does not get ready")
}

// anonymousKB returns the memory that the process alone holds, in KiB, without the pages of its program file.
func (s *scheduler) anonymousKB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}

// warnings returns the lines of the scheduler's log with a warning or an error, at most n of them.
func (s *scheduler) warnings(n int) []string {
	text, err := os.ReadFile(s.log)
	if err != nil {
		return nil
	}
	var lines []string
	for line := range strings.Lines(string(text)) {
		if len(lines) < n && !strings.Contains(line, "level=info") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}
