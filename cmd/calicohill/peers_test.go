package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"calicohill/internal/fleet/pki"
	"calicohill/internal/frontend/fastcgi"
	"calicohill/internal/testbed"
)

const dozen = 12

// peers is a dozen schedulers, as processes, that share suspicions about a few workers.
func peers(t *testing.T, instances, workers int) *testbed.Fleet {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	f := &testbed.Fleet{Program: self, Env: []string{"CALICOHILL_AS_PROGRAM=1"}, Dir: t.TempDir(), Sharing: true}
	if err := f.Prepare(instances, workers); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, in := range f.Instances {
			if text := in.Log.String(); strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic:") {
				t.Errorf("%s raced or panicked:\n%s", in.Name, text)
			}
		}
		f.Close()
	})
	for _, in := range f.Instances {
		if err := in.Start(); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Wait(context.Background(), patient); err != nil {
		t.Fatal(err)
	}
	joined(t, f, instances)
	return f
}

func joined(t *testing.T, f *testbed.Fleet, members int) {
	t.Helper()
	if err := f.Joined(context.Background(), members, 2*patient); err != nil {
		t.Fatal(err)
	}
}

// all waits until something holds of each instance.
func all(t *testing.T, f *testbed.Fleet, what string, ok func(*testbed.Instance) bool) {
	t.Helper()
	for _, in := range f.Instances {
		for end := time.Now().Add(2 * patient); !ok(in); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("it does not come true that %s: %s\n%s", what, in.Name, in.Log)
			}
		}
	}
}

// says reports whether a line of a log has this message and this field.
func says(in *testbed.Instance, msg, field, value string) bool {
	for _, l := range in.Log.Lines() {
		if l.Text("msg") == msg && l.Text(field) == value {
			return true
		}
	}
	return false
}

// course is what each instance made of a member, line by line in the order of time.
func course(f *testbed.Fleet, peer string) string {
	var lines []string
	for _, in := range f.Instances {
		for _, l := range in.Log.Lines() {
			if strings.HasPrefix(l.Text("msg"), "peer ") && l.Text("peer") == peer {
				lines = append(lines, l.Text("time")+" "+in.Name+": "+l.Text("msg"))
			}
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

const (
	lineIll     = "worker confirmed faulty by peers"
	lineUnheard = "peer reports ignored for a while"
)

// callOf is a call of a class, with a body that says through whom it goes.
func callOf(in *testbed.Instance, class string, function int) fastcgi.Request {
	return fastcgi.Request{
		Path: "/rpc/" + class, ID: randomHex(8), OnceKey: randomHex(16),
		Function: fmt.Sprintf("%016x", function), Budget: 1500 * time.Millisecond, Spec: "memory_mb:64;lanes:4",
		Body: []byte(in.Name + " asks"),
	}
}

// ask sends a call through an instance and tells what became of it.
func ask(t *testing.T, c *fastcgi.Client, in *testbed.Instance, class string, function int) string {
	ctx, cancel := context.WithTimeout(context.Background(), patient)
	defer cancel()
	r, err := c.Do(ctx, callOf(in, class, function))
	if err != nil {
		t.Errorf("%s: %v", in.Name, err)
		return ""
	}
	return r.Verdict()
}

// work has instances call many functions, so that they reach all workers, until stop is called or the test ends.
func work(t *testing.T, only []*testbed.Instance) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	stop = func() { cancel(); wg.Wait() }
	t.Cleanup(stop)
	for i, in := range only {
		c, err := fastcgi.Dial(ctx, in.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				for k := range 4 { // some at a time: a silent worker is found by two that are overdue
					// What becomes of one is not the matter here.
					wg.Go(func() { _, _ = c.Do(ctx, callOf(in, "consulta", 1+(4*n+k)%40)) })
				}
				time.Sleep(time.Duration(40+10*i) * time.Millisecond) // each at a rate of its own
			}
		})
	}
	return stop
}

