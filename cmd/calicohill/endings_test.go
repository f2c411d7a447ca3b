package main

import (
	"bufio"
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
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// What ends while something is owed: each crossing is forced by what peers do, and in which order.

// late is a site with one worker whose connections come up only after open, and long after they were asked for.
func late(t *testing.T) (s *site, a *nodeAgent, open func()) {
	t.Helper()
	a, open = newLateAgent(t, echo)
	s = newSite(t)
	s.settings = [][2]string{{`"connectTimeoutMs":250`, `"connectTimeoutMs":4000`}}
	s.tell(true, "late SERVING "+a.addr)
	return s.start(), a, open
}

// A request whose client left while the connection for it was being made never reaches the worker, and one whose
// client stayed does.
func TestLeftWhileDialing(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(f *front, q request)
	}{
		{"cancels", func(f *front, q request) {
			f.write(rec(2, q.id, 0, ""))
			if got := f.read(); got.id != q.id {
				f.t.Errorf("the end of request %d, want %d", got.id, q.id)
			}
		}},
		{"closes", func(f *front, _ request) { f.c.Close() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, a, open := late(t)
			gone, stays := s.front(), s.front()
			q := call("certificado", "gone")
			gone.send(q)
			stays.send(call("certificado", "stays"))
			time.Sleep(100 * time.Millisecond) // both wait for the connection, which can't come up
			c.leave(gone, q)
			open()
			if got := stays.read(); got.body != "re:stays" {
				t.Errorf("the client that stayed got status %d", got.status)
			}
			if had := a.had(); len(had) != 1 || had[0].body != "stays" {
				t.Errorf("the worker had %v, want the request of the client that stayed alone", had)
			}
		})
	}
}

// A worker that begins to drain while the connection to it is being made gets nothing on it.
func TestDrainsWhileDialing(t *testing.T) {
	s, a, open := late(t)
	b := newAgent(t, named("b"))
	f := s.front()
	f.send(call("certificado", "x"))
	time.Sleep(100 * time.Millisecond)
	s.told(false, "late DRAINING "+a.addr, "b SERVING "+b.addr)
	if got := f.read(); got.body != "b" {
		t.Errorf("status %d, want it served by the other worker", got.status)
	}
	open()
	until(t, "the connection is up", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.conns > 0
	})
	serves(t, s, "b")
	if had := a.had(); len(had) != 0 {
		t.Errorf("the worker that drains had %v", had)
	}
}

// A repeat whose connection comes up when the workers have forgotten its key is not sent any more: they would not
// drop it.
func TestRepeatWaitsTooLong(t *testing.T) {
	breaks := make(chan struct{})
	first := newAgent(t, func(int, goLine) string { <-breaks; return hangUp })
	a, open := newLateAgent(t, echo)
	s := newSite(t)
	s.settings = [][2]string{{`"connectTimeoutMs":250`, `"connectTimeoutMs":4000`}, {`"memorySpanMs":2500`, `"memorySpanMs":600`}}
	s.tell(true, "first SERVING "+first.addr)
	f := s.start().front()
	f.send(call("registro-horas", "x", [2]string{"HTTP_BUDGET_MS", "2400"}))
	until(t, "the request is at the first worker", func() bool { return len(first.had()) == 1 })
	s.told(false, "late SERVING "+a.addr)
	close(breaks) // it may have run there: the repeat goes to the other
	time.Sleep(100 * time.Millisecond)
	open() // the connection comes up a second after it was asked for
	if got := f.read(); got.status != 503 {
		t.Errorf("status %d, want a refusal", got.status)
	}
	until(t, "the connection is up", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.conns > 0
	})
	f.send(call("consulta", "next"))
	f.read()
	for _, g := range a.had() {
		if g.body == "x" {
			t.Error("the repeat was sent after the workers had forgotten its key")
		}
	}
}

