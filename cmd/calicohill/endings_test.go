package main

import (
	"testing"
	"time"
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
