package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// one is a site with a single agent that answers by a script.
func one(t *testing.T, reply func(n int, g goLine) string) (*site, *nodeAgent) {
	t.Helper()
	a := newAgent(t, reply)
	s := newSite(t)
	s.tell(true, "a SERVING "+a.addr)
	return s.start(), a
}

func TestServed(t *testing.T) {
	s, a := one(t, echo)
	big := strings.Repeat("\x00\r\n=, ", 16<<10/6) + "last"
	for _, c := range []struct {
		name string
		q    request
		cut  int // bytes a write; 0 means all at once
	}{
		{name: "plain", q: call("consulta", "body", [2]string{"HTTP_ONCE_KEY", "-"})},
		{name: "no body", q: call("registro-horas", "")},
		{name: "largest body", q: call("certificado", big)},
		{name: "padding", q: request{padding: 7, body: "padded", params: call("registro-horas", "").params}},
		{name: "lengths of 4 bytes", q: request{long: true, body: "long", params: call("registro-horas", "").params}},
		{name: "a byte at a time", q: request{padding: 1, body: "split", params: call("registro-horas", "").params}, cut: 1},
		{name: "split in headers", q: call("registro-horas", "split"), cut: 11},
		{name: "long name", q: call("consulta", "x", [2]string{"HTTP_" + strings.Repeat("X", 200), strings.Repeat("y", 300)})},
		{name: "length told", q: call("consulta", "four", [2]string{"CONTENT_LENGTH", "4"})},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := s.front()
			f.t = t
			c.q.id = 300
			b := c.q.bytes()
			for cut := max(c.cut, 1); c.cut > 0 && len(b) > cut; b = b[cut:] {
				f.write(b[:cut])
			}
			f.write(b)
			got := f.read()
			if got.id != 300 || got.status != 200 || got.proto != 0 || got.body != "re:"+c.q.body {
				t.Errorf("got request %d, status %d, protocol status %d, body %.40q", got.id, got.status, got.proto, got.body)
			}
			had := a.had()
			g := had[len(had)-1]
			if ms, err := strconv.Atoi(g.fields["patience"]); err != nil || ms <= 0 || ms >= 9000 {
				t.Errorf("patience %q, want a little under 9000", g.fields["patience"])
			}
			delete(g.fields, "patience")
			g.conn = 0
			want := goLine{id: c.q.param("HTTP_REQUEST_ID"), body: c.q.body, fields: map[string]string{
				"sort": strings.TrimPrefix(c.q.param("SCRIPT_NAME"), "/rpc/"), "asset": c.q.param("HTTP_RESOURCE_KEY"),
			}}
			if key := c.q.param("HTTP_ONCE_KEY"); key != "" {
				want.fields["op"] = key
			}
			if d := cmp.Diff(want, g, cmp.AllowUnexported(goLine{})); d != "" {
				t.Errorf("the agent had (-want +got):\n%s", d)
			}
		})
	}
}

// 32 requests share a connection, and each gets the answer to itself, in whatever order they come.
func TestMultiplexed(t *testing.T) {
	s, _ := one(t, func(n int, g goLine) string {
		time.Sleep(time.Duration(37*n%20) * time.Millisecond)
		return echo(n, g)
	})
	f, want, got := s.front(), map[uint16]string{}, map[uint16]string{}
	var all []byte
	for id := uint16(1); id <= 32; id++ {
		q := call("consulta", fmt.Sprint("body ", id))
		q.id = id
		want[id] = "re:" + q.body
		all = append(all, q.bytes()...)
	}
	f.write(all)
	for range want {
		a := f.read()
		got[a.id] = a.body
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("answers (-want +got):\n%s", d)
	}
}

