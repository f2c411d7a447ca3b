package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// patient is how long a test waits for what must come. It is no bound on speed: a run that is right ends sooner.
const patient = 20 * time.Second

// TestMain lets the test binary be the program: the tests start it as a process of its own.
func TestMain(m *testing.M) {
	if os.Getenv("CALICOHILL_AS_PROGRAM") != "" {
		if os.Getenv("CALICOHILL_CONFINED") != "" {
			if err := confine(); err != nil {
				fmt.Fprintln(os.Stderr, "confine:", err)
				os.Exit(3)
			}
		}
		if n, err := strconv.ParseUint(os.Getenv("CALICOHILL_FILES"), 10, 31); err == nil {
			if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}); err != nil {
				fmt.Fprintln(os.Stderr, "descriptors:", err)
				os.Exit(3)
			}
		}
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// program runs the real program and collects what it logs.
func program(t *testing.T, args ...string) (*exec.Cmd, *lines) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd, log := exec.Command(self, args...), &lines{}
	cmd.Env = append(os.Environ(), "CALICOHILL_AS_PROGRAM=1", "ROUTER_CONFIG=", "ROUTER_NAME=", "ROUTER_LISTEN=", "CALICOHILL_OPERATOR=")
	cmd.Stdout, cmd.Stderr = log, log
	return cmd, log
}

const testSettings = `{"balancers":1,"rank":0,"az":0,"tickMs":4,"dcs":["here"],"shapes":["std"],
 "ceilings":{"attemptsCap":4,"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterMs":500,
  "multiplex":100,"idleCloseMs":%d,"connectTimeoutMs":250},
 "classes":[
  {"name":"consulta","aimMs":750,"hardLimitMs":3000,"worth":1,"lateWorth":0.1,"effect":"read_like"},
  {"name":"registro-horas","aimMs":600,"hardLimitMs":2500,"worth":3,"lateWorth":0.2,
   "effect":"idempotency_key","dedupScope":"all","memorySpanMs":2500},
  {"name":"certificado","aimMs":750,"hardLimitMs":2500,"worth":2,"lateWorth":0.3,"effect":"non_idempotent"}],
 "familyInfo":{"idleLifeMs":9000,"saysCompany":true,"whenAbsent":"load"},
 "report":{"fields":["util"],"how":"piggyback"},
 "safety":{"answerSlackMs":16,"coldMs":17000,"coldShare":0.25,"overloadForMs":2000,"stopSendingWithinMs":1000,
  "tipMultiple":3}}`

// site is a program at work, with its bulletin and agents.
type site struct {
	t        *testing.T
	addr     string
	cmd      *exec.Cmd
	log      *lines
	ended    chan error
	mu       sync.Mutex
	events   []string // of the bulletin
	changed  chan struct{}
	spoiled  []func(http.ResponseWriter) // answers to the next polls, in place of the events
	started  bool
	of       int // how many schedulers it is told that there are; 0 for itself alone
	stale    int // how many events the configuration holds; 0 for all
	idleMs   int
	sockets  int
	memoryMB int
	bulletin *httptest.Server
	config   string         // its file
	operator string         // the operator's; "" if none
	settings [][2]string    // what stands otherwise in the settings: old and new text
	polling  map[string]int // polls that are open, by the address of the bulletin
}

// lines collects what a program logs while it runs.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func newSite(t *testing.T) *site {
	s := &site{t: t, changed: make(chan struct{}), idleMs: 15000, sockets: 1024, memoryMB: 192, polling: map[string]int{}}
	s.bulletin = httptest.NewServer(http.HandlerFunc(s.poll))
	return s
}

