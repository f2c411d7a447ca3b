package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

const testRules = `match certificates-by-function
    when   handler.startsWith("cc") && budget >= duration("500ms")
    class  certificado
    key    handler + ":" + param["HTTP_X_CENTRE"]
    route  slow-lane
    label  centre param["HTTP_X_CENTRE"]
    stop
match by-path
    when   path.startsWith("/old/")
    class  consulta   # old clients do not send a class
match lax
    when   path == "/rpc/certificado"
    class  consulta
match broken
    when   param["HTTP_X_NEVER"] == "a"
    class  certificado
`

// startWithRules starts a scheduler with one worker and an operator's file with the given text.
func startWithRules(t *testing.T, text string, reply func(n int, request agentRequest) string) (*testScheduler, *nodeAgent) {
	t.Helper()
	agent, sched := newAgent(t, reply), newTestScheduler(t)
	sched.addEvent(true, "a SERVING "+agent.addr)
	sched.operatorFile = filepath.Join(t.TempDir(), "o.conf")
	if err := os.WriteFile(sched.operatorFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return sched.start(), agent
}

// Rules set the class that the worker receives and leave the function unchanged. Guards against a rule that gives a
// request a class with weaker guarantees.
func TestRules(t *testing.T) {
	status := filepath.Join(t.TempDir(), "status.json")
	sched, agent := startWithRules(t, "log\n  level debug rules\n  status "+status+"\n"+testRules, echo)
	client := sched.connect()
	for _, tt := range []struct {
		path, function, centre string
		status                 int
		class                  string
	}{
		{"/rpc/consulta", "cc00000000000001", "zona4", 200, "certificado"},
		{"/rpc/consulta", "cc00000000000001", "-", 200, "consulta"}, // the key can't be computed, so the rule does not match
		{"/rpc/consulta", "dd00000000000001", "zona4", 200, "consulta"},
		{"/old/lookup", "dd00000000000001", "zona4", 200, "consulta"},
		{"/rpc/certificado", "dd00000000000001", "zona4", 200, "certificado"},
		{"/other", "dd00000000000001", "zona4", 400, ""},
	} {
		before := len(agent.received())
		client.send(newCall("consulta", "x", [2]string{"SCRIPT_NAME", tt.path}, [2]string{"HTTP_RESOURCE_KEY", tt.function},
			[2]string{"HTTP_X_CENTRE", tt.centre}))
		if got := client.readAnswer(); got.status != tt.status {
			t.Errorf("%+v: status %d", tt, got.status)
		}
		if tt.class == "" {
			continue
		}
		requests := agent.received()[before:]
		if len(requests) != 1 || requests[0].fields["sort"] != tt.class || requests[0].fields["asset"] != tt.function {
			t.Errorf("%+v: the worker received %+v", tt, requests)
		}
	}
	log := sched.log.String()
	for _, want := range []string{"rule failed: broken", "rules matched", "labels=\"map[centre:zona4]\"", "route=slow-lane", "part=rules"} {
		if !strings.Contains(log, want) {
			t.Errorf("the log lacks %q", want)
		}
	}
	if err := sched.cmd.Process.Signal(syscall.SIGUSR1); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "counts are logged", func() bool { return strings.Count(sched.log.String(), "rule counts") == 4 })
	text, err := os.ReadFile(status)
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"rule":"lax","tried":1,"matched":0,"failed":1,`; !strings.Contains(string(text), want) {
		t.Errorf("the status file lacks %s: %s", want, text)
	}
}

// Rules are reloaded under traffic. Guards against a call that is evaluated by a mix of the old and the new rules, and
// against an invalid file that replaces valid rules.
func TestReloadRules(t *testing.T) {
	var misclassified atomic.Int32
	sched, _ := startWithRules(t, testRules, func(n int, request agentRequest) string {
		// The body is the prefix of the function's name. One set of rules gives functions with prefix "cc" the class
		// certificado, the other set registro-horas. Functions with prefix "dd" keep the class consulta under both.
		if class := request.fields["sort"]; request.body == "cc" && class != "certificado" && class != "registro-horas" || request.body == "dd" && class != "consulta" {
			misclassified.Add(1)
		}
		return echo(n, request)
	})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var answered atomic.Int32
	stopClients := sync.OnceFunc(func() { close(stop); wg.Wait() })
	t.Cleanup(stopClients)
	for range 3 {
		client := sched.connect()
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				prefix := []string{"cc", "dd"}[i%2]
				client.send(newCall("consulta", prefix, [2]string{"HTTP_RESOURCE_KEY", prefix + "00000000000001"}, [2]string{"HTTP_X_CENTRE", "z"}))
				if got := client.readAnswer(); got.status != 200 && got.status != 503 {
					t.Errorf("status %d", got.status)
				}
				answered.Add(1)
			}
		})
	}
	reload := func(text, message string, times int) {
		t.Helper()
		if err := os.WriteFile(sched.operatorFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		before := answered.Load()
		if err := sched.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, message, func() bool { return strings.Count(sched.log.String(), message) >= times && answered.Load() > before+20 })
	}
	for i := range 4 {
		reload(strings.Replace(testRules, "class  certificado", "class  registro-horas", 1), "configuration reloaded", 2*i+1)
		reload("match a\n  when handlr == 1\n  class nope\n", "operator's file reload failed", 2*(i+1))
		reload(testRules, "configuration reloaded", 2*i+2)
	}
	stopClients()
	if misclassified.Load() > 0 {
		t.Errorf("%d calls reached the worker with a class that neither set of rules gives them", misclassified.Load())
	}
}

// The match and check commands evaluate and validate rules without a running scheduler.
func TestMatchCommand(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good, bad := write("good.conf", testRules), write("bad.conf", "match a\n  class nope\n  when handlr == \"a\"\n")
	lines := write("requests.jsonl", `{"class":"consulta","handler":"cc1","budget":"1s","HTTP_X_CENTRE":"z4"}`+"\n"+`{"path":"/old/x"}`+"\n")
	platform := "../../example/config.json"
	for _, tt := range []struct {
		args     []string
		exitCode int
		output   string
	}{
		{
			[]string{"match", good, "--json", "--config", platform, "--requests", lines},
			0,
			`{"class":"certificado","key":"cc1:z4","route":"slow-lane","labels":{"centre":"z4"},"rules":["certificates-by-function"],"cost":`,
		},
		{[]string{"match", good, "--json", "--config", platform, "--requests", lines}, 0, `"class":"consulta","key":"","route":"","labels":null,"rules":["by-path"]`},
		{[]string{"match", good, "--config", platform, "--request", "class=consulta,handler=cc1,budget=1s"}, 0, "broken: "},
		{[]string{"match", good, "--request", "class"}, 2, "NAME=VALUE"},
		{[]string{"match", good}, 2, "either --request or --requests"},
		{[]string{"match", bad, "--config", platform, "--request", "class=a"}, 1, bad + `:2:9: class: no class "nope" is among the site's: consulta`},
		{[]string{"check", "--config", platform, bad}, 1, bad + ":3:8: when: unknown field handlr"},
		{[]string{"check", "--config", platform, good}, 0, ""},
	} {
		out, exitCode := runCommandLine(t, tt.args...)
		if exitCode != tt.exitCode || !strings.Contains(out, tt.output) {
			t.Errorf("%v: exit code %d, want %d and %q in:\n%s", tt.args, exitCode, tt.exitCode, tt.output, out)
		}
	}
	if out, exitCode := runCommandLine(t, "check", good); exitCode != 0 || out != "" {
		t.Errorf("check without the platform's file: exit code %d, output %s", exitCode, fmt.Sprint(out))
	}
}

