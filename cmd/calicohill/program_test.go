package main

import (
	"fmt"
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
func startWithAgent(t *testing.T, reply func(n int, request agentRequest) string) (*testScheduler, *nodeAgent) {
	t.Helper()
	agent := newAgent(t, reply)
	sched := newTestScheduler(t)
	sched.addEvent(true, "a SERVING "+agent.addr)
	return sched.start(), agent
}

func TestServed(t *testing.T) {
	sched, agent := startWithAgent(t, echo)
	big := strings.Repeat("\x00\r\n=, ", 16<<10/6) + "last"
	for _, tt := range []struct {
		name string
		q    clientRequest
		cut  int // bytes a write; 0 means all at once
	}{
		{name: "plain", q: newCall("consulta", "body", [2]string{"HTTP_ONCE_KEY", "-"})},
		{name: "no body", q: newCall("registro-horas", "")},
		{name: "largest body", q: newCall("certificado", big)},
		{name: "padding", q: clientRequest{padding: 7, body: "padded", params: newCall("registro-horas", "").params}},
		{name: "lengths of 4 bytes", q: clientRequest{longLengths: true, body: "long", params: newCall("registro-horas", "").params}},
		{name: "a byte at a time", q: clientRequest{padding: 1, body: "split", params: newCall("registro-horas", "").params}, cut: 1},
		{name: "split in headers", q: newCall("registro-horas", "split"), cut: 11},
		{name: "long name", q: newCall("consulta", "x", [2]string{"HTTP_" + strings.Repeat("X", 200), strings.Repeat("y", 300)})},
		{name: "length told", q: newCall("consulta", "four", [2]string{"CONTENT_LENGTH", "4"})},
	} {
		t.Run(tt.name, func(t *testing.T) {
			client := sched.connect()
			client.t = t
			tt.q.id = 300
			data := tt.q.bytes()
			for cut := max(tt.cut, 1); tt.cut > 0 && len(data) > cut; data = data[cut:] {
				client.write(data[:cut])
			}
			client.write(data)
			got := client.readAnswer()
			if got.id != 300 || got.status != 200 || got.protocolStatus != 0 || got.body != "re:"+tt.q.body {
				t.Errorf("got request %d, status %d, protocol status %d, body %.40q", got.id, got.status, got.protocolStatus, got.body)
			}
			had := agent.received()
			request := had[len(had)-1]
			if ms, err := strconv.Atoi(request.fields["patience"]); err != nil || ms <= 0 || ms >= 9000 {
				t.Errorf("patience %q, want a little under 9000", request.fields["patience"])
			}
			delete(request.fields, "patience")
			request.conn = 0
			want := agentRequest{id: tt.q.param("HTTP_REQUEST_ID"), body: tt.q.body, fields: map[string]string{
				"sort": strings.TrimPrefix(tt.q.param("SCRIPT_NAME"), "/rpc/"), "asset": tt.q.param("HTTP_RESOURCE_KEY"),
			}}
			if key := tt.q.param("HTTP_ONCE_KEY"); key != "" {
				want.fields["op"] = key
			}
			if d := cmp.Diff(want, request, cmp.AllowUnexported(agentRequest{})); d != "" {
				t.Errorf("the agent had (-want +got):\n%s", d)
			}
		})
	}
}

// 32 requests share a connection, and each gets the answer to itself, in whatever order they come.
func TestMultiplexed(t *testing.T) {
	sched, _ := startWithAgent(t, func(n int, request agentRequest) string {
		time.Sleep(time.Duration(37*n%20) * time.Millisecond)
		return echo(n, request)
	})
	client, want, got := sched.connect(), map[uint16]string{}, map[uint16]string{}
	var all []byte
	for id := uint16(1); id <= 32; id++ {
		request := newCall("consulta", fmt.Sprint("body ", id))
		request.id = id
		want[id] = "re:" + request.body
		all = append(all, request.bytes()...)
	}
	client.write(all)
	for range want {
		answer := client.readAnswer()
		got[answer.id] = answer.body
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("answers (-want +got):\n%s", d)
	}
}

// A request that cannot be used is answered at once and reaches no agent.
func TestRejected(t *testing.T) {
	sched, agent := startWithAgent(t, echo)
	for _, tt := range []struct {
		name   string
		q      clientRequest
		status int
	}{
		{"class", newCall("nonsense", ""), 400},
		{"path", newCall("", "", [2]string{"SCRIPT_NAME", "/other"}), 400},
		{"path is just the class", newCall("", "", [2]string{"SCRIPT_NAME", "consulta"}), 400},
		{"no path", newCall("consulta", "", [2]string{"SCRIPT_NAME", "-"}), 400},
		{"no id", newCall("consulta", "", [2]string{"HTTP_REQUEST_ID", "-"}), 400},
		{"short id", newCall("consulta", "", [2]string{"HTTP_REQUEST_ID", "12ab"}), 400},
		{"id not hex", newCall("consulta", "", [2]string{"HTTP_REQUEST_ID", "12ab12ab12ab12\r\n"}), 400},
		{"no budget", newCall("consulta", "", [2]string{"HTTP_BUDGET_MS", "-"}), 400},
		{"no time", newCall("consulta", "", [2]string{"HTTP_BUDGET_MS", "0"}), 400},
		{"budget below 0", newCall("consulta", "", [2]string{"HTTP_BUDGET_MS", "-5"}), 400},
		{"budget too long", newCall("consulta", "", [2]string{"HTTP_BUDGET_MS", "99999999999999999999"}), 400},
		{"no function", newCall("consulta", "", [2]string{"HTTP_RESOURCE_KEY", "-"}), 400},
		{"function", newCall("consulta", "", [2]string{"HTTP_RESOURCE_KEY", "a,b=c d e f g h "}), 400},
		{"no key", newCall("registro-horas", "", [2]string{"HTTP_ONCE_KEY", "-"}), 400},
		{"key", newCall("registro-horas", "", [2]string{"HTTP_ONCE_KEY", "a b"}), 400},
		{"figures", newCall("consulta", "", [2]string{"HTTP_X_SPEC", "memory_mb:lots"}), 400},
		{"figure without value", newCall("consulta", "", [2]string{"HTTP_X_SPEC", "lanes"}), 400},
		{"length", newCall("consulta", "four", [2]string{"CONTENT_LENGTH", "5"}), 400},
		{"body too long", newCall("consulta", strings.Repeat("x", 16<<10+1)), 413},
		{"parameters too long", newCall("consulta", "", [2]string{"X", strings.Repeat("x", 16<<10)}), 431},
	} {
		t.Run(tt.name, func(t *testing.T) {
			client := sched.connect()
			client.t = t
			tt.q.bodyOpen = tt.status == 413 // answered before the body ends
			client.send(tt.q)
			if got := client.readAnswer(); got.status != tt.status {
				t.Errorf("status %d, want %d", got.status, tt.status)
			}
		})
	}
	client := sched.connect()
	client.send(newCall("consulta", "good"))
	if got := client.readAnswer(); got.status != 200 {
		t.Errorf("a good request after them: status %d", got.status)
	}
	if n := len(agent.received()); n != 1 {
		t.Errorf("the agent had %d requests, want the good one", n)
	}
}

// What the protocol has besides requests, and what breaks it.
func TestRecords(t *testing.T) {
	sched, _ := startWithAgent(t, func(int, agentRequest) string { return "" })
	begin := func(role byte) string { return string([]byte{0, role, 1, 0, 0, 0, 0, 0}) }
	open := newCall("consulta", "")
	for _, tt := range []struct {
		name    string
		send    []byte
		kind    byte // 0: the connection is closed
		content string
	}{
		{"unknown role", encodeRecord(1, 9, 0, begin(2)), 3, "\x00\x00\x00\x00\x03\x00\x00\x00"},
		{"unknown type", encodeRecord(99, 0, 0, "x"), 11, "\x63\x00\x00\x00\x00\x00\x00\x00"},
		{"values", encodeRecord(9, 0, 3, "\x0f\x00FCGI_MPXS_CONNS\x02\x00no"), 10, "\x0f\x01FCGI_MPXS_CONNS1"},
		{"abort", append(open.bytes(), encodeRecord(2, open.id, 0, "")...), 3, "\x00\x00\x00\x00\x00\x00\x00\x00"},
		{
			"abort before the body", append(encodeRecord(1, 4, 0, begin(1)), encodeRecord(2, 4, 0, "")...), 3,
			"\x00\x00\x00\x00\x00\x00\x00\x00",
		},
		{"version", []byte("GET / HTTP/1.1\r\n\r\n"), 0, ""},
		{"begun twice", append(encodeRecord(1, 4, 0, begin(1)), encodeRecord(1, 4, 0, begin(1))...), 0, ""},
		{"begun without id", encodeRecord(1, 0, 0, begin(1)), 0, ""},
		{"begun short", encodeRecord(1, 4, 0, "\x00"), 0, ""},
		{"values cut short", encodeRecord(9, 0, 0, "\x7f\x7fx"), 0, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			client := sched.connect()
			client.write(tt.send)
			kind, _, content, err := client.readRecord()
			if tt.kind == 0 {
				if err == nil {
					t.Errorf("got a record of type %d, want the connection closed", kind)
				}
			} else if err != nil || kind != tt.kind || string(content) != tt.content {
				t.Errorf("got type %d, %q, %v; want type %d, %q", kind, content, err, tt.kind, tt.content)
			}
		})
	}
}