// A request that cannot be used is answered at once and reaches no agent.
func TestRejected(t *testing.T) {
	s, a := one(t, echo)
	for _, c := range []struct {
		name   string
		q      request
		status int
	}{
		{"class", call("nonsense", ""), 400},
		{"path", call("", "", [2]string{"SCRIPT_NAME", "/other"}), 400},
		{"path is just the class", call("", "", [2]string{"SCRIPT_NAME", "consulta"}), 400},
		{"no path", call("consulta", "", [2]string{"SCRIPT_NAME", "-"}), 400},
		{"no id", call("consulta", "", [2]string{"HTTP_REQUEST_ID", "-"}), 400},
		{"short id", call("consulta", "", [2]string{"HTTP_REQUEST_ID", "12ab"}), 400},
		{"id not hex", call("consulta", "", [2]string{"HTTP_REQUEST_ID", "12ab12ab12ab12\r\n"}), 400},
		{"no budget", call("consulta", "", [2]string{"HTTP_BUDGET_MS", "-"}), 400},
		{"no time", call("consulta", "", [2]string{"HTTP_BUDGET_MS", "0"}), 400},
		{"budget below 0", call("consulta", "", [2]string{"HTTP_BUDGET_MS", "-5"}), 400},
		{"budget too long", call("consulta", "", [2]string{"HTTP_BUDGET_MS", "99999999999999999999"}), 400},
		{"no function", call("consulta", "", [2]string{"HTTP_RESOURCE_KEY", "-"}), 400},
		{"function", call("consulta", "", [2]string{"HTTP_RESOURCE_KEY", "a,b=c d e f g h "}), 400},
		{"no key", call("registro-horas", "", [2]string{"HTTP_ONCE_KEY", "-"}), 400},
		{"key", call("registro-horas", "", [2]string{"HTTP_ONCE_KEY", "a b"}), 400},
		{"figures", call("consulta", "", [2]string{"HTTP_X_SPEC", "memory_mb:lots"}), 400},
		{"figure without value", call("consulta", "", [2]string{"HTTP_X_SPEC", "lanes"}), 400},
		{"length", call("consulta", "four", [2]string{"CONTENT_LENGTH", "5"}), 400},
		{"body too long", call("consulta", strings.Repeat("x", 16<<10+1)), 413},
		{"parameters too long", call("consulta", "", [2]string{"X", strings.Repeat("x", 16<<10)}), 431},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := s.front()
			f.t = t
			c.q.open = c.status == 413 // answered before the body ends
			f.send(c.q)
			if got := f.read(); got.status != c.status {
				t.Errorf("status %d, want %d", got.status, c.status)
			}
		})
	}
	f := s.front()
	f.send(call("consulta", "good"))
	if got := f.read(); got.status != 200 {
		t.Errorf("a good request after them: status %d", got.status)
	}
	if n := len(a.had()); n != 1 {
		t.Errorf("the agent had %d requests, want the good one", n)
	}
}

// What the protocol has besides requests, and what breaks it.
func TestRecords(t *testing.T) {
	s, _ := one(t, func(int, goLine) string { return "" })
	begin := func(role byte) string { return string([]byte{0, role, 1, 0, 0, 0, 0, 0}) }
	open := call("consulta", "")
	for _, c := range []struct {
		name    string
		send    []byte
		kind    byte // 0: the connection is closed
		content string
	}{
		{"unknown role", rec(1, 9, 0, begin(2)), 3, "\x00\x00\x00\x00\x03\x00\x00\x00"},
		{"unknown type", rec(99, 0, 0, "x"), 11, "\x63\x00\x00\x00\x00\x00\x00\x00"},
		{"values", rec(9, 0, 3, "\x0f\x00FCGI_MPXS_CONNS\x02\x00no"), 10, "\x0f\x01FCGI_MPXS_CONNS1"},
		{"abort", append(open.bytes(), rec(2, open.id, 0, "")...), 3, "\x00\x00\x00\x00\x00\x00\x00\x00"},
		{
			"abort before the body", append(rec(1, 4, 0, begin(1)), rec(2, 4, 0, "")...), 3,
			"\x00\x00\x00\x00\x00\x00\x00\x00",
		},
		{"version", []byte("GET / HTTP/1.1\r\n\r\n"), 0, ""},
		{"begun twice", append(rec(1, 4, 0, begin(1)), rec(1, 4, 0, begin(1))...), 0, ""},
		{"begun without id", rec(1, 0, 0, begin(1)), 0, ""},
		{"begun short", rec(1, 4, 0, "\x00"), 0, ""},
		{"values cut short", rec(9, 0, 0, "\x7f\x7fx"), 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := s.front()
			f.write(c.send)
			kind, _, content, err := f.record()
			if c.kind == 0 {
				if err == nil {
					t.Errorf("got a record of type %d, want the connection closed", kind)
				}
			} else if err != nil || kind != c.kind || string(content) != c.content {
				t.Errorf("got type %d, %q, %v; want type %d, %q", kind, content, err, c.kind, c.content)
			}
		})
	}
}

