package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// runCommandLine runs the program to its end and returns its output and exit code.
func runCommandLine(t *testing.T, args ...string) (string, int) {
	t.Helper()
	cmd, out := program(t, args...)
	err := cmd.Run()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return out.String(), cmd.ProcessState.ExitCode()
}

// misspelt is a misspelled directive for which check must suggest the correct name.
const misspelt = "levle" //nolint:misspell // the misspelling is the fault under test

// TestCommands checks the exit code and part of the output of command lines that need no running scheduler.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.conf")
	if err := os.WriteFile(bad, []byte("log\n  "+misspelt+" info\n  format xml\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		args   string
		exit   int
		output string
	}{
		{"", 1, "no configuration"},
		{"run", 1, "no configuration"},
		{"-config /dev/null", 1, "calicohill: configuration /dev/null"},
		{"--config=/dev/null run", 1, "calicohill: configuration /dev/null"},
		{"-config /dev/null -operator x", 2, "unknown shorthand flag"},
		{"frobnicate", 2, `unknown command or argument "frobnicate"`},
		{"--frobnicate", 2, "unknown flag"},
		{"check", 2, "takes the names of files"},
		{"check " + bad, 1, bad + `:2:3: ` + misspelt + `: unknown directive in section log; did you mean "level"?`},
		{"check " + bad, 1, bad + `:3:10: format: "xml" is not one of text, json`},
		{"check --config ../../example/config.json ../../deploy/calicohill.conf", 0, ""},
		{"check --config /dev/null", 1, "configuration /dev/null"},
		{"call", 2, "takes CLASS"},
		{"call consulta --count 0", 2, "at least 1"},
		{"call consulta --to 127.0.0.1:1", 1, "refused"},
		{"version", 0, "calicohill "},
		{"call --help", 0, "calicohill call consulta --to"},
		{"completion bash", 0, "bash completion"},
	} {
		out, exit := runCommandLine(t, strings.Fields(tt.args)...)
		if exit != tt.exit || !strings.Contains(out, tt.output) {
			t.Errorf("calicohill %s: exit code %d, want %d and %q in:\n%s", tt.args, exit, tt.exit, tt.output, out)
		}
	}
}

// The call command must print the answer or the number of calls by outcome, and exit with 1 if a call fails.
func TestCall(t *testing.T) {
	sched, _ := startWithAgent(t, func(n int, request agentRequest) string {
		if request.body == "lose" {
			return answerLine(request.id, "ERR", "-", "")
		}
		return echo(n, request)
	})
	for _, tt := range []struct {
		args []string
		exit int
		says string
	}{
		{[]string{"consulta", "--body", "hello", "--wait", "5s"}, 0, "re:hello"},
		{[]string{"registro-horas", "--count", "100", "--at-a-time", "2"}, 0, "100 served, 0 refused, 0 failed, 0 unanswered"},
		{[]string{"certificado", "--body", "lose"}, 1, "failed, status 502"},
		{[]string{"nonsense"}, 1, "failed, status 400"},
	} {
		out, exit := runCommandLine(t, append([]string{"call", "--to", sched.addr}, tt.args...)...)
		if exit != tt.exit || !strings.Contains(out, tt.says) {
			t.Errorf("call %v: exit code %d, want %d and %q in:\n%s", tt.args, exit, tt.exit, tt.says, out)
		}
	}
}

// A reload must apply the operator's file completely. If the file is invalid, the reload must change nothing and log
// one line per error.
func TestReloadOperatorsFile(t *testing.T) {
	agent := newAgent(t, echo)
	sched := newTestScheduler(t)
	sched.addEvent(true, "a SERVING "+agent.addr)
	sched.operatorFile = filepath.Join(t.TempDir(), "o.conf")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(sched.operatorFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("log\n  level info\n")
	sched.start()
	reload := func(text, logText string) {
		t.Helper()
		write(text)
		if err := sched.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "the log contains "+logText, func() bool { return strings.Contains(sched.log.String(), logText) })
	}
	reload("log\n  format xml\n  level loud\n", `:3:9: level:`)
	if got := strings.Count(sched.log.String(), "operator's file reload failed, keeping the running configuration"); got != 2 {
		t.Errorf("%d lines for 2 errors", got)
	}
	reload("log\n  format json\n", `"msg":"configuration reloaded"`)
	reload("log\n  format json\n  level error\n  level info bulletin\n", "") // level error suppresses the log line of the reload
	client := sched.connect()
	client.send(newCall("consulta", "x"))
	if got := client.readAnswer(); got.status != 200 {
		t.Errorf("status %d after reloads", got.status)
	}
	sched.addEvent(false, "b SERVING "+agent.addr)
	waitUntil(t, "component bulletin logs at its own level", func() bool { return strings.Contains(sched.log.String(), `"part":"bulletin"`) })
}

// The program must not start with an error in the operator's file. It must print one line with the position of the
// error.
func TestOperatorFileCheckedAtStart(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.conf")
	if err := os.WriteFile(bad, []byte("log\n  level loud\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	out, exit := runCommandLine(t, "--config", "../../example/config.json", "--operator", bad)
	if want := "calicohill: " + bad + ":2:9: level:"; exit != 1 || !strings.Contains(out, want) || strings.Count(out, "\n") != 1 {
		t.Errorf("exit code %d and %q, want 1 and one line with %q", exit, out, want)
	}
}
