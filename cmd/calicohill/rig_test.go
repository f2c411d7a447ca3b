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
const waitTimeout = 20 * time.Second

// The environment variables by which the tests start their own binary as the program.
const (
	asProgramVariable = "CALICOHILL_AS_PROGRAM" // set: run the program
	confinedVariable  = "CALICOHILL_CONFINED"   // set: under the platform's system call filter
	filesVariable     = "CALICOHILL_FILES"      // maximum number of open descriptors
)

// exitHarness is the exit code for a failure to set up the program's process.
const exitHarness = 3

// TestMain lets the test binary be the program: the tests start it as a process of its own.
func TestMain(m *testing.M) {
	if os.Getenv(asProgramVariable) == "" {
		os.Exit(m.Run())
	}
	if err := limitProcess(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitHarness)
	}
	main()
	os.Exit(0)
}

// limitProcess applies the limits of the environment variables to this process.
func limitProcess() error {
	if os.Getenv(confinedVariable) != "" {
		if err := confine(); err != nil {
			return fmt.Errorf("confine: %w", err)
		}
	}
	files, err := strconv.ParseUint(os.Getenv(filesVariable), 10, 31)
	if err != nil {
		return nil // not limited
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: files, Max: files}); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	return nil
}

// resetOnClose has the closing of a connection reset it. It fails only if the connection is closed already.
func resetOnClose(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }

// setReadDeadline lets reads from a connection fail after waitTimeout.
func setReadDeadline(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
}

// program runs the real program and collects what it logs.
func program(t *testing.T, args ...string) (*exec.Cmd, *logBuffer) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd, log := exec.Command(self, args...), &logBuffer{}
	cmd.Env = append(os.Environ(), asProgramVariable+"=1", "ROUTER_CONFIG=", "ROUTER_NAME=", "ROUTER_LISTEN=", "CALICOHILL_OPERATOR=")
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
type testScheduler struct {
	t             *testing.T
	addr          string
	cmd           *exec.Cmd
	log           *logBuffer
	ended         chan error
	mu            sync.Mutex
	events        []string // of the bulletin
	changed       chan struct{}
	pollOverrides []func(http.ResponseWriter) // answers to the next polls, in place of the events
	started       bool
	schedulers    int // how many schedulers it is told that there are; 0 for itself alone
	knownEvents   int // how many events the configuration holds; 0 for all
	idleMs        int
	maxSockets    int
	memoryMB      int
	bulletin      *httptest.Server
	configFile    string         // its file
	operatorFile  string         // the operator's; "" if none
	settingsEdits [][2]string    // what stands otherwise in the settings: old and new text
	openPolls     map[string]int // polls that are open, by the address of the bulletin
}

// lines collects what a program logs while it runs.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func newTestScheduler(t *testing.T) *testScheduler {
	sched := &testScheduler{t: t, changed: make(chan struct{}), idleMs: 15000, maxSockets: 1024, memoryMB: 192, openPolls: map[string]int{}}
	sched.bulletin = httptest.NewServer(http.HandlerFunc(sched.poll))
	return sched
}