// What an agent does, and what its client and the other agents see of it.
func TestAttempts(t *testing.T) {
	first := func(word string) func(int, goLine) string {
		return func(n int, g goLine) string {
			if n == 1 {
				return answerLine(g.id, word, "-", "")
			}
			return echo(n, g)
		}
	}
	always := func(text string) func(int, goLine) string {
		return func(_ int, g goLine) string { return strings.ReplaceAll(text, "ID", g.id) }
	}
	for _, c := range []struct {
		name, class string
		reply       func(int, goLine) string
		status      int
		attempts    int
	}{
		{"MISS proves that it never ran", "certificado", first("MISS"), 200, 2},
		{"BUSY proves that it never ran", "certificado", first("BUSY"), 200, 2},
		{"VOID proves that it never ran", "certificado", first("VOID"), 200, 2},
		{"ERR may have run", "certificado", first("ERR"), 502, 1},
		{"ERR may be repeated", "consulta", first("ERR"), 200, 2},
		{"reset may have run", "certificado", always(hangUp), 502, 1},
		{"nonsense may have run", "certificado", always("hello there\r\n"), 502, 1},
		{"word may have run", "certificado", always("ID WHAT - 0\r\n\r\n"), 502, 1},
		{"length may have run", "certificado", always("ID OK - 99999999\r\n"), 502, 1},
		{"body that runs on", "certificado", always("ID OK - 2\r\nlong\r\n"), 502, 1},
		{"line without end", "certificado", always(strings.Repeat("x", 5000)), 502, 1},
		{"another's answer", "certificado", always("0000 OK - 0\r\n\r\nID OK - 0\r\n\r\n"), 200, 1},
		{"silence", "certificado", always(""), 502, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			// Two agents of one script: where a repeat goes is the module's affair.
			n := 0
			s := newSite(t)
			ask := make(chan goLine)
			given := make(chan string)
			go func() {
				for g := range ask {
					n++
					given <- c.reply(n, g)
				}
			}()
			reply := func(_ int, g goLine) string { ask <- g; return <-given }
			a, b := newAgent(t, reply), newAgent(t, reply)
			s.tell(true, "a SERVING "+a.addr, "b SERVING "+b.addr)
			f := s.start().front()
			budget := "9000"
			if c.name == "silence" {
				budget = "900"
			}
			f.send(call(c.class, "x", [2]string{"HTTP_BUDGET_MS", budget}))
			if got := f.read(); got.status != c.status {
				t.Errorf("status %d, want %d", got.status, c.status)
			}
			if got := len(a.had()) + len(b.had()); got != c.attempts {
				t.Errorf("%d attempts, want %d", got, c.attempts)
			}
		})
	}
}

// An answer that cannot be read, or is cut off, fails its request: it has run. The worker stays in use, and what
// it holds loaded is still counted on: such answers come from any of them.
func TestSpoiltAnswer(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"noise", "\x01\xfe\r\n"},
		{"length is a word", "ID OK - many\r\n"},
		{"length below 0", "ID OK - -3\r\n"},
		{"length of 3 GB", "ID OK - 3000000000\r\n" + strings.Repeat("x", 1<<16)},
		{"body runs on", "ID OK - 2\r\nbody\r\n"},
		{"line without end", "ID " + strings.Repeat("x", 1<<13)},
		{"noise before a good line", "\x01\xfeID OK - 4\r\nbody\r\n"},
		{"stops short", "ID OK - 100\r\nshort"},
		{"cut off", hangUp},
	} {
		t.Run(c.name, func(t *testing.T) {
			spoil := false
			var mu sync.Mutex
			reply := func(n int, g goLine) string {
				mu.Lock()
				defer mu.Unlock()
				if spoil {
					spoil = false
					return strings.Replace(c.text, "ID", g.id, 1)
				}
				return echo(n, g)
			}
			agents := []*nodeAgent{newAgent(t, reply), newAgent(t, reply)}
			s := newSite(t)
			s.tell(true, "a SERVING "+agents[0].addr, "b SERVING "+agents[1].addr)
			s.start()
			f := s.front()
			f.t = t
			ask := func() int {
				f.send(call("certificado", "", [2]string{"HTTP_BUDGET_MS", "60000"}))
				return f.read().status
			}
			had := func() []int { return []int{len(agents[0].had()), len(agents[1].had())} }
			if got := ask(); got != 200 {
				t.Fatalf("status %d at first", got)
			}
			home := had()
			mu.Lock()
			spoil = true
			mu.Unlock()
			if got := ask(); got != 502 {
				t.Errorf("status %d for a spoilt answer, want 502", got)
			}
			for range 5 {
				if got := ask(); got != 200 {
					t.Errorf("status %d afterwards, want 200", got)
				}
			}
			if d := cmp.Diff([]int{7 * home[0], 7 * home[1]}, had()); d != "" {
				t.Errorf("requests at each worker (-want +got):\n%s", d)
			}
		})
	}
}

// Requests to a worker are spread over connections, so that one that breaks takes few along.
func TestSpread(t *testing.T) {
	release, spoil := make(chan struct{}), make(chan struct{}, 1)
	s, _ := one(t, func(n int, g goLine) string {
		if n == 1 {
			<-release
		}
		select {
		case <-spoil:
			return "noise\r\n"
		default:
			return answerLine(g.id, "OK", "-", strconv.Itoa(g.conn))
		}
	})
	long := [2]string{"HTTP_BUDGET_MS", "60000"}
	first, f := s.front(), s.front()
	first.send(call("certificado", "", long))
	ask := func() answer { f.send(call("certificado", "", long)); return f.read() }
	until(t, "another connection carries requests", func() bool { return ask().body == "2" })
	spoil <- struct{}{}
	if got := ask(); got.status != 502 {
		t.Errorf("status %d for the spoilt answer, want 502", got.status)
	}
	close(release)
	if got := first.read(); got.status != 200 || got.body != "1" {
		t.Errorf("status %d, body %q for the request on the other connection", got.status, got.body)
	}
}

