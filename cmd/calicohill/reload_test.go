package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// expectInvalidConfigsRejected reloads invalid configuration files and expects each to be rejected. All but the first
// also change the list service's address, which must not be applied.
func expectInvalidConfigsRejected(t *testing.T, sched *testScheduler) {
	t.Helper()
	text, err := os.ReadFile(sched.configFile)
	if err != nil {
		t.Fatal(err)
	}
	moved := strings.Replace(string(text), sched.listServer.Listener.Addr().String(), "127.0.0.1:1", 1)
	for i, invalid := range []string{
		`{"bulletin":`, strings.Replace(moved, `"attemptsCap":4`, `"attemptsCap":0`, 1),
		strings.Replace(moved, `"effect":"read_like"`, `"effect":"none"`, 1),
		strings.Replace(moved, `"state":"SERVING"`, `"state":"?"`, 1),
		strings.Replace(moved, `"name":"consulta"`, `"name":"certificado"`, 1),
	} {
		if invalid == moved {
			t.Fatalf("file %d differs from the valid file only in the address", i)
		}
		if err := os.WriteFile(sched.configFile, []byte(invalid), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := sched.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, fmt.Sprintf("file %d is rejected", i), func() bool { return strings.Count(sched.log.String(), "reload failed") == i+1 })
	}
}

// After SIGHUP the scheduler polls the list service at the configured address, and continues after the last event that
// it has. Guards against an invalid file that is applied in part, and a reload that affects a request in flight.
func TestReload(t *testing.T) {
	agentA, agentB, agentC := newAgent(t, answerWith("a")), newAgent(t, answerWith("b")), newAgent(t, answerWith("c"))
	release := make(chan struct{})
	blockedAgent := newAgent(t, func(n int, request agentRequest) string {
		<-release
		return answerWith("held")(n, request)
	})
	sched := newTestScheduler(t)
	sched.addEvent(true, "a SERVING "+agentA.addr)
	sched.addEvent(true, "held SERVING "+blockedAgent.addr)
	sched.start()
	client := sched.connect()
	client.send(newCall("certificado", "", [2]string{"HTTP_BUDGET_MS", "60000"}))
	waitUntil(t, "a request is in flight", func() bool { return len(blockedAgent.received()) == 1 })

	reload := func(want string) {
		t.Helper()
		if err := sched.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "the log contains "+want, func() bool { return strings.Contains(sched.log.String(), want) })
	}
	expectInvalidConfigsRejected(t, sched)
	sched.addEvent(true, "b SERVING "+agentB.addr)
	waitUntilServedBy(t, sched, "b")

	// The service at the old address keeps its open poll and accepts no more connections.
	oldService, oldAddress := sched.listServer, sched.listServer.Listener.Addr().String()
	sched.listServer = httptest.NewServer(http.HandlerFunc(sched.poll))
	oldService.Listener.Close()
	sched.configure()
	reload("configuration reloaded")
	sched.addEvent(true, "c SERVING "+agentC.addr)
	waitUntilServedBy(t, sched, "c")
	waitUntil(t, "the polls at the old address end", func() bool { return sched.countPoll(oldAddress, 0) == 0 })
	close(release)
	if got := client.readAnswer(); got.status != 200 || got.body != "held" {
		t.Errorf("the request in flight got status %d, body %q", got.status, got.body)
	}
	oldService.Close()
}

// On an invalid configuration the program exits at once and prints one line with the reason.
func TestBadConfiguration(t *testing.T) {
	complete := `{"listen":"127.0.0.1:0","bulletin":"127.0.0.1:1","seed":"1","settings":` +
		string(testSettings().JSON()) + `}`
	for _, tt := range []struct{ name, text, want string }{
		{"not JSON", "{", "unexpected end"},
		{"no address", strings.Replace(complete, "127.0.0.1:0", "", 1), "listen"},
		{"seed", strings.Replace(complete, `"seed":"1"`, `"seed":"x"`, 1), "seed"},
		{"no settings", `{"listen":"127.0.0.1:0","bulletin":"127.0.0.1:1","seed":"1"}`, "no settings"},
		{"settings", strings.Replace(complete, "read_like", "harmless", 1), "effect"},
		{"no class", strings.Replace(complete, `"attemptsCap":4`, `"attemptsCap":0`, 1), "attempt"},
		{"known", strings.Replace(complete, `"seed"`, `"known":{"items":7},"seed"`, 1), "known"},
		{"duplicate class name", strings.Replace(complete, `"name":"consulta"`, `"name":"certificado"`, 1), "is that of class"},
		{"class without a name", strings.Replace(complete, `"name":"consulta"`, `"name":""`, 1), "name"},
		{"class name with separators", strings.Replace(complete, `"name":"consulta"`, `"name":"a,asset=b"`, 1), "name"},
		{"negative time", strings.Replace(complete, `"coldMs":17000`, `"coldMs":-1`, 1), "time"},
		{"time out of range", strings.Replace(complete, `"coldMs":17000`, `"coldMs":1e300`, 1), "time"},
		{"sockets", strings.Replace(complete, `"seed"`, `"limits":{"sockets":3},"seed"`, 1), "sockets"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, []byte(tt.text), 0o600); err != nil {
				t.Fatal(err)
			}
			cmd, log := program(t, "-config", path)
			err := cmd.Run()
			if line := log.String(); err == nil || !strings.Contains(line, tt.want) ||
				!strings.HasPrefix(line, "calicohill: ") || strings.Count(line, "\n") != 1 {
				t.Errorf("exited with %v and output %q, want one line with %q", err, log, tt.want)
			}
		})
	}
	cmd, log := program(t)
	if err := cmd.Run(); err == nil || !strings.Contains(log.String(), "ROUTER_CONFIG") {
		t.Errorf("without a configuration: exited with %v and output %q", err, log)
	}
}

// A scheduler keeps the class settings that it started with. Guards against a reload that removes a class, or changes
// its settings, for requests in flight or new requests.
func TestReloadKeepsClasses(t *testing.T) {
	release := make(chan struct{})
	sched, agent := startWithAgent(t, func(n int, request agentRequest) string {
		if n == 1 {
			<-release
		}
		return echo(n, request)
	})
	client := sched.connect()
	client.send(newCall("certificado", "out"))
	waitUntil(t, "the request is at the worker", func() bool { return len(agent.received()) == 1 })
	sched.settingsEdits = [][2]string{
		{`"name":"certificado"`, `"name":"other"`},
		{`"effect":"non_idempotent"`, `"effect":"read_like"`},
		{`"hardLimitMs":3000`, `"hardLimitMs":30`},
	}
	sched.configure()
	if err := sched.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the configuration is reloaded", func() bool { return strings.Contains(sched.log.String(), "configuration reloaded") })
	close(release)
	if got := client.readAnswer(); got.body != "re:out" {
		t.Errorf("status %d for the request in flight", got.status)
	}
	for class, want := range map[string]int{"certificado": 200, "consulta": 200, "other": 400} {
		client.send(newCall(class, "x"))
		if got := client.readAnswer(); got.status != want {
			t.Errorf("status %d for class %s, want %d", got.status, class, want)
		}
	}
}