// halfWritten is a site whose first client has answers of some MB coming and reads none of it, so that the system does
// not take all of them. Few clients find room beside it.
func halfWritten(t *testing.T, last func(*request)) (s *site, f *front, whole func()) {
	t.Helper()
	big := strings.Repeat("0123456789", 100_000)
	a := newAgent(t, func(n int, g goLine) string {
		if g.body == "big" {
			return answerLine(g.id, "OK", "-", big)
		}
		return echo(n, g)
	})
	s = newSite(t)
	s.sockets = 90
	s.tell(true, "a SERVING "+a.addr)
	f = s.start().slowFront()
	const count = 5
	for id := uint16(1); id <= count; id++ {
		q := call("consulta", "big", [2]string{"HTTP_X_SPEC", "lanes:8"})
		if q.id = id; id == count && last != nil {
			last(&q)
		}
		f.send(q)
	}
	until(t, "all requests are at the worker", func() bool { return len(a.had()) == count })
	return s, f, func() {
		t.Helper()
		for range count {
			if got := f.read(); got.status != 200 || got.body != big {
				t.Fatalf("request %d got status %d and %d bytes, want %d", got.id, got.status, len(got.body), len(big))
			}
		}
	}
}

// Answers that are half written when the program is told to end go out whole, if their client takes its time too.
func TestHalfWrittenAtTheEnd(t *testing.T) {
	s, _, whole := halfWritten(t, nil)
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1500 * time.Millisecond) // it may end 0.7 s after that
	whole()
	s.endsWell()
}

// A client that reads nothing does not keep the program from its end.
func TestNeverReadAtTheEnd(t *testing.T) {
	s, _, _ := halfWritten(t, nil)
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	s.endsWell()
}

// A connection that is to end with a request ends when all answers on it are sent.
func TestHalfWrittenOnce(t *testing.T) {
	_, f, whole := halfWritten(t, func(q *request) { q.once = true })
	time.Sleep(300 * time.Millisecond)
	whole()
	if !f.gone() {
		t.Error("the connection stays open")
	}
}

// A connection with answers half written has no request open any more, and is not the one to make room all the same.
func TestHalfWrittenMakesNoRoom(t *testing.T) {
	s, _, whole := halfWritten(t, nil)
	for range 30 { // 29 find room
		f := s.front()
		f.send(call("consulta", "x"))
		if got := f.read(); got.body != "re:x" {
			t.Errorf("status %d, want it served", got.status)
		}
	}
	whole()
}

// What waits for clients that do not read is bounded for all of them together: each alone stays within its own bound.
func TestUnreadAnswersAreBounded(t *testing.T) {
	big := strings.Repeat("0123456789", 25_000)
	a := newAgent(t, func(n int, g goLine) string {
		if g.body == "big" {
			return answerLine(g.id, "OK", "-", big)
		}
		return echo(n, g)
	})
	s := newSite(t)
	s.sockets, s.memoryMB = 90, 32
	s.tell(true, "a SERVING "+a.addr)
	s.start()
	const closed = "too much waits for clients that do not read"
	until(t, "one of them is closed", func() bool {
		f := s.slowFront()
		for id := uint16(1); id <= 20 && !strings.Contains(s.log.String(), closed); id++ {
			q := call("consulta", "big", [2]string{"HTTP_X_SPEC", "lanes:30"})
			q.id = id
			had := len(a.had())
			f.c.Write(q.bytes()) // it may be the one that was closed
			until(t, "the worker has it", func() bool { return len(a.had()) > had || strings.Contains(s.log.String(), closed) })
		}
		return strings.Contains(s.log.String(), closed)
	})
	f := s.front()
	f.send(call("consulta", "x"))
	if got := f.read(); got.body != "re:x" {
		t.Errorf("status %d for a client that reads", got.status)
	}
}

// stopped stops the program for what is done meanwhile.
func (s *site) stopped(meanwhile func()) {
	s.t.Helper()
	if err := s.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		s.t.Fatal(err)
	}
	until(s.t, "the program stands still", func() bool {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.cmd.Process.Pid))
		return err == nil && strings.Contains(string(text), ") T ")
	})
	meanwhile()
	if err := s.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		s.t.Fatal(err)
	}
}