// One of hundreds of schedulers keeps to one connection for the little that it has at a worker, which has to take those
// of all.
func TestFewConnections(t *testing.T) {
	a := newAgent(t, func(n int, g goLine) string {
		time.Sleep(time.Duration(n%2) * 20 * time.Millisecond) // so that two are out at a time
		return answerLine(g.id, "OK", "-", strconv.Itoa(g.conn))
	})
	s := newSite(t)
	s.of = 300
	s.tell(true, "a SERVING "+a.addr)
	s.start()
	f, g := s.front(), s.front()
	for range 20 {
		f.send(call("consulta", ""))
		g.send(call("consulta", ""))
		for _, one := range []*front{f, g} {
			if got := one.read(); got.status == 200 && got.body != "1" {
				t.Fatalf("a request went on connection %s", got.body)
			}
		}
	}
	if len(a.had()) < 20 {
		t.Errorf("%d requests reached the worker", len(a.had()))
	}
}

// Where something on the way forgets connections that rest, that is found out, and none is used after such a rest.
func TestShortRests(t *testing.T) {
	a := newAgent(t, echo)
	a.forgets = 60 * time.Millisecond
	s := newSite(t)
	s.tell(true, "a SERVING "+a.addr)
	f := s.start().front()
	until(t, "ten calls in a row are served after rests", func() bool {
		for range 10 {
			time.Sleep(130 * time.Millisecond)
			f.send(call("certificado", "x"))
			if f.read().status != 200 {
				return false
			}
		}
		return true
	})
}

// A second copy of an answer ends no later attempt: none goes on the connection that an answer to its id came on.
func TestSecondAnswer(t *testing.T) {
	for _, word := range []string{"MISS", "BUSY", "VOID"} {
		t.Run(word, func(t *testing.T) {
			s, a := one(t, func(n int, g goLine) string {
				if n == 1 {
					return answerLine(g.id, word, "-", "")
				}
				if g.conn == 1 {
					return answerLine(g.id, "ERR", "-", "") + answerLine(g.id, "OK", "-", "late")
				}
				return answerLine(g.id, "OK", "-", "good")
			})
			f := s.front()
			f.send(call("certificado", ""))
			if got := f.read(); got.status != 200 || got.body != "good" {
				t.Errorf("status %d, body %q; the worker had %+v", got.status, got.body, a.had())
			}
		})
	}
}

// A worker that answers errors gets no call that must not be repeated. Others still go there, and elsewhere after
// that. Errors for a function that nobody knows count for nothing.
func TestErrors(t *testing.T) {
	var agents []*nodeAgent
	var failing atomic.Int32 // which of them fails, from 1
	for i := range 2 {
		agents = append(agents, newAgent(t, func(n int, g goLine) string {
			if g.fields["asset"] == "00000000deadbeef" || failing.Load() == int32(i+1) {
				return answerLine(g.id, "ERR", "-", "")
			}
			return echo(n, g)
		}))
	}
	s := newSite(t)
	s.tell(true, "a SERVING "+agents[0].addr, "b SERVING "+agents[1].addr)
	f := s.start().front()
	ask := func(class string, change ...[2]string) int {
		f.send(call(class, "x", change...))
		return f.read().status
	}
	certified := func(a *nodeAgent) (n int) {
		for _, g := range a.had() {
			if g.fields["sort"] == "certificado" {
				n++
			}
		}
		return n
	}
	ask("consulta")
	home := 0
	if len(agents[1].had()) > 0 {
		home = 1
	}
	for range 20 {
		if got := ask("consulta", [2]string{"HTTP_RESOURCE_KEY", "00000000deadbeef"}); got == 200 {
			t.Fatal("a function that nobody knows was served")
		}
	}
	for range 5 {
		if got := ask("certificado"); got != 200 {
			t.Errorf("status %d while all is well", got)
		}
	}
	if certified(agents[home]) != 5 {
		t.Errorf("%d of 5 calls went where the function stands", certified(agents[home]))
	}
	failing.Store(int32(home + 1))
	before := len(agents[home].had())
	until(t, "some calls have met errors", func() bool { // which of two workers gets one is drawn
		if got := ask("consulta"); got != 200 {
			t.Errorf("status %d for a call that may be repeated", got)
		}
		return len(agents[home].had()) >= before+4
	})
	for range 10 {
		if got := ask("certificado"); got != 200 {
			t.Errorf("status %d for a call that may not", got)
		}
	}
	if n := certified(agents[home]); n != 5 {
		t.Errorf("%d calls that must not be repeated went to the worker that fails", n-5)
	}
}