// poll answers as the bulletin does.
func (s *site) poll(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("patience"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	at := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	s.count(at, 1)
	defer s.count(at, -1)
	for {
		s.mu.Lock()
		if len(s.spoiled) > 0 {
			answer := s.spoiled[0]
			s.spoiled = s.spoiled[1:]
			s.mu.Unlock()
			answer(w)
			return
		}
		text, news, changed := s.feed(after), after < len(s.events), s.changed
		s.mu.Unlock()
		if news {
			fmt.Fprint(w, text)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			fmt.Fprint(w, text)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// count keeps count of the polls that are open at a bulletin.
func (s *site) count(at string, n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polling[at] += n
	return s.polling[at]
}

func (s *site) feed(after int) string {
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, len(s.events), strings.Join(s.events[min(after, len(s.events)):], ","))
}

// tell adds an event to the bulletin: targets as "uid state address".
func (s *site) tell(all bool, targets ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, t := range targets {
		f := strings.Fields(t)
		list = append(list, fmt.Sprintf(`{"uid":%q,"state":%q,"endpoint":%q,"az":"here","model":"std","boot_ms":0}`,
			f[0], f[1], f[2]))
	}
	s.events = append(s.events, fmt.Sprintf(`{"no":%d,"roster":{"rev":1,"all":%v,"targets":[%s]}}`,
		len(s.events)+1, all, strings.Join(list, ",")))
	close(s.changed)
	s.changed = make(chan struct{})
}

// told adds an event and waits until the program has taken it in.
func (s *site) told(all bool, targets ...string) {
	s.t.Helper()
	s.tell(all, targets...)
	s.mu.Lock()
	want := fmt.Sprintf("event=%d", len(s.events))
	s.mu.Unlock()
	until(s.t, "the program knows of "+want, func() bool { return strings.Contains(s.log.String(), want) })
}

// configure writes the configuration, with the events told so far.
func (s *site) configure() {
	s.t.Helper()
	s.mu.Lock()
	known := s.feed(0)
	if s.stale > 0 {
		known = fmt.Sprintf(`{"no":%d,"items":[%s]}`, s.stale, strings.Join(s.events[:s.stale], ","))
	}
	settings := fmt.Sprintf(strings.Replace(testSettings, `"balancers":1`, `"balancers":`+strconv.Itoa(max(s.of, 1)), 1), s.idleMs)
	for _, c := range s.settings {
		if !strings.Contains(settings, c[0]) {
			s.t.Fatalf("no %s in the settings", c[0])
		}
		settings = strings.ReplaceAll(settings, c[0], c[1])
	}
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": s.addr, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": s.memoryMB, "sockets": s.sockets},
		"bulletin": s.bulletin.Listener.Addr().String(), "known": json.RawMessage(known),
		"settings": json.RawMessage(settings),
	})
	s.mu.Unlock()
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(s.config, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// launch runs the program with the events told so far.
func (s *site) launch() {
	s.t.Helper()
	if s.addr == "" {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.t.Fatal(err)
		}
		s.addr = l.Addr().String()
		l.Close()
	}
	s.config = filepath.Join(s.t.TempDir(), "config.json")
	s.configure()
	s.cmd, s.log = program(s.t, "-config", s.config, "--operator", s.operator)
	// As the platform does: it may hold no more than it is told.
	s.cmd.Env = append(s.cmd.Env, "CALICOHILL_FILES="+strconv.Itoa(s.sockets))
	if err := s.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.ended = make(chan error, 1)
	go func() { s.ended <- s.cmd.Wait() }()
	if !s.started {
		s.started = true
		s.t.Cleanup(s.stop)
	}
}

// start runs the program with the events told so far, and waits until it is healthy.
func (s *site) start() *site {
	s.t.Helper()
	s.launch()
	for end := time.Now().Add(patient); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", s.addr); err == nil {
			f := &front{t: s.t, c: c, r: bufio.NewReader(c)}
			f.send(request{id: 1, params: [][2]string{{"SCRIPT_NAME", "/health"}}})
			a := f.read()
			c.Close()
			if a.status == http.StatusOK {
				return s
			}
		}
	}
	s.t.Fatal("the program does not become healthy")
	return nil
}

// endsWell waits for the program to end by itself.
func (s *site) endsWell() {
	s.t.Helper()
	select {
	case err := <-s.ended:
		if s.ended <- err; err != nil {
			s.t.Errorf("ended with %v", err)
		}
	case <-time.After(patient):
		s.t.Error("the program does not end")
	}
}

// stop kills the program; one that has ended of its own accord must have said so with exit code 0.
func (s *site) stop() {
	s.cmd.Process.Kill()
	if err := <-s.ended; err != nil && !strings.Contains(err.Error(), "killed") {
		s.t.Errorf("the program ended with %v", err)
	}
	if strings.Contains(s.log.String(), "DATA RACE") || strings.Contains(s.log.String(), "panic:") {
		s.t.Error("the program raced or panicked")
	}
	s.bulletin.CloseClientConnections()
	s.bulletin.Close()
	if s.t.Failed() {
		s.t.Logf("log of the program:\n%s", s.log)
	}
}

// ---- an agent ----

// goLine is a request as an agent reads it.
type goLine struct {
	id     string
	fields map[string]string
	body   string
	conn   int // that it came on, from 1
}