// poll answers as the bulletin does.
func (s *testScheduler) poll(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("patience"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	address := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	s.countPoll(address, 1)
	defer s.countPoll(address, -1)
	for {
		s.mu.Lock()
		if len(s.pollOverrides) > 0 {
			answer := s.pollOverrides[0]
			s.pollOverrides = s.pollOverrides[1:]
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
func (s *testScheduler) countPoll(address string, n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openPolls[address] += n
	return s.openPolls[address]
}

func (s *testScheduler) feed(after int) string {
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, len(s.events), strings.Join(s.events[min(after, len(s.events)):], ","))
}

// tell adds an event to the bulletin: targets as "uid state address".
func (s *testScheduler) addEvent(all bool, targets ...string) {
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
func (s *testScheduler) addEventAndWait(all bool, targets ...string) {
	s.t.Helper()
	s.addEvent(all, targets...)
	s.mu.Lock()
	want := fmt.Sprintf("event=%d", len(s.events))
	s.mu.Unlock()
	waitUntil(s.t, "the program knows of "+want, func() bool { return strings.Contains(s.log.String(), want) })
}

// configure writes the configuration, with the events told so far.
func (s *testScheduler) configure() {
	s.t.Helper()
	s.mu.Lock()
	known := s.feed(0)
	if s.knownEvents > 0 {
		known = fmt.Sprintf(`{"no":%d,"items":[%s]}`, s.knownEvents, strings.Join(s.events[:s.knownEvents], ","))
	}
	settings := fmt.Sprintf(strings.Replace(testSettings, `"balancers":1`, `"balancers":`+strconv.Itoa(max(s.schedulers, 1)), 1), s.idleMs)
	for _, c := range s.settingsEdits {
		if !strings.Contains(settings, c[0]) {
			s.t.Fatalf("no %s in the settings", c[0])
		}
		settings = strings.ReplaceAll(settings, c[0], c[1])
	}
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": s.addr, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": s.memoryMB, "sockets": s.maxSockets},
		"bulletin": s.bulletin.Listener.Addr().String(), "known": json.RawMessage(known),
		"settings": json.RawMessage(settings),
	})
	s.mu.Unlock()
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(s.configFile, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// launch runs the program with the events told so far.
func (s *testScheduler) launch() {
	s.t.Helper()
	if s.addr == "" {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.t.Fatal(err)
		}
		s.addr = listener.Addr().String()
		listener.Close()
	}
	s.configFile = filepath.Join(s.t.TempDir(), "config.json")
	s.configure()
	s.cmd, s.log = program(s.t, "-config", s.configFile, "--operator", s.operatorFile)
	// As the platform does: it may hold no more than it is told.
	s.cmd.Env = append(s.cmd.Env, filesVariable+"="+strconv.Itoa(s.maxSockets))
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
func (s *testScheduler) start() *testScheduler {
	s.t.Helper()
	s.launch()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp", s.addr); err == nil {
			client := &testClient{t: s.t, conn: conn, reader: bufio.NewReader(conn)}
			client.send(clientRequest{id: 1, params: [][2]string{{"SCRIPT_NAME", "/health"}}})
			answer := client.readAnswer()
			conn.Close()
			if answer.status == http.StatusOK {
				return s
			}
		}
	}
	s.t.Fatal("the program does not become healthy")
	return nil
}

// endsWell waits for the program to end by itself.
func (s *testScheduler) waitForExit() {
	s.t.Helper()
	select {
	case err := <-s.ended:
		if s.ended <- err; err != nil {
			s.t.Errorf("ended with %v", err)
		}
	case <-time.After(waitTimeout):
		s.t.Error("the program does not end")
	}
}

// stop kills the program; one that has ended of its own accord must have said so with exit code 0.
func (s *testScheduler) stop() {
	_ = s.cmd.Process.Kill() // fails if it has ended
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
type agentRequest struct {
	id     string
	fields map[string]string
	body   string
	conn   int // that it came on, from 1
}

// nodeAgent is a node agent. reply is called for each request with its number from 1; "" answers nothing.
type nodeAgent struct {
	addr     string
	listener net.Listener
	reply    func(n int, g agentRequest) string
	// forgets is the rest after which a connection is reset by what comes next; 0 means none.
	idleReset time.Duration

	mu     sync.Mutex
	seen   []agentRequest
	halted []string
	conns  int
	closed int
	open   map[net.Conn]bool
}

// hangUp is a reply that resets the connection.
const resetConnection = "\x00"

func newAgent(t *testing.T, reply func(n int, request agentRequest) string) *nodeAgent {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	agent := &nodeAgent{addr: listener.Addr().String(), listener: listener, reply: reply}
	t.Cleanup(func() { listener.Close() })
	go agent.accept()
	return agent
}

func (a *nodeAgent) accept() {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.conns++
		n := a.conns
		a.mu.Unlock()
		go a.serve(conn, n)
	}
}

// newLateAgent is an agent to which connections come up only once open is called, and then when the system asks for
// them the next time, some second after it did first: its queue of connections is full until then.
func newLateAgent(t *testing.T, reply func(n int, request agentRequest) string) (agent *nodeAgent, open func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = errors.Join(err, raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }), err)
	}
	if err != nil {
		t.Fatal(err)
	}
	fill, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	agent = &nodeAgent{addr: listener.Addr().String(), listener: listener, reply: reply}
	return agent, func() {
		fill.Close()
		if conn, err := listener.Accept(); err == nil { // what filled the queue
			conn.Close()
		}
		go agent.accept()
	}
}