// A worker that answers some calls and not others is no silent worker. Once that was seen, a call of which nothing
// is heard there is tried elsewhere too, in time to be served.
func TestLostAnswers(t *testing.T) {
	const asked, steady = "1111111111111111", "2222222222222222"
	var lost atomic.Int32
	a := newAgent(t, func(n int, g goLine) string {
		switch g.body {
		case "lose":
			lost.Add(1)
			return ""
		case "fail":
			return answerLine(g.id, "ERR", "-", "")
		}
		return echo(n, g)
	})
	// The second worker is the slower one: wherever both hold a copy, the first is chosen once that is known.
	b := newAgent(t, func(n int, g goLine) string {
		time.Sleep(250 * time.Millisecond)
		return echo(n, g)
	})
	s := newSite(t)
	s.tell(true, "a SERVING "+a.addr)
	s.start()
	ask := func(f *front, function, body string) int {
		f.send(call("consulta", body, [2]string{"HTTP_BUDGET_MS", "2000"}, [2]string{"HTTP_RESOURCE_KEY", function}))
		return f.read().status
	}
	f, other := s.front(), s.front()
	// One function stands at the first alone, so that all its calls go there and are answered, whatever else is
	// out. The other stands at both: at the first by a call, at the second by an error of the first.
	ask(other, steady, "warm")
	ask(f, asked, "warm")
	s.tell(false, "b SERVING "+b.addr)
	until(t, "the second worker has served", func() bool { ask(f, asked, "fail"); return len(b.had()) > 0 })

	stop, ended := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(stop); <-ended })
	go func() { // calls that the first worker answers
		defer close(ended)
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				ask(other, steady, "x")
			}
		}
	}()
	until(t, "a call whose answer was lost is served", func() bool {
		before := lost.Load()
		status := ask(f, asked, "lose")
		return status == 200 && lost.Load() > before
	})
}

// A worker that cannot be reached has run nothing: even certificado goes elsewhere.
func TestUnreached(t *testing.T) {
	s, a := newSite(t), newAgent(t, echo)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	s.tell(true, "a SERVING "+a.addr, "b SERVING "+l.Addr().String())
	f := s.start().front()
	for i := range 8 { // over several functions, so that the dead one is some function's first
		f.send(call("certificado", "x", [2]string{"HTTP_RESOURCE_KEY", fmt.Sprintf("%016x", i)}))
		if got := f.read(); got.status != 200 {
			t.Errorf("status %d, want 200", got.status)
		}
	}
}

// With nobody to serve it a request is refused by half its time, and told when to come again.
func TestRefused(t *testing.T) {
	s := newSite(t)
	s.tell(true)
	f := s.start().front()
	f.send(call("certificado", "x", [2]string{"HTTP_BUDGET_MS", "600"}))
	if got := f.read(); got.status != http.StatusServiceUnavailable || got.header.Get("Back-Off-Ms") != "500" {
		t.Errorf("status %d, Back-Off-Ms %q; want 503 and 500", got.status, got.header.Get("Back-Off-Ms"))
	}
}

// What a request waits to be read comes off its time: here the program stands still meanwhile.
func TestReadLate(t *testing.T) {
	s, a := one(t, echo)
	f := s.front()
	f.send(call("consulta", "x")) // the connection is known to the program
	f.read()
	s.stopped(func() {
		f.send(call("consulta", "x"))
		time.Sleep(500 * time.Millisecond)
	})
	f.read()
	had := a.had()
	if ms, err := strconv.Atoi(had[len(had)-1].fields["patience"]); err != nil || ms > 8500 {
		t.Errorf("patience %d after 500 of 9000 ms have gone by", ms)
	}
}

// deaf is a site with an agent that answers on its first connection nothing.
func deaf(t *testing.T) (s *site, a *nodeAgent) {
	s, a = one(t, func(n int, g goLine) string {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.conns == 1 {
			return ""
		}
		return echo(n, g)
	})
	return s, a
}

// A connection that has answered nothing for long, though asked, gets nothing new: its machine may be cut off,
// which gives no sign, and be back under the same name.
func TestSilentConnection(t *testing.T) {
	s, a := deaf(t)
	first, second := s.front(), s.front()
	first.send(call("consulta", "lost", [2]string{"HTTP_BUDGET_MS", "3000"}))
	until(t, "the first request is at the agent", func() bool { return len(a.had()) == 1 })
	time.Sleep(1200 * time.Millisecond)
	second.send(call("consulta", "found"))
	if got := second.read(); got.body != "re:found" {
		t.Errorf("status %d, want it served on a new connection", got.status)
	}
	if got := first.read(); got.status == 200 {
		t.Errorf("the first was served, want it lost")
	}
}

// The same where clients give up before that: a few requests lost in a row tell as much.
func TestLostRequests(t *testing.T) {
	s, _ := deaf(t)
	f := s.front()
	until(t, "a request is served on a new connection", func() bool {
		f.send(call("consulta", "x", [2]string{"HTTP_BUDGET_MS", "300"}))
		return f.read().status == 200
	})
}

// A client that leaves has its request given up at the agent; the id may be used again.
func TestAbandoned(t *testing.T) {
	s, a := one(t, func(n int, g goLine) string {
		if n == 1 {
			return ""
		}
		return echo(n, g)
	})
	f := s.front()
	q := call("consulta", "x")
	f.send(q)
	until(t, "the request is at the agent", func() bool { return len(a.had()) == 1 })
	f.write(rec(2, q.id, 0, ""))
	f.read()
	until(t, "it is given up there", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.halted) == 1 && a.halted[0] == q.param("HTTP_REQUEST_ID")
	})
	f.send(call("consulta", "y"))
	if got := f.read(); got.body != "re:y" {
		t.Errorf("the next request of that id got %d, %q", got.status, got.body)
	}
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patient); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("it does not come true that %s", what)
		}
	}
}