const testPools = `match all
    route lane
pool fast
    workers  id.startsWith("f") && model == "std"
pool slow
    workers  id.startsWith("s")
route lane
    pool fast
    pool slow
`

// expectAllServedBy sends requests for six functions and expects the target to receive all of them.
func expectAllServedBy(t *testing.T, target *nodeAgent, agents []*nodeAgent, sendRequest func(function int) int, when string) {
	t.Helper()
	before := map[*nodeAgent]int{}
	for _, agent := range agents {
		before[agent] = len(agent.received())
	}
	for i := range 6 {
		if got := sendRequest(i); got != 200 {
			t.Errorf("%s: status %d", when, got)
		}
	}
	for _, agent := range agents {
		if got := len(agent.received()) - before[agent]; (agent == target) != (got == 6) || agent != target && got != 0 {
			t.Errorf("%s: %d of 6 requests reached %s (target: %v)", when, got, agent.addr, agent == target)
		}
	}
}

// changeEndpoint publishes a change of an endpoint and waits until the scheduler has applied it.
func changeEndpoint(t *testing.T, sched *testScheduler, endpoint string) {
	t.Helper()
	before := strings.Count(sched.log.String(), "worker list changed")
	sched.addEvent(false, endpoint)
	waitUntil(t, "the list is applied", func() bool { return strings.Count(sched.log.String(), "worker list changed") > before })
}