// Clients that came while a program that is to end had no processor are served, though its time is up when it has one
// again: their connections were taken by the system, one after the other by the program.
func TestStalledAtTheEnd(t *testing.T) {
	s, _ := one(t, echo)
	var fronts []*front
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	until(t, "it drains", func() bool { return strings.Contains(s.log.String(), "draining") })
	s.stopped(func() {
		for range 20 {
			f := s.front()
			f.send(call("consulta", "x"))
			fronts = append(fronts, f)
		}
		time.Sleep(2 * time.Second)
	})
	for _, f := range fronts {
		if got := f.read(); got.body != "re:x" && got.status != 503 {
			t.Errorf("status %d", got.status)
		}
	}
	s.endsWell()
}

// A configuration that is read for long, as from a disk that stands still, does not hold up the end, and neither do
// many orders to read it.
func TestTermAmidReload(t *testing.T) {
	s, _ := one(t, echo)
	fifo := filepath.Join(t.TempDir(), "config")
	if err := unix.Mkfifo(fifo, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(fifo, s.config); err != nil { // whoever reads it waits for a writer
		t.Fatal(err)
	}
	for range 8 {
		if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond) // or the system makes one of them
	}
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	f := s.front()
	f.send(call("consulta", "x"))
	if got := f.read(); got.body != "re:x" {
		t.Errorf("status %d right after SIGTERM", got.status)
	}
	s.endsWell()
}

// Dials that come up all at once, with clients in all places that there are for them, leave descriptors for one more
// client: without one the event loop would end.
func TestDescriptorsOfDials(t *testing.T) {
	s := newSite(t)
	s.sockets = 66
	s.settings = [][2]string{{`"connectTimeoutMs":250`, `"connectTimeoutMs":6000`}}
	var targets []string
	var open []func()
	for i := range 40 {
		a, up := newLateAgent(t, echo)
		targets, open = append(targets, fmt.Sprintf("w%d SERVING %s", i, a.addr)), append(open, up)
	}
	s.tell(true, targets...)
	s.start()
	asks := s.front()
	for id := uint16(1); id <= 30; id++ { // each for a worker that none of the others is at
		q := call("consulta", "x", [2]string{"HTTP_BUDGET_MS", "8000"})
		q.id, q.params[4][1] = id, fmt.Sprintf("%016x", uint64(id)*0x9e3779b97f4a7c15)
		asks.send(q)
	}
	time.Sleep(200 * time.Millisecond) // the dials are under way, and none can come up
	var idle []*front
	s.stopped(func() {
		for range 60 {
			idle = append(idle, s.front())
		}
		for _, up := range open {
			up()
		}
		time.Sleep(1500 * time.Millisecond) // the connections come up
	})
	for range 30 {
		asks.read()
	}
	f := s.front()
	f.send(call("consulta", "after"))
	if got := f.read(); got.body != "re:after" {
		t.Errorf("status %d for a client that came then", got.status)
	}
	if text := s.log.String(); strings.Contains(text, "too many open files") {
		t.Error("the program ran out of descriptors")
	}
}

// Idle clients that take all places they can get at three schedulers, while discovery is down, keep none of them from
// discovery and new workers once it is back, nor other clients from being served.
func TestDescriptorsOfIdleClients(t *testing.T) {
	a, b := newAgent(t, named("a")), newAgent(t, named("b"))
	s := newSite(t)
	s.tell(true, "a SERVING "+a.addr)
	sites := []*site{s, newSite(t), newSite(t)}
	for _, other := range sites {
		if other != s { // it asks the same bulletin
			other.bulletin.Close()
			other.bulletin, other.events = s.bulletin, s.events
		}
		other.sockets, other.of = 90, len(sites)
		other.start()
		serves(t, other, "a")
	}
	at := s.bulletin.Listener.Addr().String()
	s.bulletin.CloseClientConnections()
	s.bulletin.Listener.Close()
	for _, s := range sites {
		until(t, "discovery is missed", func() bool { return strings.Contains(s.log.String(), "list service unreachable") })
		for range 200 {
			s.front()
		}
		serves(t, s, "a")
		for range 60 {
			s.front()
		}
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	s.bulletin = &httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(s.poll)}}
	s.bulletin.Start()
	s.tell(false, "a DELETED "+a.addr, "b SERVING "+b.addr)
	for _, s := range sites {
		until(t, "it knows of the second event", func() bool { return strings.Contains(s.log.String(), "event=2 ") })
		for range 60 {
			s.front()
		}
		serves(t, s, "b")
		if strings.Contains(s.log.String(), "too many open files") {
			t.Error("a program ran out of descriptors")
		}
	}
}