// serves sends requests until one is answered by the wanted body, and then checks that all are.
func serves(t *testing.T, s *site, want string) {
	t.Helper()
	f := s.front()
	ask := func() string { f.send(call("consulta", "")); return f.read().body }
	until(t, want+" answers", func() bool { return ask() == want })
	for range 20 {
		if got := ask(); got != want {
			t.Fatalf("answer %q, want %q only", got, want)
		}
	}
}

func named(name string) func(int, goLine) string {
	return func(_ int, g goLine) string { return answerLine(g.id, "OK", "-", name) }
}

// A worker that drains gets nothing new; a new worker at an old address gets new connections; and a bulletin
// that answers badly is asked again.
func TestList(t *testing.T) {
	a, b := newAgent(t, named("a")), newAgent(t, named("b"))
	s := newSite(t)
	s.tell(true, "a SERVING "+a.addr)
	s.start()
	serves(t, s, "a")
	s.tell(false, "a DRAINING "+a.addr, "b SERVING "+b.addr)
	serves(t, s, "b")

	a.mu.Lock()
	had := a.conns
	a.mu.Unlock()
	s.tell(false, "a DELETED "+a.addr, "b DRAINING "+b.addr, "c SERVING "+a.addr)
	serves(t, s, "a")
	a.mu.Lock()
	if a.conns <= had {
		t.Errorf("the new worker at the old address had no connection of its own")
	}
	a.mu.Unlock()

	s.mu.Lock()
	for _, text := range []string{`{"no":`, `{"no":4,"items":[{"no":4,"roster":{"targets":[{"uid":"b","state":"?"}]}}]}`} {
		s.spoiled = append(s.spoiled, func(w http.ResponseWriter) { io.WriteString(w, text) })
	}
	s.spoiled = append(s.spoiled,
		func(w http.ResponseWriter) { http.Error(w, "later", http.StatusInternalServerError) },
		func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		func(w http.ResponseWriter) { w.(http.Flusher).Flush(); io.WriteString(w, s.feed(3)) }) // chunked
	s.mu.Unlock()
	s.tell(true, "b SERVING "+b.addr)
	serves(t, s, "b")
}

// An idle connection is closed before the agent's time for it is up, so that no request meets that close.
func TestIdleConnections(t *testing.T) {
	a, s := newAgent(t, echo), newSite(t)
	s.idleMs = 400
	s.tell(true, "a SERVING "+a.addr)
	f := s.start().front()
	for n := range 2 {
		f.send(call("certificado", "x"))
		if got := f.read(); got.status != 200 {
			t.Errorf("status %d", got.status)
		}
		until(t, "the program closes its idle connection", func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.closed == n+1
		})
	}
}

// Clients hold a third of the descriptors at most. Those that say nothing or ask nothing more make room for others,
// and those with a request open are served on.
func TestTooManyClients(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(f *front)
		let    bool
	}{
		{"silent", func(*front) {}, true},
		{"half a request", func(f *front) {
			q := call("consulta", "half")
			q.open = true
			f.send(q)
		}, true},
		{"served and held for good", func(f *front) {
			f.send(call("consulta", "once"))
			if got := f.read(); got.body != "re:once" {
				f.t.Errorf("status %d at first", got.status)
			}
		}, true},
		{"requests open", func(f *front) {
			// Each of a function of its own, or the module would refuse some.
			q := call("consulta", "held", [2]string{"HTTP_BUDGET_MS", "60000"})
			f.send(call("consulta", "held", [2]string{"HTTP_BUDGET_MS", "60000"}, [2]string{"HTTP_RESOURCE_KEY", q.param("HTTP_REQUEST_ID")}))
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			release := make(chan struct{})
			s, had := newSite(t), func() (n int) { return }
			s.sockets = 90
			var targets []string
			for i := range 12 {
				a := newAgent(t, func(n int, g goLine) string {
					if g.body == "held" {
						<-release
					}
					return echo(n, g)
				})
				others := had
				had = func() int { return len(a.had()) + others() }
				targets = append(targets, fmt.Sprintf("w%d SERVING %s", i, a.addr))
			}
			s.tell(true, targets...)
			s.start()
			var fronts []*front
			for range 30 {
				f := s.front()
				c.before(f)
				fronts = append(fronts, f)
			}
			if !c.let {
				until(t, "all requests are at workers", func() bool { return had() == len(fronts) })
				if !s.front().gone() {
					t.Error("the 31st was let in")
				}
				close(release)
				for _, f := range fronts {
					if got := f.read(); got.body != "re:held" {
						t.Errorf("status %d for a request that was open", got.status)
					}
				}
				return
			}
			f := s.front()
			f.send(call("consulta", "new"))
			if got := f.read(); got.body != "re:new" {
				t.Errorf("status %d, want the newcomer served", got.status)
			}
		})
	}
}