// closeAll closes all connections.
func (a *nodeAgent) closeConns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for conn := range a.open {
		conn.Close()
	}
}

func (a *nodeAgent) serve(conn net.Conn, number int) {
	a.mu.Lock()
	if a.open == nil {
		a.open = map[net.Conn]bool{}
	}
	a.open[conn] = true
	a.mu.Unlock()
	defer func() {
		conn.Close()
		a.mu.Lock()
		delete(a.open, conn)
		a.closed++
		a.mu.Unlock()
	}()
	var writing sync.Mutex
	last := time.Now()
	for reader := bufio.NewReader(conn); ; last = time.Now() {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if a.idleReset > 0 && time.Since(last) > a.idleReset {
			resetOnClose(conn)
			return
		}
		words := strings.Split(strings.TrimSuffix(line, "\r\n"), " ")
		if words[0] == "halt" {
			a.mu.Lock()
			a.halted = append(a.halted, words[1])
			a.mu.Unlock()
			continue
		}
		request := agentRequest{id: words[1], conn: number, fields: map[string]string{}}
		for f := range strings.SplitSeq(words[2], ",") {
			name, value, _ := strings.Cut(f, "=")
			request.fields[name] = value
		}
		size, _ := strconv.Atoi(words[3])
		body := make([]byte, size+2)
		if _, err := io.ReadFull(reader, body); err != nil || string(body[size:]) != "\r\n" {
			return
		}
		request.body = string(body[:size])
		a.mu.Lock()
		a.seen = append(a.seen, request)
		n := len(a.seen)
		a.mu.Unlock()
		go func() {
			text := a.reply(n, request)
			if text == resetConnection {
				resetOnClose(conn)
				conn.Close()
			}
			writing.Lock()
			defer writing.Unlock()
			_, _ = io.WriteString(conn, text) // fails if the scheduler has closed the connection
		}()
	}
}

// had is the requests that came so far.
func (a *nodeAgent) received() []agentRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]agentRequest(nil), a.seen...)
}

func answerLine(id, word, fields, body string) string {
	return fmt.Sprintf("%s %s %s %d\r\n%s\r\n", id, word, fields, len(body), body)
}

// echo answers with the request's own body.
func echo(_ int, request agentRequest) string {
	return answerLine(request.id, "OK", "depth=0,l=util:0.5", "re:"+request.body)
}

// ---- a client ----

type clientRequest struct {
	id          uint16
	params      [][2]string
	body        string
	role        byte // 0 means Responder
	padding     byte
	longLengths bool // lengths of 4 bytes throughout
	bodyOpen    bool // the body goes on
	closeAfter  bool // the connection is to end with it
}

// front is a client's connection.
type testClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (s *testScheduler) connect() *testClient {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	return &testClient{t: s.t, conn: conn, reader: bufio.NewReader(conn)}
}

// slowFront is a client's connection that the system takes little for until it is read.
func (s *testScheduler) connectSlowReader() *testClient {
	s.t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		return errors.Join(c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) }), err)
	}}
	conn, err := d.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	return &testClient{t: s.t, conn: conn, reader: bufio.NewReader(conn)}
}

func encodeRecord(kind byte, id uint16, padding byte, content string) []byte {
	data := []byte{1, kind, byte(id >> 8), byte(id), byte(len(content) >> 8), byte(len(content)), padding, 0}
	return append(append(data, content...), make([]byte, padding)...)
}