// A further attempt whose client leaves while the connection for it is being made begins no more than a first one does.
func TestLeftWhileTriedAgain(t *testing.T) {
	breaks := make(chan struct{})
	first := newAgent(t, func(int, goLine) string { <-breaks; return hangUp })
	a, open := newLateAgent(t, echo)
	s := newSite(t)
	s.settings = [][2]string{{`"connectTimeoutMs":250`, `"connectTimeoutMs":4000`}}
	s.tell(true, "first SERVING "+first.addr)
	f := s.start().front()
	f.send(call("consulta", "gone"))
	until(t, "the request is at the first worker", func() bool { return len(first.had()) == 1 })
	s.told(false, "late SERVING "+a.addr, "first DRAINING "+first.addr)
	stays := s.front()
	stays.send(call("consulta", "stays"))
	close(breaks)
	time.Sleep(100 * time.Millisecond)
	f.c.Close()
	open()
	if got := stays.read(); got.body != "re:stays" {
		t.Errorf("the client that stayed got status %d", got.status)
	}
	if had := a.had(); len(had) != 1 {
		t.Errorf("the worker had %v, want the request of the client that stayed alone", had)
	}
}

// A request that waits for room is not sent when its client has left, whichever way it left.
func TestLeftWhileHeld(t *testing.T) {
	release := make(chan struct{})
	s, a := one(t, func(n int, g goLine) string { <-release; return echo(n, g) })
	first, cancels, closes, stays := s.front(), s.front(), s.front(), s.front()
	one := [2]string{"HTTP_X_SPEC", "lanes:1"} // a copy that runs one at a time, and is taken
	first.send(call("consulta", "first", one))
	until(t, "the first is at the worker", func() bool { return len(a.had()) == 1 })
	q := call("consulta", "gone", one)
	cancels.send(q)
	closes.send(call("consulta", "gone", one))
	stays.send(call("consulta", "stays", one))
	time.Sleep(50 * time.Millisecond)
	cancels.write(rec(2, q.id, 0, ""))
	cancels.read()
	closes.c.Close()
	time.Sleep(50 * time.Millisecond)
	close(release)
	for f, want := range map[*front]string{first: "re:first", stays: "re:stays"} {
		if got := f.read(); got.body != want {
			t.Errorf("status %d, %q, want %q", got.status, got.body, want)
		}
	}
	time.Sleep(300 * time.Millisecond)
	for _, g := range a.had() {
		if g.body == "gone" {
			t.Error("a request was sent on after its client had left")
		}
	}
}

// The answer of a worker that is removed meanwhile is passed on, and so is that of one which begins to drain.
func TestAnswerCrossesRemoval(t *testing.T) {
	release := make(chan struct{})
	a := newAgent(t, func(n int, g goLine) string { <-release; return echo(n, g) })
	b := newAgent(t, named("b"))
	s := newSite(t)
	s.tell(true, "a SERVING "+a.addr)
	f := s.start().front()
	f.send(call("certificado", "x"))
	until(t, "the request is at the worker", func() bool { return len(a.had()) == 1 })
	s.told(false, "a DRAINING "+a.addr, "b SERVING "+b.addr)
	s.told(false, "a DELETED "+a.addr)
	s.told(true, "b SERVING "+b.addr)
	close(release)
	if got := f.read(); got.body != "re:x" {
		t.Errorf("status %d, %q, want the answer of the worker that was removed", got.status, got.body)
	}
	serves(t, s, "b")
}