// A dozen schedulers as processes, with what may go wrong one after another. No worker is left out on the word of one
// liar; a true silence comes to one that has not met it; a flood, a pause and restarts pass.
func TestSharedSuspicions(t *testing.T) {
	t.Parallel()
	f := peers(t, dozen, 12)

	if n := udpSockets(t, f.Instances[0].Pid()); n != 1 {
		t.Errorf("%d UDP sockets of one that shares, 1 is wanted", n)
	}

	// One accuses every worker: all stop hearing it, and nobody leaves a worker out.
	liar, err := f.NewHostile("liar")
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, w := range f.Workers {
		ids = append(ids, w.ID)
	}
	liar.Accuse(ids)
	all(t, f, "a mass accuser is not heard", func(in *testbed.Instance) bool { return says(in, lineUnheard, "peer", "liar") })
	for _, in := range f.Instances {
		if in.Count(lineIll) > 0 {
			t.Errorf("%s leaves a worker out on the word of a liar", in.Name)
		}
	}
	// Nor do they once it accuses a few alone, and calls are served.
	liar.Accuse(ids[:2])
	c, err := fastcgi.Dial(context.Background(), f.Instances[0].Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for i := range 20 {
		if got := ask(t, c, f.Instances[0], "certificado", i); got != "served" {
			t.Errorf("a call is %s while a liar speaks", got)
		}
	}
	liar.Close()

	// A worker falls silent. The last instance has no traffic of its own and hears of it all the same.
	stop := work(t, f.Instances[:dozen-1])
	until(t, "many have had answers of the worker", func() bool {
		from := map[string]bool{}
		for _, a := range f.Workers[5].Arrivals() {
			from[a.From] = true
		}
		return len(from) >= dozen/2
	})
	f.Workers[5].Set(testbed.Mute)
	idle := f.Instances[dozen-1]
	for end := time.Now().Add(3 * patient); !says(idle, lineIll, "worker", "w05"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("an instance without traffic does not hear of a silent worker\n%s", idle.Log)
		}
	}
	for _, in := range f.Instances {
		for _, w := range ids {
			if w != "w05" && says(in, lineIll, "worker", w) {
				t.Errorf("%s leaves out %s, which is well", in.Name, w)
			}
		}
	}
	f.Workers[5].Set(testbed.Sound)
	all(t, f, "the worker is taken back", func(in *testbed.Instance) bool {
		n := in.Count(lineIll)
		return n == 0 || in.Count("worker no longer confirmed faulty by peers") == n
	})
	stop()

	// A flood of forged datagrams: nobody is taken for dead, calls are served, few signatures are checked.
	halt, flooded := make(chan struct{}), make(chan error, 1)
	go func() { flooded <- testbed.Flood(f.Instances[0].Gossip, 5000, halt) }()
	all(t, &testbed.Fleet{Instances: f.Instances[:1]}, "datagrams are dropped",
		func(in *testbed.Instance) bool { return in.Count("gossip datagram dropped") >= 3 })
	if got := ask(t, c, f.Instances[0], "consulta", 1); got != "served" {
		t.Errorf("a call is %s during a flood", got)
	}
	close(halt)
	if err := <-flooded; err != nil {
		t.Fatal(err)
	}

	// One is stopped for 3 s: it comes back and accuses nobody.
	if err := f.Instances[3].Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	if err := f.Instances[3].Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	all(t, f, "the one that was stopped is taken for alive", func(in *testbed.Instance) bool {
		last := ""
		for _, l := range in.Log.Lines() {
			switch msg := l.Text("msg"); msg {
			case "peer alive", "peer suspect", "peer dead", "peer left":
				if l.Text("peer") == "n3" {
					last = msg
				}
			}
		}
		return in.Name == "n3" || last == "peer alive"
	})
	for _, in := range f.Instances {
		for _, l := range in.Log.Lines() {
			if l.Text("msg") == "peer dead" && l.Text("peer") != "liar" {
				t.Errorf("%s takes %s for dead\n%s", in.Name, l.Text("peer"), course(f, l.Text("peer")))
			}
		}
	}

	// Half of them are killed and are back at once, under their names.
	for _, in := range f.Instances[:dozen/2] {
		in.Kill()
	}
	for _, in := range f.Instances[:dozen/2] {
		if err := in.Start(); err != nil {
			t.Fatal(err)
		}
	}
	joined(t, f, dozen)

	for _, in := range f.Instances {
		if err := in.Stop(); err != nil {
			t.Error(err)
		}
		for _, l := range in.Log.Lines() {
			if l.Text("msg") == "gossip ended" && l.Number("peak") > 20 {
				t.Errorf("%s sent %v messages in a second, 20 are allowed", in.Name, l.Number("peak"))
			}
		}
	}
}