func (q clientRequest) bytes() []byte {
	keep := byte(1)
	if q.closeAfter {
		keep = 0
	}
	data := encodeRecord(1, q.id, q.padding, string([]byte{0, max(q.role, 1), keep, 0, 0, 0, 0, 0}))
	var params []byte
	for _, p := range q.params {
		for _, part := range p {
			if n := len(part); n > 127 || q.longLengths {
				params = binary.BigEndian.AppendUint32(params, uint32(n)|1<<31)
			} else {
				params = append(params, byte(n))
			}
		}
		params = append(append(params, p[0]...), p[1]...)
	}
	data = append(append(data, encodeRecord(4, q.id, q.padding, string(params))...), encodeRecord(4, q.id, 0, "")...)
	if q.body != "" {
		data = append(data, encodeRecord(5, q.id, q.padding, q.body)...)
	}
	if !q.bodyOpen {
		data = append(data, encodeRecord(5, q.id, 0, "")...)
	}
	return data
}

func (f *testClient) send(request clientRequest) { f.write(request.bytes()) }

func (f *testClient) write(data []byte) {
	if _, err := f.conn.Write(data); err != nil {
		f.t.Errorf("client: %v", err)
	}
}

// gone reads on and reports whether the connection was ended.
func (f *testClient) closedByServer() bool {
	for {
		_, _, _, err := f.readRecord()
		var late net.Error
		if err != nil {
			return !errors.As(err, &late) || !late.Timeout()
		}
	}
}

// answer is an answer as a client reads it.
type clientAnswer struct {
	id             uint16
	status         int // 0 where nothing came in STDOUT
	header         http.Header
	body           string
	protocolStatus byte
}

// record reads one record.
func (f *testClient) readRecord() (kind byte, id uint16, content []byte, err error) {
	if err = f.conn.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		return 0, 0, nil, err
	}
	header := make([]byte, 8)
	if _, err = io.ReadFull(f.reader, header); err != nil {
		return 0, 0, nil, err
	}
	content = make([]byte, int(binary.BigEndian.Uint16(header[4:]))+int(header[6]))
	_, err = io.ReadFull(f.reader, content)
	return header[1], binary.BigEndian.Uint16(header[2:]), content[:len(content)-int(header[6])], err
}

// read reads the records up to the next END_REQUEST. Answers must not interleave here.
func (f *testClient) readAnswer() (answer clientAnswer) {
	f.t.Helper()
	var out []byte
	for {
		kind, id, content, err := f.readRecord()
		switch {
		case err != nil:
			f.t.Errorf("client: reading an answer: %v", err)
			return answer
		case kind == 6:
			out = append(out, content...)
			continue
		case kind != 3:
			f.t.Errorf("client: record of type %d", kind)
			return answer
		}
		answer.id, answer.protocolStatus = id, content[4]
		head, body, _ := strings.Cut(string(out), "\r\n\r\n")
		answer.body, answer.header = body, http.Header{}
		for _, l := range strings.Split(head, "\r\n") {
			name, value, _ := strings.Cut(l, ": ")
			answer.header.Set(name, value)
		}
		answer.status, _ = strconv.Atoi(strings.SplitN(answer.header.Get("Status"), " ", 2)[0])
		return answer
	}
}

var lastID struct {
	sync.Mutex
	n uint64
}

// call is a request of a class with a fresh id; change edits parameters, and drops those set to "-".
func newCall(class string, body string, change ...[2]string) clientRequest {
	lastID.Lock()
	lastID.n++
	request := clientRequest{id: 1, body: body, params: [][2]string{
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
		for i := range request.params {
			if request.params[i][0] == c[0] {
				request.params[i][1], found = c[1], true
			}
		}
		if !found {
			request.params = append(request.params, c)
		}
	}
	kept := request.params[:0]
	for _, p := range request.params {
		if p[1] != "-" {
			kept = append(kept, p)
		}
	}
	request.params = kept
	return request
}

func (q clientRequest) param(name string) string {
	for _, p := range q.params {
		if p[0] == name {
			return p[1]
		}
	}
	return ""
}