// A route sends requests to its first pool while a worker of that pool is usable, and to the next pool otherwise.
// Guards against requests to a worker outside the route's pools. It gets requests only after a reload without pools.
func TestPools(t *testing.T) {
	var unresponsive atomic.Bool
	fastAgent := newAgent(t, func(n int, request agentRequest) string {
		if unresponsive.Load() {
			return ""
		}
		return echo(n, request)
	})
	slowAgent, unpooledAgent := newAgent(t, echo), newAgent(t, echo)
	sched := newTestScheduler(t)
	sched.addEvent(true, "f SERVING "+fastAgent.addr, "s SERVING "+slowAgent.addr, "x SERVING "+unpooledAgent.addr)
	sched.operatorFile = filepath.Join(t.TempDir(), "o.conf")
	if err := os.WriteFile(sched.operatorFile, []byte(testPools), 0o600); err != nil {
		t.Fatal(err)
	}
	client := sched.start().connect()
	sendRequest := func(i int) int {
		client.send(newCall("consulta", "x", [2]string{"HTTP_RESOURCE_KEY", fmt.Sprintf("%016x", i)}, [2]string{"HTTP_BUDGET_MS", "1500"}))
		return client.readAnswer().status
	}
	expectServedBy := func(target *nodeAgent, when string) {
		t.Helper()
		expectAllServedBy(t, target, []*nodeAgent{fastAgent, slowAgent, unpooledAgent}, sendRequest, when)
	}
	expectServedBy(fastAgent, "both pools have a worker")
	changeEndpoint(t, sched, "f DRAINING "+fastAgent.addr)
	expectServedBy(slowAgent, "the first pool's worker drains")
	changeEndpoint(t, sched, "f SERVING "+fastAgent.addr)
	expectServedBy(fastAgent, "the first pool serves again")
	changeEndpoint(t, sched, "f DELETED "+fastAgent.addr)
	expectServedBy(slowAgent, "the first pool is empty")
	changeEndpoint(t, sched, "f2 SERVING "+fastAgent.addr)
	expectServedBy(fastAgent, "the first pool has another worker")
	unresponsive.Store(true)
	waitUntil(t, "the second pool serves while the worker of the first is unresponsive", func() bool { return sendRequest(1) == 200 })
	if len(unpooledAgent.received()) > 0 {
		t.Error("a worker outside all pools received a request")
	}
	unresponsive.Store(false)
	// A reload removes the pools, so that the third worker gets requests too.
	if err := os.WriteFile(sched.operatorFile, []byte("match all\n  route lane\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := sched.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "all workers have received requests", func() bool {
		for i := range 30 {
			sendRequest(i)
		}
		return len(unpooledAgent.received()) > 0
	})
}
