package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// A scheduler does not gossip when the platform starts it: the command in deploy/balancer.toml passes no operator's
// file. Guards against a UDP socket that is opened without gossip settings.
func TestRunWithoutGossip(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil || strings.Contains(strings.ToLower(string(run[1])), "operator") {
		t.Errorf("the run command is missing or passes an operator's file: %q", run)
	}
	sched, _ := startWithAgent(t, echo)
	client := sched.connect()
	client.send(newCall("consulta", "body"))
	if got := client.readAnswer(); got.body != "re:body" {
		t.Fatalf("got status %d, body %q", got.status, got.body)
	}
	if n := countUDPSockets(t, sched.cmd.Process.Pid); n != 0 {
		t.Errorf("%d UDP sockets are open, want none", n)
	}
}

// countUDPSockets counts the open UDP sockets of a process.
func countUDPSockets(t *testing.T, pid int) (count int) {
	t.Helper()
	inodes := map[string]bool{}
	fds, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil || len(fds) == 0 {
		t.Fatalf("can't list the descriptors of process %d: %v", pid, err)
	}
	for _, fd := range fds {
		if target, err := os.Readlink(fd); err == nil { // it may be closed by now
			inodes[strings.TrimSuffix(strings.TrimPrefix(target, "socket:["), "]")] = true
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
			if columns := strings.Fields(line); len(columns) > 9 && inodes[columns[9]] { // the tenth column is the inode
				count++
			}
		}
	}
	return count
}