// nodeAgent is a node agent. reply is called for each request with its number from 1; "" answers nothing.
type nodeAgent struct {
	addr  string
	l     net.Listener
	reply func(n int, g goLine) string
	// forgets is the rest after which a connection is reset by what comes next; 0 means none.
	forgets time.Duration

	mu     sync.Mutex
	seen   []goLine
	halted []string
	conns  int
	closed int
	open   map[net.Conn]bool
}

// hangUp is a reply that resets the connection.
const hangUp = "\x00"

func newAgent(t *testing.T, reply func(n int, g goLine) string) *nodeAgent {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &nodeAgent{addr: l.Addr().String(), l: l, reply: reply}
	t.Cleanup(func() { l.Close() })
	go a.accept()
	return a
}

func (a *nodeAgent) accept() {
	for {
		c, err := a.l.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.conns++
		n := a.conns
		a.mu.Unlock()
		go a.serve(c, n)
	}
}

// newLateAgent is an agent to which connections come up only once open is called, and then when the system asks for
// them the next time, some second after it did first: its queue of connections is full until then.
func newLateAgent(t *testing.T, reply func(n int, g goLine) string) (a *nodeAgent, open func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = errors.Join(err, raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }), err)
	}
	if err != nil {
		t.Fatal(err)
	}
	fill, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	a = &nodeAgent{addr: l.Addr().String(), l: l, reply: reply}
	return a, func() {
		fill.Close()
		if c, err := l.Accept(); err == nil { // what filled the queue
			c.Close()
		}
		go a.accept()
	}
}

// closeAll closes all connections.
func (a *nodeAgent) closeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.open {
		c.Close()
	}
}

func (a *nodeAgent) serve(c net.Conn, number int) {
	a.mu.Lock()
	if a.open == nil {
		a.open = map[net.Conn]bool{}
	}
	a.open[c] = true
	a.mu.Unlock()
	defer func() {
		c.Close()
		a.mu.Lock()
		delete(a.open, c)
		a.closed++
		a.mu.Unlock()
	}()
	var writing sync.Mutex
	last := time.Now()
	for r := bufio.NewReader(c); ; last = time.Now() {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if a.forgets > 0 && time.Since(last) > a.forgets {
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		words := strings.Split(strings.TrimSuffix(line, "\r\n"), " ")
		if words[0] == "halt" {
			a.mu.Lock()
			a.halted = append(a.halted, words[1])
			a.mu.Unlock()
			continue
		}
		g := goLine{id: words[1], conn: number, fields: map[string]string{}}
		for f := range strings.SplitSeq(words[2], ",") {
			name, value, _ := strings.Cut(f, "=")
			g.fields[name] = value
		}
		size, _ := strconv.Atoi(words[3])
		body := make([]byte, size+2)
		if _, err := io.ReadFull(r, body); err != nil || string(body[size:]) != "\r\n" {
			return
		}
		g.body = string(body[:size])
		a.mu.Lock()
		a.seen = append(a.seen, g)
		n := len(a.seen)
		a.mu.Unlock()
		go func() {
			text := a.reply(n, g)
			if text == hangUp {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
			writing.Lock()
			defer writing.Unlock()
			io.WriteString(c, text)
		}()
	}
}

// had is the requests that came so far.
func (a *nodeAgent) had() []goLine {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]goLine(nil), a.seen...)
}

func answerLine(id, word, fields, body string) string {
	return fmt.Sprintf("%s %s %s %d\r\n%s\r\n", id, word, fields, len(body), body)
}

// echo answers with the request's own body.
func echo(_ int, g goLine) string { return answerLine(g.id, "OK", "depth=0,l=util:0.5", "re:"+g.body) }

// ---- a client ----

type request struct {
	id      uint16
	params  [][2]string
	body    string
	role    byte // 0 means Responder
	padding byte
	long    bool // lengths of 4 bytes throughout
	open    bool // the body goes on
	once    bool // the connection is to end with it
}

// front is a client's connection.
type front struct {
	t *testing.T
	c net.Conn
	r *bufio.Reader
}

func (s *site) front() *front {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	return &front{t: s.t, c: c, r: bufio.NewReader(c)}
}

// slowFront is a client's connection that the system takes little for until it is read.
func (s *site) slowFront() *front {
	s.t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		return errors.Join(c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) }), err)
	}}
	c, err := d.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	return &front{t: s.t, c: c, r: bufio.NewReader(c)}
}