// Where all places are held by clients that were served, one that was just let in keeps its place till its request
// has come, though others are let in meanwhile.
func TestJustLetIn(t *testing.T) {
	s, _ := one(t, echo)
	s.cmd.Process.Kill()
	<-s.ended
	s.sockets = 90
	s.start()
	ask := func(f *front) bool {
		if _, err := f.c.Write(call("consulta", "x").bytes()); err != nil {
			return false
		}
		kind, _, _, err := f.record()
		return err == nil && kind == 6
	}
	// A machine that is busy with other things may take too long over one round, but not over all.
	until(t, "one that was just let in is served", func() bool {
		var fronts []*front
		for range 32 {
			f := s.front()
			defer f.c.Close()
			if fronts = append(fronts, f); len(fronts) <= 30 {
				ask(f)
			}
		}
		return ask(fronts[31]) && ask(fronts[30])
	})
}

// A client that sends nothing whole is answered or closed before long, and another may stay for as long as it likes.
func TestNothingWhole(t *testing.T) {
	s, _ := one(t, echo)
	served := s.front()
	ask := func() {
		t.Helper()
		served.send(call("consulta", "x"))
		if got := served.read(); got.body != "re:x" {
			t.Errorf("status %d for the client that asks", got.status)
		}
	}
	ask()
	whole := call("consulta", "body").bytes()
	for _, c := range []struct {
		name   string
		text   []byte
		before bool // a whole request came before
		status int
	}{
		{"nothing", nil, false, 0},
		{"half a header", whole[:5], false, 0},
		{"half a record", whole[:40], false, 408},
		{"no end", whole[:len(whole)-8], false, 408},
		{"no end, later", whole[:len(whole)-8], true, 408},
		{"half a header, later", whole[:5], true, 0},
		{"a record of 64 KiB that does not come", []byte{1, 5, 0, 1, 0xff, 0xff, 0, 0, 'x'}, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := s.front()
			f.t = t
			if c.before {
				f.send(call("consulta", "first"))
				f.read()
			}
			f.write(c.text)
			if c.status != 0 {
				if got := f.read(); got.status != c.status {
					t.Errorf("status %d, want %d", got.status, c.status)
				}
			}
			if c.name != "no end, later" && !f.gone() {
				t.Error("the connection stays open")
			}
		})
	}
	t.Cleanup(ask) // runs when all of these have ended
}

// A connection carries 32 requests, whole or not: one more is refused at once.
func TestTooManyRequests(t *testing.T) {
	s, _ := one(t, echo)
	f := s.front()
	for id := uint16(1); id <= 33; id++ {
		q := call("consulta", "x")
		q.id, q.open = id, true
		f.send(q)
	}
	if got := f.read(); got.id != 33 || got.proto != 2 {
		t.Errorf("request %d ended with protocol status %d, want 33 overloaded", got.id, got.proto)
	}
	f.write(rec(5, 7, 0, "")) // the others go on
	if got := f.read(); got.id != 7 || got.body != "re:x" {
		t.Errorf("then request %d ended with %d, want 7 served", got.id, got.status)
	}
}

// After SIGTERM requests are served for a while, all that were taken are answered, and the exit is clean.
func TestTerm(t *testing.T) {
	s, a := one(t, func(n int, g goLine) string {
		if g.body == "slow" {
			time.Sleep(2 * time.Second)
		}
		return echo(n, g)
	})
	never, slow := s.front(), s.front()
	half := call("consulta", "half") // of a request that is never whole, nothing is owed
	half.open = true
	never.send(half)
	slow.send(call("certificado", "slow"))
	until(t, "the slow request is at the agent", func() bool { return len(a.had()) == 1 })
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	late := s.front()
	late.send(call("consulta", "late"))
	if got := late.read(); got.status != 200 {
		t.Errorf("a request after SIGTERM: status %d", got.status)
	}
	if got := slow.read(); got.body != "re:slow" {
		t.Errorf("the slow request: status %d", got.status)
	}
	s.endsWell()
}

// A scheduler that is killed starts again at its address, whatever became of its connections, and is told the list.
func TestRestart(t *testing.T) {
	s, a := one(t, func(n int, g goLine) string {
		if g.body == "lost" {
			return ""
		}
		return echo(n, g)
	})
	s.front().send(call("consulta", "lost"))
	until(t, "the request is at the agent", func() bool { return len(a.had()) == 1 })
	if err := s.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	<-s.ended
	s.start()
	f := s.front()
	f.send(call("consulta", "again"))
	if got := f.read(); got.body != "re:again" {
		t.Errorf("after the restart: status %d", got.status)
	}
}