// A worker's close of a connection at rest, and a request that would go on it, are both there when the program looks:
// the request goes on another, in whichever order they came. It may not be repeated, so that a loss would show.
func TestCloseCrossesRequest(t *testing.T) {
	for _, c := range []struct {
		name  string
		after bool // the close comes after the request
	}{{"close first", false}, {"request first", true}} {
		t.Run(c.name, func(t *testing.T) {
			s, a := one(t, echo)
			f := s.front()
			f.send(call("certificado", "first"))
			f.read()
			s.stopped(func() {
				if !c.after {
					a.closeAll()
				}
				f.send(call("certificado", "x"))
				if c.after {
					a.closeAll()
				}
				time.Sleep(50 * time.Millisecond)
			})
			if got := f.read(); got.body != "re:x" {
				t.Errorf("status %d, %q, want it served on another connection", got.status, got.body)
			}
		})
	}
}

// An answer that comes when its request's time is over is nobody's: its client had one answer, and the next request on
// that connection gets its own.
func TestAnswerAfterItsTime(t *testing.T) {
	release := make(chan struct{})
	s, a := one(t, func(n int, g goLine) string {
		if n == 1 {
			<-release
		}
		return echo(n, g)
	})
	f := s.front()
	f.send(call("certificado", "late", [2]string{"HTTP_BUDGET_MS", "300"}))
	if got := f.read(); got.status != 502 {
		t.Errorf("status %d when its time was over, want a failure: it may have run", got.status)
	}
	close(release)
	for _, body := range []string{"a", "b", "c"} {
		f.send(call("certificado", body))
		if got := f.read(); got.body != "re:"+body {
			t.Errorf("status %d, %q, want the answer to %q", got.status, got.body, body)
		}
	}
	if had := a.had(); len(had) != 4 {
		t.Errorf("the worker had %d requests, want 4", len(had))
	}
}

// A new configuration without a class, or with other figures for it, does nothing to requests under way or to those
// that come: the settings that a scheduler runs with are those of its start.
func TestReloadWithoutAClass(t *testing.T) {
	release := make(chan struct{})
	s, a := one(t, func(n int, g goLine) string {
		if n == 1 {
			<-release
		}
		return echo(n, g)
	})
	f := s.front()
	f.send(call("certificado", "out"))
	until(t, "the request is at the worker", func() bool { return len(a.had()) == 1 })
	s.settings = [][2]string{
		{`"name":"certificado"`, `"name":"other"`},
		{`"effect":"non_idempotent"`, `"effect":"read_like"`},
		{`"hardLimitMs":3000`, `"hardLimitMs":30`},
	}
	s.configure()
	if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	until(t, "the configuration is read", func() bool { return strings.Contains(s.log.String(), "configuration read again") })
	close(release)
	if got := f.read(); got.body != "re:out" {
		t.Errorf("status %d for the request under way", got.status)
	}
	for class, want := range map[string]int{"certificado": 200, "consulta": 200, "other": 400} {
		f.send(call(class, "x"))
		if got := f.read(); got.status != want {
			t.Errorf("status %d for class %s, want %d", got.status, class, want)
		}
	}
}

// A scheduler that has no list yet is not ready, refuses what comes while its client can still go elsewhere, ends when
// it is told to, and serves as soon as it has one.
func TestBeforeTheFirstList(t *testing.T) {
	a := newAgent(t, echo)
	for _, c := range []struct {
		name  string
		ended bool
	}{{"serves when it has one", false}, {"ends without", true}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t)
			s.launch()
			var f *front
			until(t, "the program listens", func() bool {
				conn, err := net.Dial("tcp", s.addr)
				if err == nil {
					f = &front{t: t, c: conn, r: bufio.NewReader(conn)}
				}
				return err == nil
			})
			defer f.c.Close()
			for path, q := range map[string]request{"health": {id: 1, params: [][2]string{{"SCRIPT_NAME", "/health"}}}, "a request": call("certificado", "x", [2]string{"HTTP_BUDGET_MS", "400"})} {
				f.send(q)
				if got := f.read(); got.status != 503 {
					t.Errorf("status %d for %s without a list, want 503", got.status, path)
				}
			}
			if c.ended {
				if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
					t.Fatal(err)
				}
				s.endsWell()
				return
			}
			s.told(true, "a SERVING "+a.addr)
			f.send(call("certificado", "x"))
			if got := f.read(); got.body != "re:x" {
				t.Errorf("status %d once it has a list", got.status)
			}
		})
	}
}