// What an agent does, and what its client and the other agents see of it.
func TestAttempts(t *testing.T) {
	first := func(word string) func(int, agentRequest) string {
		return func(n int, request agentRequest) string {
			if n == 1 {
				return answerLine(request.id, word, "-", "")
			}
			return echo(n, request)
		}
	}
	always := func(text string) func(int, agentRequest) string {
		return func(_ int, request agentRequest) string { return strings.ReplaceAll(text, "ID", request.id) }
	}
	for _, tt := range []struct {
		name, class string
		reply       func(int, agentRequest) string
		status      int
		attempts    int
	}{
		{"MISS proves that it never ran", "certificado", first("MISS"), 200, 2},
		{"BUSY proves that it never ran", "certificado", first("BUSY"), 200, 2},
		{"VOID proves that it never ran", "certificado", first("VOID"), 200, 2},
		{"ERR may have run", "certificado", first("ERR"), 502, 1},
		{"ERR may be repeated", "consulta", first("ERR"), 200, 2},
		{"reset may have run", "certificado", always(resetConnection), 502, 1},
		{"nonsense may have run", "certificado", always("hello there\r\n"), 502, 1},
		{"word may have run", "certificado", always("ID WHAT - 0\r\n\r\n"), 502, 1},
		{"length may have run", "certificado", always("ID OK - 99999999\r\n"), 502, 1},
		{"body that runs on", "certificado", always("ID OK - 2\r\nlong\r\n"), 502, 1},
		{"line without end", "certificado", always(strings.Repeat("x", 5000)), 502, 1},
		{"another's answer", "certificado", always("0000 OK - 0\r\n\r\nID OK - 0\r\n\r\n"), 200, 1},
		{"silence", "certificado", always(""), 502, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			// Two agents of one script: where a repeat goes is the module's affair.
			n := 0
			sched := newTestScheduler(t)
			ask := make(chan agentRequest)
			given := make(chan string)
			go func() {
				for request := range ask {
					n++
					given <- tt.reply(n, request)
				}
			}()
			reply := func(_ int, request agentRequest) string { ask <- request; return <-given }
			agentA, agentB := newAgent(t, reply), newAgent(t, reply)
			sched.addEvent(true, "a SERVING "+agentA.addr, "b SERVING "+agentB.addr)
			client := sched.start().connect()
			budget := "9000"
			if tt.name == "silence" {
				budget = "900"
			}
			client.send(newCall(tt.class, "x", [2]string{"HTTP_BUDGET_MS", budget}))
			if got := client.readAnswer(); got.status != tt.status {
				t.Errorf("status %d, want %d", got.status, tt.status)
			}
			if got := len(agentA.received()) + len(agentB.received()); got != tt.attempts {
				t.Errorf("%d attempts, want %d", got, tt.attempts)
			}
		})
	}
}

