package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// As the platform starts it, a scheduler does not gossip: the command in deploy/balancer.toml names no operator's file,
// and the program holds no UDP socket once it has served.
func TestRunWithoutGossip(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil || strings.Contains(strings.ToLower(string(run[1])), "operator") {
		t.Errorf("run is %q: it is missing, or names an operator's file", run)
	}
	sched, _ := startWithAgent(t, echo)
	client := sched.connect()
	client.send(newCall("consulta", "body"))
	if got := client.readAnswer(); got.body != "re:body" {
		t.Fatalf("answered status %d, body %q", got.status, got.body)
	}
	if n := udpSockets(t, sched.cmd.Process.Pid); n != 0 {
		t.Errorf("%d UDP sockets", n)
	}
}

// udpSockets counts the UDP sockets that a process holds.
func udpSockets(t *testing.T, pid int) (count int) {
	t.Helper()
	held := map[string]bool{}
	fds, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil || len(fds) == 0 {
		t.Fatalf("no descriptors of process %d to be seen: %v", pid, err)
	}
	for _, fd := range fds {
		if to, err := os.Readlink(fd); err == nil { // it may have been closed meanwhile
			held[strings.TrimSuffix(strings.TrimPrefix(to, "socket:["), "]")] = true
		}
	}
	for _, table := range []string{"udp", "udp6"} {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", pid, table))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			if f := strings.Fields(line); len(f) > 9 && held[f[9]] { // the tenth column is the inode
				count++
			}
		}
	}
	return count
}