// Events that an answer leaves out may say who drains: the list is read from its beginning. A service that does not
// have them any more is taken as it is.
func TestEventsLeftOut(t *testing.T) {
	for _, c := range []struct {
		name  string
		never bool // the service never brings them
	}{{"once", false}, {"for good", true}} {
		t.Run(c.name, func(t *testing.T) {
			a, b := newAgent(t, named("a")), newAgent(t, named("b"))
			s := newSite(t)
			s.tell(true, "a SERVING "+a.addr)
			s.start()
			serves(t, s, "a")
			s.mu.Lock()
			skips := func(w http.ResponseWriter) { fmt.Fprintf(w, `{"no":3,"items":[%s]}`, s.events[2]) }
			s.spoiled = append(s.spoiled, skips)
			if c.never {
				s.spoiled = append(s.spoiled, skips)
			}
			held := s.changed
			s.events = append(s.events, fmt.Sprintf(`{"no":2,"roster":{"rev":1,"all":false,"targets":[{"uid":"a","state":"DRAINING","endpoint":%q}]}}`, a.addr))
			s.events = append(s.events, fmt.Sprintf(`{"no":3,"roster":{"rev":1,"all":false,"targets":[{"uid":"b","state":"SERVING","endpoint":%q}]}}`, b.addr))
			s.changed = make(chan struct{})
			s.mu.Unlock()
			close(held)
			until(t, "the last event is known", func() bool { return strings.Contains(s.log.String(), "event=3 ") })
			if c.never {
				s.tell(false, "a DRAINING "+a.addr) // what comes after them is heard
			}
			serves(t, s, "b")
		})
	}
}

// Requests that are begun on many connections and never whole give up their buffers to those of others.
func TestHalfRequestsMakeRoom(t *testing.T) {
	a := newAgent(t, echo)
	s := newSite(t)
	s.memoryMB = 12 // 256 buffers
	s.tell(true, "a SERVING "+a.addr)
	s.start()
	asks := func() {
		t.Helper()
		f := s.front()
		f.send(call("consulta", "x"))
		if got := f.read(); got.body != "re:x" {
			t.Errorf("status %d, protocol status %d, want it served", got.status, got.proto)
		}
	}
	asks()
	for range 10 {
		f := s.front()
		for id := uint16(1); id <= 32; id++ {
			q := call("consulta", "half")
			q.id, q.open = id, true
			f.send(q)
		}
	}
	time.Sleep(500 * time.Millisecond) // they have 2 s
	asks()
}

// How long a stall may be that does not make the list old hangs on the grace that drains have: a scheduler between two
// asks that stands still for longer than that grace sends nothing to a worker that was told to drain meanwhile.
func TestDrainedDuringAStall(t *testing.T) {
	a, b := newAgent(t, named("a")), newAgent(t, named("b"))
	s := newSite(t)
	s.of = 300
	s.settings = [][2]string{{`"stopSendingWithinMs":1000`, `"stopSendingWithinMs":200`}}
	s.tell(true, "a SERVING "+a.addr)
	s.start()
	serves(t, s, "a")
	f := s.front()
	for round := range 5 {
		s.told(true, "a SERVING "+a.addr) // it has just been answered, and rests before it asks again
		s.stopped(func() {
			s.tell(true, "a DRAINING "+a.addr, "b SERVING "+b.addr)
			f.send(call("consulta", ""))
			time.Sleep(270 * time.Millisecond)
		})
		if got := f.read(); got.body != "b" {
			t.Errorf("round %d: %q answers 270 ms after a was told to drain, want b", round, got.body)
		}
	}
}