// A configuration that cannot be used ends the program at once, with one line that says why.
// SIGHUP has the bulletin asked at the address that the file names by then, from the last event on. A file that
// cannot be used changes nothing, and a request that is out notices neither.
func TestReload(t *testing.T) {
	a, b, c := newAgent(t, named("a")), newAgent(t, named("b")), newAgent(t, named("c"))
	release := make(chan struct{})
	held := newAgent(t, func(n int, g goLine) string {
		<-release
		return named("held")(n, g)
	})
	s := newSite(t)
	s.tell(true, "a SERVING "+a.addr)
	s.tell(true, "held SERVING "+held.addr)
	s.start()
	out := s.front()
	out.send(call("certificado", "", [2]string{"HTTP_BUDGET_MS", "60000"}))
	until(t, "a request is out", func() bool { return len(held.had()) == 1 })

	hup := func(want string) {
		t.Helper()
		if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		until(t, "the log says "+want, func() bool { return strings.Contains(s.log.String(), want) })
	}
	// What would end a start changes nothing either: not even where the bulletin is.
	text, err := os.ReadFile(s.config)
	if err != nil {
		t.Fatal(err)
	}
	moved := strings.Replace(string(text), s.bulletin.Listener.Addr().String(), "127.0.0.1:1", 1)
	for i, bad := range []string{
		`{"bulletin":`, strings.Replace(moved, `"attemptsCap":4`, `"attemptsCap":0`, 1),
		strings.Replace(moved, `"effect":"read_like"`, `"effect":"none"`, 1),
		strings.Replace(moved, `"state":"SERVING"`, `"state":"?"`, 1),
		strings.Replace(moved, `"name":"consulta"`, `"name":"certificado"`, 1),
	} {
		if bad == moved {
			t.Fatalf("file %d is as it was", i)
		}
		if err := os.WriteFile(s.config, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		until(t, fmt.Sprintf("file %d is not taken", i), func() bool { return strings.Count(s.log.String(), "not read again") == i+1 })
	}
	s.tell(true, "b SERVING "+b.addr)
	serves(t, s, "b")

	// The old address keeps its poll open and tells nothing more.
	old, at := s.bulletin, s.bulletin.Listener.Addr().String()
	s.bulletin = httptest.NewServer(http.HandlerFunc(s.poll))
	old.Listener.Close()
	s.configure()
	hup("configuration read again")
	s.tell(true, "c SERVING "+c.addr)
	serves(t, s, "c")
	until(t, "the old polls end", func() bool { return s.count(at, 0) == 0 })
	close(release)
	if got := out.read(); got.status != 200 || got.body != "held" {
		t.Errorf("the request that was out got status %d, body %q", got.status, got.body)
	}
	old.Close()
}

func TestBadConfiguration(t *testing.T) {
	whole := `{"listen":"127.0.0.1:0","bulletin":"127.0.0.1:1","seed":"1","settings":` +
		fmt.Sprintf(testSettings, 15000) + `}`
	for _, c := range []struct{ name, text, want string }{
		{"not JSON", "{", "unexpected end"},
		{"no address", strings.Replace(whole, "127.0.0.1:0", "", 1), "listen"},
		{"seed", strings.Replace(whole, `"seed":"1"`, `"seed":"x"`, 1), "seed"},
		{"no settings", `{"listen":"127.0.0.1:0","bulletin":"127.0.0.1:1","seed":"1"}`, "no settings"},
		{"settings", strings.Replace(whole, "read_like", "harmless", 1), "effect"},
		{"no class", strings.Replace(whole, `"attemptsCap":4`, `"attemptsCap":0`, 1), "attempt"},
		{"known", strings.Replace(whole, `"seed"`, `"known":{"items":7},"seed"`, 1), "known"},
		{"two classes of a name", strings.Replace(whole, `"name":"consulta"`, `"name":"certificado"`, 1), "another's"},
		{"class without a name", strings.Replace(whole, `"name":"consulta"`, `"name":""`, 1), "name"},
		{"class that is no word", strings.Replace(whole, `"name":"consulta"`, `"name":"a,asset=b"`, 1), "name"},
		{"a time below 0", strings.Replace(whole, `"coldMs":17000`, `"coldMs":-1`, 1), "time"},
		{"a time beyond all", strings.Replace(whole, `"coldMs":17000`, `"coldMs":1e300`, 1), "time"},
		{"sockets", strings.Replace(whole, `"seed"`, `"limits":{"sockets":3},"seed"`, 1), "sockets"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			cmd, log := program(t, "-config", path)
			err := cmd.Run()
			if line := log.String(); err == nil || !strings.Contains(line, c.want) ||
				!strings.HasPrefix(line, "calicohill: ") || strings.Count(line, "\n") != 1 {
				t.Errorf("ended with %v and %q, want one line with %q", err, log, c.want)
			}
		})
	}
	cmd, log := program(t)
	if err := cmd.Run(); err == nil || !strings.Contains(log.String(), "ROUTER_CONFIG") {
		t.Errorf("without a configuration: ended with %v and %q", err, log)
	}
}