// Keys: a revoked one is dropped on reload, one of a new authority taken in, a file that others may read refused;
// and of two with one name the later stays.
func TestPeersKeys(t *testing.T) {
	t.Parallel()
	f := peers(t, 4, 2)
	hup := func(in *testbed.Instance, more string) {
		t.Helper()
		if err := in.Rewrite(in.Operator(more)); err != nil {
			t.Fatal(err)
		}
		if err := in.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	authority := filepath.Join(f.Dir, "authority.key")
	if err := pki.WriteFile(authority, f.Authority.Key, f.Authority.Cert); err != nil {
		t.Fatal(err)
	}
	list := filepath.Join(f.Dir, "fleet.revoked")
	if out, exit := command(t, "key", "revoke", f.Instances[3].Key, "--authority", authority, "--list", list); exit != 0 {
		t.Fatalf("revoke: %s", out)
	}
	for _, in := range f.Instances[:3] {
		hup(in, "  revoked fleet.revoked\n")
	}
	trusting := &testbed.Fleet{Instances: f.Instances[:3]}
	all(t, trusting, "a revoked member is dropped", func(in *testbed.Instance) bool {
		return says(in, "peer removed: its certificate is no longer valid", "peer", "n3")
	})

	// A new authority beside the old one, and a member that has a key of it.
	next, err := pki.NewAuthority("lab", time.Now().Add(-time.Minute), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(f.Dir, "next.crt"), pki.EncodeCert(next.Cert), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, in := range f.Instances[:3] {
		hup(in, "  revoked fleet.revoked\n  authority next.crt\n")
	}
	all(t, trusting, "the new authority is taken up", func(in *testbed.Instance) bool { return in.Count("gossip settings reloaded") == 2 })
	f.Instances[3].Kill()
	if err := f.Instances[3].NewKey(next); err != nil {
		t.Fatal(err)
	}
	if err := f.Instances[3].Rewrite(f.Instances[3].Operator("  authority next.crt\n")); err != nil {
		t.Fatal(err)
	}
	if err := f.Instances[3].Start(); err != nil {
		t.Fatal(err)
	}
	joined(t, f, 4)

	// A key that others may read changes nothing.
	if err := os.Chmod(f.Instances[0].Key, 0o644); err != nil {
		t.Fatal(err)
	}
	hup(f.Instances[0], "  revoked fleet.revoked\n")
	all(t, &testbed.Fleet{Instances: f.Instances[:1]}, "an open key is refused", func(in *testbed.Instance) bool {
		return strings.Contains(in.Log.String(), "0600 is needed")
	})

	// Another with the name and the key of n1, at other addresses.
	twin := f.Instances[1].Twin()
	if err := twin.Move(); err != nil {
		t.Fatal(err)
	}
	if err := twin.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(twin.Kill)
	all(t, &testbed.Fleet{Instances: f.Instances[1:2]}, "the earlier of two with one name falls silent", func(in *testbed.Instance) bool {
		return in.Count("name conflict: another scheduler with this name started later, gossip stopped") == 1
	})
}

func TestKeyCommands(t *testing.T) {
	dir := t.TempDir()
	in := func(name string) string { return filepath.Join(dir, name) }
	if err := os.WriteFile(in("open.key"), nil, 0o644); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		exit int
		says string
	}{
		{[]string{"authority", "f", "--out", in("fleet")}, 0, "signs for fleet f"},
		{[]string{"authority", "f", "--out", in("fleet")}, 1, "exists"},
		{[]string{"authority", "a b"}, 1, "letters"},
		{[]string{"issue", "n1", "--authority", in("fleet.key"), "--out", in("n1.key")}, 0, "is n1 of fleet f"},
		{[]string{"issue", "n2", "--authority", in("n1.key")}, 1, "the key of a member"},
		{[]string{"issue", "n2"}, 2, "--authority is needed"},
		{[]string{"issue", "n2", "--authority", in("open.key")}, 1, "0600 is needed"},
		{[]string{"show", in("n1.key")}, 0, "member n1 of fleet [f]"},
		{[]string{"show", in("fleet.crt")}, 0, "authority of fleet [f]"},
		{[]string{"revoke", in("n1.key"), "--authority", in("fleet.key"), "--list", in("list")}, 0, "holds 1 certificates"},
		{[]string{"revoke", "ff01", "--authority", in("fleet.key"), "--list", in("list")}, 0, "holds 2 certificates"},
		{[]string{"show", in("list")}, 0, "  ff01 since"},
		{[]string{"revoke", "zz", "--authority", in("fleet.key"), "--list", in("list")}, 1, "no such file"},
		{nil, 2, "one of authority, issue, show, revoke"},
	} {
		out, exit := command(t, append([]string{"key"}, c.args...)...)
		if exit != c.exit || !strings.Contains(out, c.says) {
			t.Errorf("key %v: exit code %d, want %d and %q in:\n%s", c.args, exit, c.exit, c.says, out)
		}
	}
	for name, want := range map[string]os.FileMode{"fleet.key": 0o600, "n1.key": 0o600, "fleet.crt": 0o644} {
		if info, err := os.Stat(in(name)); err != nil || info.Mode().Perm() != want {
			t.Errorf("%s: mode %v, %v; want %v", name, info.Mode(), err, want)
		}
	}
}