// Requests whose clients would wait for longer than the platform does get their final answer before it ends the
// program: a refusal where a repeat is harmless, a failure where it may not be repeated.
func TestAnsweredBeforeTheKill(t *testing.T) {
	a := newAgent(t, func(int, goLine) string { return "" })
	s := newSite(t)
	s.settings = [][2]string{{`"hardLimitMs":2500`, `"hardLimitMs":9000`}, {`"hardLimitMs":3000`, `"hardLimitMs":9000`}}
	s.tell(true, "a SERVING "+a.addr)
	s.start()
	want := map[string]int{"consulta": 503, "registro-horas": 503, "certificado": 502}
	fronts := map[string]*front{}
	for class := range want {
		f := s.front()
		q := call(class, "x")
		q.params[4][1] = q.param("HTTP_REQUEST_ID") // each of a function of its own, or some would be held
		f.send(q)
		fronts[class] = f
	}
	until(t, "all are at the worker", func() bool { return len(a.had()) >= len(want) })
	at := time.Now()
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for class, status := range want {
		if got := fronts[class].read(); got.status != status {
			t.Errorf("%s: status %d, want %d", class, got.status, status)
		}
	}
	// By what it says: the race detector keeps a process for a second beyond its end.
	until(t, "it ends", func() bool { return strings.Contains(s.log.String(), "scheduler ended") })
	if took := time.Since(at); took > 3700*time.Millisecond { // SIGKILL comes no sooner
		t.Errorf("ended %v after SIGTERM", took)
	}
	s.endsWell()
}

// Requests that come in pieces, those of two clients in turn, and answers that come in pieces are whole in the end. Each
// piece is a write of its own.
func TestInPieces(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() { // a worker that echoes, one byte at a time
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					words := strings.Fields(line)
					if err != nil || len(words) != 4 {
						return
					}
					size, _ := strconv.Atoi(words[3])
					body := make([]byte, size+2)
					if _, err := io.ReadFull(r, body); err != nil {
						return
					}
					for _, b := range []byte(answerLine(words[1], "OK", "depth=0,l=util:0.5", string(body[:size]))) {
						if _, err := c.Write([]byte{b}); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	s := newSite(t)
	s.tell(true, "a SERVING "+l.Addr().String())
	s.start()
	a, b := s.front(), s.front()
	first, second := call("certificado", "the first").bytes(), call("certificado", "the second").bytes()
	for i := range max(len(first), len(second)) {
		if i < len(first) {
			a.write(first[i : i+1])
		}
		if i < len(second) {
			b.write(second[i : i+1])
		}
	}
	for f, want := range map[*front]string{a: "the first", b: "the second"} {
		if got := f.read(); got.body != want {
			t.Errorf("status %d, %q, want %q", got.status, got.body, want)
		}
	}
}

// A second answer that comes some time after the first is nobody's, whether the first ended its request or had it tried
// again, and whatever comes on the connection next gets its own.
func TestSecondAnswerLate(t *testing.T) {
	for _, first := range []string{"OK", "MISS", "ERR"} {
		t.Run(first, func(t *testing.T) {
			var mu sync.Mutex
			second, at := "", "" // the second answer, and the worker that sends it before its next, on its first connection
			begun := false
			worker := func(name string) *nodeAgent {
				return newAgent(t, func(n int, g goLine) string {
					mu.Lock()
					defer mu.Unlock()
					if !begun {
						begun, at, second = true, name, answerLine(g.id, "OK", "-", "second")
						if first == "OK" {
							return echo(n, g)
						}
						return answerLine(g.id, first, "-", "")
					}
					before := ""
					if name == at && g.conn == 1 {
						before, second = second, ""
					}
					return before + echo(n, g)
				})
			}
			s := newSite(t)
			s.tell(true, "a SERVING "+worker("a").addr, "b SERVING "+worker("b").addr)
			s.start()
			f := s.front()
			f.send(call("consulta", "x"))
			if got := f.read(); got.body != "re:x" {
				t.Errorf("status %d, %q, want the first answer, or that of another attempt", got.status, got.body)
			}
			for _, body := range []string{"a", "b", "c", "d"} { // of functions that stand at either
				f.send(call("consulta", body, [2]string{"HTTP_RESOURCE_KEY", fmt.Sprintf("%016x", body[0])}))
				if got := f.read(); got.body != "re:"+body {
					t.Errorf("status %d, %q, want the answer to %q", got.status, got.body, body)
				}
			}
		})
	}
}