// An answer that cannot be read, or is cut off, fails its request: it has run. The worker stays in use, and what
// it holds loaded is still counted on: such answers come from any of them.
func TestSpoiltAnswer(t *testing.T) {
	for _, tt := range []struct{ name, text string }{
		{"noise", "\x01\xfe\r\n"},
		{"length is a word", "ID OK - many\r\n"},
		{"length below 0", "ID OK - -3\r\n"},
		{"length of 3 GB", "ID OK - 3000000000\r\n" + strings.Repeat("x", 1<<16)},
		{"body runs on", "ID OK - 2\r\nbody\r\n"},
		{"line without end", "ID " + strings.Repeat("x", 1<<13)},
		{"noise before a good line", "\x01\xfeID OK - 4\r\nbody\r\n"},
		{"stops short", "ID OK - 100\r\nshort"},
		{"cut off", resetConnection},
	} {
		t.Run(tt.name, func(t *testing.T) {
			spoil := false
			var mu sync.Mutex
			reply := func(n int, request agentRequest) string {
				mu.Lock()
				defer mu.Unlock()
				if spoil {
					spoil = false
					return strings.Replace(tt.text, "ID", request.id, 1)
				}
				return echo(n, request)
			}
			agents := []*nodeAgent{newAgent(t, reply), newAgent(t, reply)}
			sched := newTestScheduler(t)
			sched.addEvent(true, "a SERVING "+agents[0].addr, "b SERVING "+agents[1].addr)
			sched.start()
			client := sched.connect()
			client.t = t
			ask := func() int {
				client.send(newCall("certificado", "", [2]string{"HTTP_BUDGET_MS", "60000"}))
				return client.readAnswer().status
			}
			had := func() []int { return []int{len(agents[0].received()), len(agents[1].received())} }
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
	sched, _ := startWithAgent(t, func(n int, request agentRequest) string {
		if n == 1 {
			<-release
		}
		select {
		case <-spoil:
			return "noise\r\n"
		default:
			return answerLine(request.id, "OK", "-", strconv.Itoa(request.conn))
		}
	})
	long := [2]string{"HTTP_BUDGET_MS", "60000"}
	first, client := sched.connect(), sched.connect()
	first.send(newCall("certificado", "", long))
	ask := func() clientAnswer { client.send(newCall("certificado", "", long)); return client.readAnswer() }
	waitUntil(t, "another connection carries requests", func() bool { return ask().body == "2" })
	spoil <- struct{}{}
	if got := ask(); got.status != 502 {
		t.Errorf("status %d for the spoilt answer, want 502", got.status)
	}
	close(release)
	if got := first.readAnswer(); got.status != 200 || got.body != "1" {
		t.Errorf("status %d, body %q for the request on the other connection", got.status, got.body)
	}
}

// One of hundreds of schedulers keeps to one connection for the little that it has at a worker, which has to take those
// of all.
func TestFewConnections(t *testing.T) {
	agent := newAgent(t, func(n int, request agentRequest) string {
		time.Sleep(time.Duration(n%2) * 20 * time.Millisecond) // so that two are out at a time
		return answerLine(request.id, "OK", "-", strconv.Itoa(request.conn))
	})
	sched := newTestScheduler(t)
	sched.schedulers = 300
	sched.addEvent(true, "a SERVING "+agent.addr)
	sched.start()
	client, otherClient := sched.connect(), sched.connect()
	for range 20 {
		client.send(newCall("consulta", ""))
		otherClient.send(newCall("consulta", ""))
		for _, one := range []*testClient{client, otherClient} {
			if got := one.readAnswer(); got.status == 200 && got.body != "1" {
				t.Fatalf("a request went on connection %s", got.body)
			}
		}
	}
	if len(agent.received()) < 20 {
		t.Errorf("%d requests reached the worker", len(agent.received()))
	}
}

// Where something on the way forgets connections that rest, that is found out, and none is used after such a rest.
func TestShortRests(t *testing.T) {
	agent := newAgent(t, echo)
	agent.idleReset = 60 * time.Millisecond
	sched := newTestScheduler(t)
	sched.addEvent(true, "a SERVING "+agent.addr)
	client := sched.start().connect()
	waitUntil(t, "ten calls in a row are served after rests", func() bool {
		for range 10 {
			time.Sleep(130 * time.Millisecond)
			client.send(newCall("certificado", "x"))
			if client.readAnswer().status != 200 {
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
			sched, agent := startWithAgent(t, func(n int, request agentRequest) string {
				if n == 1 {
					return answerLine(request.id, word, "-", "")
				}
				if request.conn == 1 {
					return answerLine(request.id, "ERR", "-", "") + answerLine(request.id, "OK", "-", "late")
				}
				return answerLine(request.id, "OK", "-", "good")
			})
			client := sched.connect()
			client.send(newCall("certificado", ""))
			if got := client.readAnswer(); got.status != 200 || got.body != "good" {
				t.Errorf("status %d, body %q; the worker had %+v", got.status, got.body, agent.received())
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
		agents = append(agents, newAgent(t, func(n int, request agentRequest) string {
			if request.fields["asset"] == "00000000deadbeef" || failing.Load() == int32(i+1) {
				return answerLine(request.id, "ERR", "-", "")
			}
			return echo(n, request)
		}))
	}
	sched := newTestScheduler(t)
	sched.addEvent(true, "a SERVING "+agents[0].addr, "b SERVING "+agents[1].addr)
	client := sched.start().connect()
	ask := func(class string, change ...[2]string) int {
		client.send(newCall(class, "x", change...))
		return client.readAnswer().status
	}
	certified := func(agent *nodeAgent) (n int) {
		for _, request := range agent.received() {
			if request.fields["sort"] == "certificado" {
				n++
			}
		}
		return n
	}
	ask("consulta")
	home := 0
	if len(agents[1].received()) > 0 {
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
	before := len(agents[home].received())
	waitUntil(t, "some calls have met errors", func() bool { // which of two workers gets one is drawn
		if got := ask("consulta"); got != 200 {
			t.Errorf("status %d for a call that may be repeated", got)
		}
		return len(agents[home].received()) >= before+4
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
	agentA := newAgent(t, func(n int, request agentRequest) string {
		switch request.body {
		case "lose":
			lost.Add(1)
			return ""
		case "fail":
			return answerLine(request.id, "ERR", "-", "")
		}
		return echo(n, request)
	})
	// The second worker is the slower one: wherever both hold a copy, the first is chosen once that is known.
	agentB := newAgent(t, func(n int, request agentRequest) string {
		time.Sleep(250 * time.Millisecond)
		return echo(n, request)
	})
	sched := newTestScheduler(t)
	sched.addEvent(true, "a SERVING "+agentA.addr)
	sched.start()
	ask := func(client *testClient, function, body string) int {
		client.send(newCall("consulta", body, [2]string{"HTTP_BUDGET_MS", "2000"}, [2]string{"HTTP_RESOURCE_KEY", function}))
		return client.readAnswer().status
	}
	client, other := sched.connect(), sched.connect()
	// One function stands at the first alone, so that all its calls go there and are answered, whatever else is
	// out. The other stands at both: at the first by a call, at the second by an error of the first.
	ask(other, steady, "warm")
	ask(client, asked, "warm")
	sched.addEvent(false, "b SERVING "+agentB.addr)
	waitUntil(t, "the second worker has served", func() bool { ask(client, asked, "fail"); return len(agentB.received()) > 0 })

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
	waitUntil(t, "a call whose answer was lost is served", func() bool {
		before := lost.Load()
		status := ask(client, asked, "lose")
		return status == 200 && lost.Load() > before
	})
}

// A worker that cannot be reached has run nothing: even certificado goes elsewhere.
func TestUnreached(t *testing.T) {
	sched, agent := newTestScheduler(t), newAgent(t, echo)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	sched.addEvent(true, "a SERVING "+agent.addr, "b SERVING "+listener.Addr().String())
	client := sched.start().connect()
	for i := range 8 { // over several functions, so that the dead one is some function's first
		client.send(newCall("certificado", "x", [2]string{"HTTP_RESOURCE_KEY", fmt.Sprintf("%016x", i)}))
		if got := client.readAnswer(); got.status != 200 {
			t.Errorf("status %d, want 200", got.status)
		}
	}
}

// With nobody to serve it a request is refused by half its time, and told when to come again.
func TestRefused(t *testing.T) {
	sched := newTestScheduler(t)
	sched.addEvent(true)
	client := sched.start().connect()
	client.send(newCall("certificado", "x", [2]string{"HTTP_BUDGET_MS", "600"}))
	if got := client.readAnswer(); got.status != http.StatusServiceUnavailable || got.header.Get("Back-Off-Ms") != "500" {
		t.Errorf("status %d, Back-Off-Ms %q; want 503 and 500", got.status, got.header.Get("Back-Off-Ms"))
	}
}

// What a request waits to be read comes off its time: here the program stands still meanwhile.
func TestReadLate(t *testing.T) {
	sched, agent := startWithAgent(t, echo)
	client := sched.connect()
	client.send(newCall("consulta", "x")) // the connection is known to the program
	client.readAnswer()
	sched.whileStopped(func() {
		client.send(newCall("consulta", "x"))
		time.Sleep(500 * time.Millisecond)
	})
	client.readAnswer()
	had := agent.received()
	if ms, err := strconv.Atoi(had[len(had)-1].fields["patience"]); err != nil || ms > 8500 {
		t.Errorf("patience %d after 500 of 9000 ms have gone by", ms)
	}
}

// deaf is a site with an agent that answers on its first connection nothing.
func startWithDeafAgent(t *testing.T) (sched *testScheduler, agent *nodeAgent) {
	sched, agent = startWithAgent(t, func(n int, request agentRequest) string {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		if agent.conns == 1 {
			return ""
		}
		return echo(n, request)
	})
	return sched, agent
}

// A connection that has answered nothing for long, though asked, gets nothing new: its machine may be cut off,
// which gives no sign, and be back under the same name.
func TestSilentConnection(t *testing.T) {
	sched, agent := startWithDeafAgent(t)
	first, second := sched.connect(), sched.connect()
	first.send(newCall("consulta", "lost", [2]string{"HTTP_BUDGET_MS", "3000"}))
	waitUntil(t, "the first request is at the agent", func() bool { return len(agent.received()) == 1 })
	time.Sleep(1200 * time.Millisecond)
	second.send(newCall("consulta", "found"))
	if got := second.readAnswer(); got.body != "re:found" {
		t.Errorf("status %d, want it served on a new connection", got.status)
	}
	if got := first.readAnswer(); got.status == 200 {
		t.Errorf("the first was served, want it lost")
	}
}

// The same where clients give up before that: a few requests lost in a row tell as much.
func TestLostRequests(t *testing.T) {
	sched, _ := startWithDeafAgent(t)
	client := sched.connect()
	waitUntil(t, "a request is served on a new connection", func() bool {
		client.send(newCall("consulta", "x", [2]string{"HTTP_BUDGET_MS", "300"}))
		return client.readAnswer().status == 200
	})
}

// A client that leaves has its request given up at the agent; the id may be used again.
func TestAbandoned(t *testing.T) {
	sched, agent := startWithAgent(t, func(n int, request agentRequest) string {
		if n == 1 {
			return ""
		}
		return echo(n, request)
	})
	client := sched.connect()
	request := newCall("consulta", "x")
	client.send(request)
	waitUntil(t, "the request is at the agent", func() bool { return len(agent.received()) == 1 })
	client.write(encodeRecord(2, request.id, 0, ""))
	client.readAnswer()
	waitUntil(t, "it is given up there", func() bool {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		return len(agent.halted) == 1 && agent.halted[0] == request.param("HTTP_REQUEST_ID")
	})
	client.send(newCall("consulta", "y"))
	if got := client.readAnswer(); got.body != "re:y" {
		t.Errorf("the next request of that id got %d, %q", got.status, got.body)
	}
}

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("it does not come true that %s", what)
		}
	}
}

// serves sends requests until one is answered by the wanted body, and then checks that all are.
func waitUntilServedBy(t *testing.T, sched *testScheduler, want string) {
	t.Helper()
	client := sched.connect()
	ask := func() string { client.send(newCall("consulta", "")); return client.readAnswer().body }
	waitUntil(t, want+" answers", func() bool { return ask() == want })
	for range 20 {
		if got := ask(); got != want {
			t.Fatalf("answer %q, want %q only", got, want)
		}
	}
}

func answerWith(name string) func(int, agentRequest) string {
	return func(_ int, request agentRequest) string { return answerLine(request.id, "OK", "-", name) }
}

// A worker that drains gets nothing new; a new worker at an old address gets new connections; and a bulletin
// that answers badly is asked again.
func TestList(t *testing.T) {
	agentA, agentB := newAgent(t, answerWith("a")), newAgent(t, answerWith("b"))
	sched := newTestScheduler(t)
	sched.addEvent(true, "a SERVING "+agentA.addr)
	sched.start()
	waitUntilServedBy(t, sched, "a")
	sched.addEvent(false, "a DRAINING "+agentA.addr, "b SERVING "+agentB.addr)
	waitUntilServedBy(t, sched, "b")

	agentA.mu.Lock()
	had := agentA.conns
	agentA.mu.Unlock()
	sched.addEvent(false, "a DELETED "+agentA.addr, "b DRAINING "+agentB.addr, "c SERVING "+agentA.addr)
	waitUntilServedBy(t, sched, "a")
	agentA.mu.Lock()
	if agentA.conns <= had {
		t.Errorf("the new worker at the old address had no connection of its own")
	}
	agentA.mu.Unlock()

	sched.mu.Lock()
	for _, text := range []string{`{"no":`, `{"no":4,"items":[{"no":4,"roster":{"targets":[{"uid":"b","state":"?"}]}}]}`} {
		sched.pollOverrides = append(sched.pollOverrides, func(w http.ResponseWriter) { fmt.Fprint(w, text) })
	}
	sched.pollOverrides = append(sched.pollOverrides,
		func(w http.ResponseWriter) { http.Error(w, "later", http.StatusInternalServerError) },
		func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		func(w http.ResponseWriter) { w.(http.Flusher).Flush(); fmt.Fprint(w, sched.feed(3)) }) // chunked
	sched.mu.Unlock()
	sched.addEvent(true, "b SERVING "+agentB.addr)
	waitUntilServedBy(t, sched, "b")
}

// An idle connection is closed before the agent's time for it is up, so that no request meets that close.
func TestIdleConnections(t *testing.T) {
	agent, sched := newAgent(t, echo), newTestScheduler(t)
	sched.idleMs = 400
	sched.addEvent(true, "a SERVING "+agent.addr)
	client := sched.start().connect()
	for n := range 2 {
		client.send(newCall("certificado", "x"))
		if got := client.readAnswer(); got.status != 200 {
			t.Errorf("status %d", got.status)
		}
		waitUntil(t, "the program closes its idle connection", func() bool {
			agent.mu.Lock()
			defer agent.mu.Unlock()
			return agent.closed == n+1
		})
	}
}

// Clients hold a third of the descriptors at most. Those that say nothing or ask nothing more make room for others,
// and those with a request open are served on.
func TestTooManyClients(t *testing.T) {
	for _, tt := range []struct {
		name   string
		before func(client *testClient)
		let    bool
	}{
		{"silent", func(*testClient) {}, true},
		{"half a request", func(client *testClient) {
			request := newCall("consulta", "half")
			request.bodyOpen = true
			client.send(request)
		}, true},
		{"served and held for good", func(client *testClient) {
			client.send(newCall("consulta", "once"))
			if got := client.readAnswer(); got.body != "re:once" {
				client.t.Errorf("status %d at first", got.status)
			}
		}, true},
		{"requests open", func(client *testClient) {
			// Each of a function of its own, or the module would refuse some.
			request := newCall("consulta", "held", [2]string{"HTTP_BUDGET_MS", "60000"})
			client.send(newCall("consulta", "held", [2]string{"HTTP_BUDGET_MS", "60000"}, [2]string{"HTTP_RESOURCE_KEY", request.param("HTTP_REQUEST_ID")}))
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			release := make(chan struct{})
			sched, had := newTestScheduler(t), func() int { return 0 }
			sched.maxSockets = 90
			var targets []string
			for i := range 12 {
				agent := newAgent(t, func(n int, request agentRequest) string {
					if request.body == "held" {
						<-release
					}
					return echo(n, request)
				})
				others := had
				had = func() int { return len(agent.received()) + others() }
				targets = append(targets, fmt.Sprintf("w%d SERVING %s", i, agent.addr))
			}
			sched.addEvent(true, targets...)
			sched.start()
			var fronts []*testClient
			for range 30 {
				client := sched.connect()
				tt.before(client)
				fronts = append(fronts, client)
			}
			if !tt.let {
				waitUntil(t, "all requests are at workers", func() bool { return had() == len(fronts) })
				if !sched.connect().closedByServer() {
					t.Error("the 31st was let in")
				}
				close(release)
				for _, client := range fronts {
					if got := client.readAnswer(); got.body != "re:held" {
						t.Errorf("status %d for a request that was open", got.status)
					}
				}
				return
			}
			client := sched.connect()
			client.send(newCall("consulta", "new"))
			if got := client.readAnswer(); got.body != "re:new" {
				t.Errorf("status %d, want the newcomer served", got.status)
			}
		})
	}
}

// Where all places are held by clients that were served, one that was just let in keeps its place till its request
// has come, though others are let in meanwhile.
func TestJustLetIn(t *testing.T) {
	sched, _ := startWithAgent(t, echo)
	sched.kill()
	sched.maxSockets = 90
	sched.start()
	ask := func(client *testClient) bool {
		if _, err := client.conn.Write(newCall("consulta", "x").bytes()); err != nil {
			return false
		}
		kind, _, _, err := client.readRecord()
		return err == nil && kind == 6
	}
	// A machine that is busy with other things may take too long over one round, but not over all.
	waitUntil(t, "one that was just let in is served", func() bool {
		var fronts []*testClient
		for range 32 {
			client := sched.connect()
			defer client.conn.Close()
			if fronts = append(fronts, client); len(fronts) <= 30 {
				ask(client)
			}
		}
		return ask(fronts[31]) && ask(fronts[30])
	})
}

// A client that sends nothing whole is answered or closed before long, and another may stay for as long as it likes.
func TestNothingWhole(t *testing.T) {
	sched, _ := startWithAgent(t, echo)
	served := sched.connect()
	ask := func() {
		t.Helper()
		served.send(newCall("consulta", "x"))
		if got := served.readAnswer(); got.body != "re:x" {
			t.Errorf("status %d for the client that asks", got.status)
		}
	}
	ask()
	whole := newCall("consulta", "body").bytes()
	for _, tt := range []struct {
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
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			client := sched.connect()
			client.t = t
			if tt.before {
				client.send(newCall("consulta", "first"))
				client.readAnswer()
			}
			client.write(tt.text)
			if tt.status != 0 {
				if got := client.readAnswer(); got.status != tt.status {
					t.Errorf("status %d, want %d", got.status, tt.status)
				}
			}
			if tt.name != "no end, later" && !client.closedByServer() {
				t.Error("the connection stays open")
			}
		})
	}
	t.Cleanup(ask) // runs when all of these have ended
}

// A connection carries 32 requests, whole or not: one more is refused at once.
func TestTooManyRequests(t *testing.T) {
	sched, _ := startWithAgent(t, echo)
	client := sched.connect()
	for id := uint16(1); id <= 33; id++ {
		request := newCall("consulta", "x")
		request.id, request.bodyOpen = id, true
		client.send(request)
	}
	if got := client.readAnswer(); got.id != 33 || got.protocolStatus != 2 {
		t.Errorf("request %d ended with protocol status %d, want 33 overloaded", got.id, got.protocolStatus)
	}
	client.write(encodeRecord(5, 7, 0, "")) // the others go on
	if got := client.readAnswer(); got.id != 7 || got.body != "re:x" {
		t.Errorf("then request %d ended with %d, want 7 served", got.id, got.status)
	}
}

// After SIGTERM requests are served for a while, all that were taken are answered, and the exit is clean.
func TestTerm(t *testing.T) {
	sched, agent := startWithAgent(t, func(n int, request agentRequest) string {
		if request.body == "slow" {
			time.Sleep(2 * time.Second)
		}
		return echo(n, request)
	})
	never, slow := sched.connect(), sched.connect()
	half := newCall("consulta", "half") // of a request that is never whole, nothing is owed
	half.bodyOpen = true
	never.send(half)
	slow.send(newCall("certificado", "slow"))
	waitUntil(t, "the slow request is at the agent", func() bool { return len(agent.received()) == 1 })
	if err := sched.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	late := sched.connect()
	late.send(newCall("consulta", "late"))
	if got := late.readAnswer(); got.status != 200 {
		t.Errorf("a request after SIGTERM: status %d", got.status)
	}
	if got := slow.readAnswer(); got.body != "re:slow" {
		t.Errorf("the slow request: status %d", got.status)
	}
	sched.waitForExit()
}

// A scheduler that is killed starts again at its address, whatever became of its connections, and is told the list.
func TestRestart(t *testing.T) {
	sched, agent := startWithAgent(t, func(n int, request agentRequest) string {
		if request.body == "lost" {
			return ""
		}
		return echo(n, request)
	})
	sched.connect().send(newCall("consulta", "lost"))
	waitUntil(t, "the request is at the agent", func() bool { return len(agent.received()) == 1 })
	sched.kill()
	sched.start()
	client := sched.connect()
	client.send(newCall("consulta", "again"))
	if got := client.readAnswer(); got.body != "re:again" {
		t.Errorf("after the restart: status %d", got.status)
	}
}

// A configuration that cannot be used ends the program at once, with one line that says why.
// SIGHUP has the bulletin asked at the address that the file names by then, from the last event on. A file that
// cannot be used changes nothing, and a request that is out notices neither.
func TestReload(t *testing.T) {
	agentA, agentB, agentC := newAgent(t, answerWith("a")), newAgent(t, answerWith("b")), newAgent(t, answerWith("c"))
	release := make(chan struct{})
	held := newAgent(t, func(n int, request agentRequest) string {
		<-release
		return answerWith("held")(n, request)
	})
	sched := newTestScheduler(t)
	sched.addEvent(true, "a SERVING "+agentA.addr)
	sched.addEvent(true, "held SERVING "+held.addr)
	sched.start()
	out := sched.connect()
	out.send(newCall("certificado", "", [2]string{"HTTP_BUDGET_MS", "60000"}))
	waitUntil(t, "a request is out", func() bool { return len(held.received()) == 1 })

	hup := func(want string) {
		t.Helper()
		if err := sched.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "the log says "+want, func() bool { return strings.Contains(sched.log.String(), want) })
	}
	// What would end a start changes nothing either: not even where the bulletin is.
	text, err := os.ReadFile(sched.configFile)
	if err != nil {
		t.Fatal(err)
	}
	moved := strings.Replace(string(text), sched.bulletin.Listener.Addr().String(), "127.0.0.1:1", 1)
	for i, bad := range []string{
		`{"bulletin":`, strings.Replace(moved, `"attemptsCap":4`, `"attemptsCap":0`, 1),
		strings.Replace(moved, `"effect":"read_like"`, `"effect":"none"`, 1),
		strings.Replace(moved, `"state":"SERVING"`, `"state":"?"`, 1),
		strings.Replace(moved, `"name":"consulta"`, `"name":"certificado"`, 1),
	} {
		if bad == moved {
			t.Fatalf("file %d is as it was", i)
		}
		if err := os.WriteFile(sched.configFile, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := sched.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, fmt.Sprintf("file %d is not taken", i), func() bool { return strings.Count(sched.log.String(), "not read again") == i+1 })
	}
	sched.addEvent(true, "b SERVING "+agentB.addr)
	waitUntilServedBy(t, sched, "b")

	// The old address keeps its poll open and tells nothing more.
	old, address := sched.bulletin, sched.bulletin.Listener.Addr().String()
	sched.bulletin = httptest.NewServer(http.HandlerFunc(sched.poll))
	old.Listener.Close()
	sched.configure()
	hup("configuration read again")
	sched.addEvent(true, "c SERVING "+agentC.addr)
	waitUntilServedBy(t, sched, "c")
	waitUntil(t, "the old polls end", func() bool { return sched.countPoll(address, 0) == 0 })
	close(release)
	if got := out.readAnswer(); got.status != 200 || got.body != "held" {
		t.Errorf("the request that was out got status %d, body %q", got.status, got.body)
	}
	old.Close()
}

func TestBadConfiguration(t *testing.T) {
	whole := `{"listen":"127.0.0.1:0","bulletin":"127.0.0.1:1","seed":"1","settings":` +
		fmt.Sprintf(testSettings, 15000) + `}`
	for _, tt := range []struct{ name, text, want string }{
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
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, []byte(tt.text), 0o600); err != nil {
				t.Fatal(err)
			}
			cmd, log := program(t, "-config", path)
			err := cmd.Run()
			if line := log.String(); err == nil || !strings.Contains(line, tt.want) ||
				!strings.HasPrefix(line, "calicohill: ") || strings.Count(line, "\n") != 1 {
				t.Errorf("ended with %v and %q, want one line with %q", err, log, tt.want)
			}
		})
	}
	cmd, log := program(t)
	if err := cmd.Run(); err == nil || !strings.Contains(log.String(), "ROUTER_CONFIG") {
		t.Errorf("without a configuration: ended with %v and %q", err, log)
	}
}