func rec(kind byte, id uint16, padding byte, content string) []byte {
	b := []byte{1, kind, byte(id >> 8), byte(id), byte(len(content) >> 8), byte(len(content)), padding, 0}
	return append(append(b, content...), make([]byte, padding)...)
}

func (q request) bytes() []byte {
	keep := byte(1)
	if q.once {
		keep = 0
	}
	b := rec(1, q.id, q.padding, string([]byte{0, max(q.role, 1), keep, 0, 0, 0, 0, 0}))
	var params []byte
	for _, p := range q.params {
		for _, part := range p {
			if n := len(part); n > 127 || q.long {
				params = binary.BigEndian.AppendUint32(params, uint32(n)|1<<31)
			} else {
				params = append(params, byte(n))
			}
		}
		params = append(append(params, p[0]...), p[1]...)
	}
	b = append(append(b, rec(4, q.id, q.padding, string(params))...), rec(4, q.id, 0, "")...)
	if q.body != "" {
		b = append(b, rec(5, q.id, q.padding, q.body)...)
	}
	if !q.open {
		b = append(b, rec(5, q.id, 0, "")...)
	}
	return b
}

func (f *front) send(q request) { f.write(q.bytes()) }

func (f *front) write(b []byte) {
	if _, err := f.c.Write(b); err != nil {
		f.t.Errorf("client: %v", err)
	}
}

// gone reads on and reports whether the connection was ended.
func (f *front) gone() bool {
	for {
		_, _, _, err := f.record()
		var late net.Error
		if err != nil {
			return !errors.As(err, &late) || !late.Timeout()
		}
	}
}

// answer is an answer as a client reads it.
type answer struct {
	id     uint16
	status int // 0 where nothing came in STDOUT
	header http.Header
	body   string
	proto  byte
}

// record reads one record.
func (f *front) record() (kind byte, id uint16, content []byte, err error) {
	f.c.SetReadDeadline(time.Now().Add(patient))
	h := make([]byte, 8)
	if _, err = io.ReadFull(f.r, h); err != nil {
		return
	}
	content = make([]byte, int(binary.BigEndian.Uint16(h[4:]))+int(h[6]))
	_, err = io.ReadFull(f.r, content)
	return h[1], binary.BigEndian.Uint16(h[2:]), content[:len(content)-int(h[6])], err
}

// read reads the records up to the next END_REQUEST. Answers must not interleave here.
func (f *front) read() (a answer) {
	f.t.Helper()
	var out []byte
	for {
		kind, id, content, err := f.record()
		switch {
		case err != nil:
			f.t.Errorf("client: reading an answer: %v", err)
			return a
		case kind == 6:
			out = append(out, content...)
			continue
		case kind != 3:
			f.t.Errorf("client: record of type %d", kind)
			return a
		}
		a.id, a.proto = id, content[4]
		head, body, _ := strings.Cut(string(out), "\r\n\r\n")
		a.body, a.header = body, http.Header{}
		for _, l := range strings.Split(head, "\r\n") {
			name, value, _ := strings.Cut(l, ": ")
			a.header.Set(name, value)
		}
		a.status, _ = strconv.Atoi(strings.SplitN(a.header.Get("Status"), " ", 2)[0])
		return a
	}
}

var lastID struct {
	sync.Mutex
	n uint64
}

// call is a request of a class with a fresh id; change edits parameters, and drops those set to "-".
func call(class string, body string, change ...[2]string) request {
	lastID.Lock()
	lastID.n++
	q := request{id: 1, body: body, params: [][2]string{
		{"SCRIPT_NAME", "/rpc/" + class},
		{"HTTP_REQUEST_ID", fmt.Sprintf("%016x", lastID.n)},
		{"HTTP_BUDGET_MS", "9000"},
		{"HTTP_ONCE_KEY", fmt.Sprintf("%032x", lastID.n)},
		{"HTTP_RESOURCE_KEY", "7f3a9c21e0b4d655"},
		{"HTTP_X_SPEC", "memory_mb:512;lanes:2"},
	}}
	lastID.Unlock()
	for _, c := range change {
		found := false
		for i := range q.params {
			if q.params[i][0] == c[0] {
				q.params[i][1], found = c[1], true
			}
		}
		if !found {
			q.params = append(q.params, c)
		}
	}
	kept := q.params[:0]
	for _, p := range q.params {
		if p[1] != "-" {
			kept = append(kept, p)
		}
	}
	q.params = kept
	return q
}

func (q request) param(name string) string {
	for _, p := range q.params {
		if p[0] == name {
			return p[1]
		}
	}
	return ""
}
