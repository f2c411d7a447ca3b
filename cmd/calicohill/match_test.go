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

const someRules = `match certificates-by-function
    when   handler.startsWith("cc") && budget >= duration("500ms")
    class  certificado
    key    handler + ":" + param["HTTP_X_CENTRE"]
    route  slow-lane
    label  centre param["HTTP_X_CENTRE"]
    stop
match by-path
    when   path.startsWith("/old/")
    class  consulta   # clients of old name no class
match lax
    when   path == "/rpc/certificado"
    class  consulta
match broken
    when   param["HTTP_X_NEVER"] == "a"
    class  certificado
`

// withRules is a site whose scheduler has an operator's file.
func withRules(t *testing.T, text string, reply func(n int, g goLine) string) (*site, *nodeAgent) {
	t.Helper()
	a, s := newAgent(t, reply), newSite(t)
	s.tell(true, "a SERVING "+a.addr)
	s.operator = filepath.Join(t.TempDir(), "o.conf")
	if err := os.WriteFile(s.operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return s.start(), a
}

// Rules decide the class that a worker is told; what runs stays the function. None makes a call less strict.
func TestRules(t *testing.T) {
	status := filepath.Join(t.TempDir(), "status.json")
	s, a := withRules(t, "log\n  level debug rules\n  status "+status+"\n"+someRules, echo)
	f := s.front()
	for _, c := range []struct {
		path, function, centre string
		status                 int
		class                  string
	}{
		{"/rpc/consulta", "cc00000000000001", "zona4", 200, "certificado"},
		{"/rpc/consulta", "cc00000000000001", "-", 200, "consulta"}, // the key can't be made: the rule does not match
		{"/rpc/consulta", "dd00000000000001", "zona4", 200, "consulta"},
		{"/old/lookup", "dd00000000000001", "zona4", 200, "consulta"},
		{"/rpc/certificado", "dd00000000000001", "zona4", 200, "certificado"},
		{"/other", "dd00000000000001", "zona4", 400, ""},
	} {
		before := len(a.had())
		f.send(call("consulta", "x", [2]string{"SCRIPT_NAME", c.path}, [2]string{"HTTP_RESOURCE_KEY", c.function},
			[2]string{"HTTP_X_CENTRE", c.centre}))
		if got := f.read(); got.status != c.status {
			t.Errorf("%+v: status %d", c, got.status)
		}
		if c.class == "" {
			continue
		}
		had := a.had()[before:]
		if len(had) != 1 || had[0].fields["sort"] != c.class || had[0].fields["asset"] != c.function {
			t.Errorf("%+v: the worker was asked %+v", c, had)
		}
	}
	log := s.log.String()
	for _, want := range []string{"rule failed: broken", "rules matched", "labels=\"map[centre:zona4]\"", "route=slow-lane", "part=rules"} {
		if !strings.Contains(log, want) {
			t.Errorf("the log lacks %q", want)
		}
	}
	if err := s.cmd.Process.Signal(syscall.SIGUSR1); err != nil {
		t.Fatal(err)
	}
	until(t, "counts are logged", func() bool { return strings.Count(s.log.String(), "rule so far") == 4 })
	text, err := os.ReadFile(status)
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"rule":"lax","tried":1,"matched":0,"failed":1,`; !strings.Contains(string(text), want) {
		t.Errorf("the status file lacks %s: %s", want, text)
	}
}

// Under traffic rules come and go by reload; a bad file changes nothing, and each call has met one set of rules.
func TestReloadRules(t *testing.T) {
	var odd atomic.Int32
	s, _ := withRules(t, someRules, func(n int, g goLine) string {
		// Under either set the class and the body, which names what the client asked for, go together.
		if class := g.fields["sort"]; g.body == "cc" && class != "certificado" && class != "registro-horas" || g.body == "dd" && class != "consulta" {
			odd.Add(1)
		}
		return echo(n, g)
	})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var asked atomic.Int32
	end := sync.OnceFunc(func() { close(stop); wg.Wait() })
	t.Cleanup(end)
	for range 3 {
		f := s.front()
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				kind := []string{"cc", "dd"}[i%2]
				f.send(call("consulta", kind, [2]string{"HTTP_RESOURCE_KEY", kind + "00000000000001"}, [2]string{"HTTP_X_CENTRE", "z"}))
				if got := f.read(); got.status != 200 && got.status != 503 {
					t.Errorf("status %d", got.status)
				}
				asked.Add(1)
			}
		})
	}
	reload := func(text, says string, times int) {
		t.Helper()
		if err := os.WriteFile(s.operator, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		before := asked.Load()
		if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		until(t, says, func() bool { return strings.Count(s.log.String(), says) >= times && asked.Load() > before+20 })
	}
	for i := range 4 {
		reload(strings.Replace(someRules, "class  certificado", "class  registro-horas", 1), "configuration read again", 2*i+1)
		reload("match a\n  when handlr == 1\n  class nope\n", "operator's file not read again", 2*(i+1))
		reload(someRules, "configuration read again", 2*i+2)
	}
	end()
	if odd.Load() > 0 {
		t.Errorf("%d calls went under a class that no rule gives them", odd.Load())
	}
}

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
	good, bad := write("good.conf", someRules), write("bad.conf", "match a\n  class nope\n  when handlr == \"a\"\n")
	lines := write("requests.jsonl", `{"class":"consulta","handler":"cc1","budget":"1s","HTTP_X_CENTRE":"z4"}`+"\n"+`{"path":"/old/x"}`+"\n")
	platform := "../../example/config.json"
	for _, c := range []struct {
		args []string
		exit int
		says string
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
		out, exit := command(t, c.args...)
		if exit != c.exit || !strings.Contains(out, c.says) {
			t.Errorf("%v: exit code %d, want %d and %q in:\n%s", c.args, exit, c.exit, c.says, out)
		}
	}
	if out, exit := command(t, "check", good); exit != 0 || out != "" {
		t.Errorf("check without the platform's file: %d %s", exit, fmt.Sprint(out))
	}
}

const somePools = `match all
    route lane
pool fast
    workers  id.startsWith("f") && model == "std"
pool slow
    workers  id.startsWith("s")
route lane
    pool fast
    pool slow
`

// Requests of a route stay in its first pool as long as somebody there is usable, and in the next one otherwise; the
// third worker belongs to none and is never asked.
func TestPools(t *testing.T) {
	var mute atomic.Bool
	a := newAgent(t, func(n int, g goLine) string {
		if mute.Load() {
			return ""
		}
		return echo(n, g)
	})
	b, other := newAgent(t, echo), newAgent(t, echo)
	s := newSite(t)
	s.tell(true, "f SERVING "+a.addr, "s SERVING "+b.addr, "x SERVING "+other.addr)
	s.operator = filepath.Join(t.TempDir(), "o.conf")
	if err := os.WriteFile(s.operator, []byte(somePools), 0o600); err != nil {
		t.Fatal(err)
	}
	f := s.start().front()
	ask := func(i int) int {
		f.send(call("consulta", "x", [2]string{"HTTP_RESOURCE_KEY", fmt.Sprintf("%016x", i)}, [2]string{"HTTP_BUDGET_MS", "1500"}))
		return f.read().status
	}
	// goes asks for some functions and expects them all at one agent.
	goes := func(to *nodeAgent, when string) {
		t.Helper()
		before := map[*nodeAgent]int{}
		for _, n := range []*nodeAgent{a, b, other} {
			before[n] = len(n.had())
		}
		for i := range 6 {
			if got := ask(i); got != 200 {
				t.Errorf("%s: status %d", when, got)
			}
		}
		for _, n := range []*nodeAgent{a, b, other} {
			if got := len(n.had()) - before[n]; (n == to) != (got == 6) || n != to && got != 0 {
				t.Errorf("%s: %d requests at an agent, the right one is it: %v", when, got, n == to)
			}
		}
	}
	// changed waits until a change of the list has been taken in.
	changed := func(target string) {
		t.Helper()
		before := strings.Count(s.log.String(), "worker list changed")
		s.tell(false, target)
		until(t, "the list is taken in", func() bool { return strings.Count(s.log.String(), "worker list changed") > before })
	}
	goes(a, "both pools serve")
	changed("f DRAINING " + a.addr)
	goes(b, "the first pool drains")
	changed("f SERVING " + a.addr)
	goes(a, "the first pool serves again")
	changed("f DELETED " + a.addr)
	goes(b, "the first pool is empty")
	changed("f2 SERVING " + a.addr)
	goes(a, "another has come")
	mute.Store(true)
	until(t, "the next pool stands in for a silent one", func() bool { return ask(1) == 200 })
	if len(other.had()) > 0 {
		t.Error("a worker of no pool was asked")
	}
	mute.Store(false)
	// A reload takes the pools away.
	if err := os.WriteFile(s.operator, []byte("match all\n  route lane\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	until(t, "all workers are asked", func() bool {
		for i := range 30 {
			ask(i)
		}
		return len(other.had()) > 0
	})
}
