package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"calicohill/internal/snapshot/snapshotfile"
)

// keeping is a site whose scheduler keeps its list, in the file that is returned.
func keeping(t *testing.T, dir string) (*site, string) {
	t.Helper()
	file := filepath.Join(dir, "n0.list")
	s := newSite(t)
	s.operator = filepath.Join(t.TempDir(), "own.conf")
	text := "state\n  snapshot " + file + "\n  fleet gt-registros\n  max-age 1h\n"
	if err := os.WriteFile(s.operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return s, file
}

// kept is the number of the last event in a file, 0 if there is none. A file that does not count is an error.
func kept(t *testing.T, file string) int {
	t.Helper()
	r, err := snapshotfile.Read(file, "gt-registros", time.Duration(time.Now().UnixNano()), time.Hour)
	if err != nil {
		t.Fatalf("what was kept does not count: %v", err)
	}
	return r.EventNumber
}

// killed kills the program without a word.
func (s *site) killed() {
	s.cmd.Process.Kill()
	s.ended <- <-s.ended // for the end of the test
}

// A list that was kept serves after a crash where it is newer than the configuration's, also while the list service is
// down: who drains in it gets nothing, who is new in it gets work. Once the service counts anew its own list goes.
func TestSnapshot(t *testing.T) {
	a, b, c := newAgent(t, named("a")), newAgent(t, named("b")), newAgent(t, named("c"))
	s, file := keeping(t, t.TempDir())
	s.tell(true, "a SERVING "+a.addr)
	s.start()
	s.tell(false, "a DRAINING "+a.addr, "b SERVING "+b.addr)
	serves(t, s, "b")
	until(t, "the list is kept", func() bool { return kept(t, file) == 2 })
	s.killed()
	had := len(a.had())

	s.bulletin.CloseClientConnections()
	s.bulletin.Close()
	s.stale = 1
	s.start()
	for i := range 10 {
		f := s.front()
		f.send(call("consulta", fmt.Sprint(i)))
		if got := f.read(); got.body != "b" {
			t.Errorf("after a crash, without the list service: status %d, body %q", got.status, got.body)
		}
	}
	if got := len(a.had()); got != had {
		t.Errorf("%d requests went to a worker that drained before the crash", got-had)
	}

	// The service comes back empty and counts from 1 again.
	s.mu.Lock()
	s.events = nil
	s.mu.Unlock()
	s.tell(true, "c SERVING "+c.addr)
	s.bulletin = httptest.NewServer(http.HandlerFunc(s.poll))
	s.killed()
	s.stale = 0
	s.start()
	serves(t, s, "c")
	if !strings.Contains(s.log.String(), "event numbers restarted") {
		t.Error("the log does not say that the list service counts anew")
	}
}

// What was learned is kept with the list: after a crash calls go where copies of their functions stood, and begin no
// loads at a worker that came since.
func TestSnapshotOfWhatWasLearned(t *testing.T) {
	a, b := newAgent(t, named("a")), newAgent(t, named("b"))
	s, file := keeping(t, t.TempDir())
	s.tell(true, "b SERVING "+b.addr)
	s.start()
	ask := func() {
		for i := range 12 {
			f := s.front()
			f.send(call("consulta", "x", [2]string{"HTTP_RESOURCE_KEY", fmt.Sprintf("%016x", i+1)}))
			if got := f.read(); got.body != "b" {
				t.Errorf("function %d: status %d, body %q", i+1, got.status, got.body)
			}
		}
	}
	ask()
	s.tell(false, "a SERVING "+a.addr)
	until(t, "the list is kept", func() bool { return kept(t, file) == 2 })
	s.killed()
	s.start()
	ask()
	if n := len(a.had()); n > 0 {
		t.Errorf("%d calls went where no copy stood", n)
	}
}

// What is kept and does not count is set aside with one line, and what cannot be kept is said once; the start and the
// service go on without.
func TestSnapshotOfNoUse(t *testing.T) {
	a := newAgent(t, named("a"))
	dir := t.TempDir()
	for _, c := range []struct {
		name, line string
		prepare    func(t *testing.T, file string)
	}{
		{"torn", "snapshot set aside", func(t *testing.T, file string) {
			if err := os.WriteFile(file, []byte("calicohill snapshot 1\nabcd{"), 0o600); err != nil {
				t.Fatal(err)
			}
		}},
		{"a folder", "snapshot set aside", func(t *testing.T, file string) {
			if err := os.MkdirAll(filepath.Join(file, "x"), 0o700); err != nil {
				t.Fatal(err)
			}
		}},
		{"no folder for it", "snapshot write failed, keeping the previous file", func(t *testing.T, file string) {
			if err := os.RemoveAll(filepath.Dir(file)); err != nil {
				t.Fatal(err)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sub := filepath.Join(dir, strings.ReplaceAll(c.name, " ", "-"))
			if err := os.Mkdir(sub, 0o700); err != nil {
				t.Fatal(err)
			}
			s, file := keeping(t, sub)
			c.prepare(t, file)
			s.tell(true, "a SERVING "+a.addr)
			s.start()
			serves(t, s, "a")
			until(t, "the log says "+c.line, func() bool { return strings.Contains(s.log.String(), c.line) })
			if n := strings.Count(s.log.String(), c.line); n != 1 {
				t.Errorf("%q stands %d times in the log", c.line, n)
			}
		})
	}
}

// kill -9 while the list changes without end: what stands in the file counts each time, and is never older than what
// stood there before.
func TestSnapshotKilled(t *testing.T) {
	a := newAgent(t, named("a"))
	s, file := keeping(t, t.TempDir())
	s.tell(true, "a SERVING "+a.addr)
	rng, last := rand.New(rand.NewPCG(1, 1)), 0
	for range 8 {
		s.start()
		for end := time.Now().Add(time.Duration(rng.IntN(400)) * time.Millisecond); time.Now().Before(end); {
			s.tell(false, "a SERVING "+a.addr, fmt.Sprintf("w%d SERVING %s", rng.IntN(1000), a.addr))
			time.Sleep(time.Millisecond)
		}
		s.killed()
		no := kept(t, file)
		if no < last {
			t.Errorf("event %d is kept, after %d", no, last)
		}
		last = no
	}
	if last < 2 {
		t.Error("nothing was kept")
	}
}
