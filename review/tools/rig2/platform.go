package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{file: file, start: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// say adds a line to the record and prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// target is a node agent in the bulletin.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

type event struct {
	Number int            `json:"no"`
	Roster map[string]any `json:"roster"`
}

// bulletin is a stand-in of the list service.
type bulletin struct {
	listener net.Listener
	mu       sync.Mutex
	changed  chan struct{}
	events   []event
}

func newBulletin(targets []target) *bulletin {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("bulletin: %v", err)
	}
	b := &bulletin{listener: listener, changed: make(chan struct{})}
	b.publish(true, targets)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /bulletins", b.serve)
	go func() { _ = http.Serve(listener, mux) }()
	return b
}

func (b *bulletin) publish(all bool, targets []target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.events) + 1
	b.events = append(b.events, event{n, map[string]any{"rev": n, "all": all, "targets": targets}})
	close(b.changed)
	b.changed = make(chan struct{})
}

// after returns the events after a number, in the form of an answer.
func (b *bulletin) after(number int) (answer map[string]any, changed chan struct{}, some bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.events[min(number, len(b.events)):]
	return map[string]any{"no": len(b.events), "items": append([]event{}, items...)}, b.changed, len(items) > 0
}

func (b *bulletin) serve(w http.ResponseWriter, r *http.Request) {
	number, _ := strconv.Atoi(r.FormValue("after"))
	patience, _ := strconv.Atoi(r.FormValue("patience"))
	answer, changed, some := b.after(number)
	if !some {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(patience, 5000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		answer, _, _ = b.after(number)
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// platform starts and ends the processes of a case.
type platform struct {
	root   string // of the project
	folder string // of the case
	temp   string
	rec    *record
	run    string // of the deploy file
	procs  []*exec.Cmd
}

func newPlatform(folder string, rec *record) *platform {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		cannotRun("%v", err)
	}
	temp, err := os.MkdirTemp("", "case")
	if err != nil {
		cannotRun("%v", err)
	}
	p := &platform{root: root, folder: folder, temp: temp, rec: rec}
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		cannotRun("%v", err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			p.run, _ = strconv.Unquote(strings.TrimSpace(value))
		}
	}
	if p.run == "" {
		cannotRun("no run line in the deploy file")
	}
	return p
}

// settings are those of a small deployment: the classes and figures of gt-registros.
const settings = `{
 "az":0,"balancers":1,"rank":0,"tickMs":4,"layer":0,"tiers":["trabajadores"],"dcs":["guate-zona4"],
 "shapes":["std-3c","slow-3c"],"discovery":"pushed","weights":"rough","workload":"warm","worthBy":"request",
 "overShareWorth":0.1,"tenants":[],"callers":{"marksRetry":false},
 "ceilings":{"attemptsCap":4,"cancel":true,"connectTimeoutMs":250,"cpuUsPerRequest":0,"cpuUsPerS":500000,
  "idleCloseMs":15000,"maxRetryAfterMs":500,"multiplex":100,"openCap":29419,"peerMessages":false,"probes":true,
  "retryAfter":true,"secondCopies":true},
 "classes":[
  {"name":"consulta","aimMs":750,"hardLimitMs":3000,"worth":1,"lateWorth":0.1,"effect":"read_like","dedupScope":"all","memorySpanMs":5000,"stream":false},
  {"name":"registro-horas","aimMs":600,"hardLimitMs":2500,"worth":3,"lateWorth":0.2,"effect":"idempotency_key","dedupScope":"all","memorySpanMs":2500,"stream":false},
  {"name":"certificado","aimMs":750,"hardLimitMs":2500,"worth":2,"lateWorth":0.3,"effect":"non_idempotent","dedupScope":"all","memorySpanMs":5000,"stream":false}],
 "familyInfo":{"answerWithinMs":10000,"idleLifeMs":9000,"idlePrice":0.15,"loadRatio":0,"loadWindowMs":0,"loadsAnyway":0,
  "mayLoad":false,"ramMbByKind":[9280,9280],"saysCompany":true,"saysWarm":false,"whenAbsent":"load"},
 "fees":{"probe":0.008,"waste":0.025,"lateFail":0.027,"origin":0.03},
 "report":{"fields":["util"],"how":"piggyback"},
 "safety":{"answerSlackMs":16,"askWithinMs":10000,"coldMs":17000,"coldShare":0.25,"overloadForMs":2000,
  "stopSendingWithinMs":1000,"tipMultiple":3}}`

// scheduler is a running scheduler.
type scheduler struct {
	listen string
	pid    int
	ended  chan struct{}
}

// start starts a scheduler by the deploy file's run line.
func (p *platform) start(name, bulletinAddr string, known map[string]any, memoryMB, sockets int) *scheduler {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	listen := probe.Addr().String()
	_ = probe.Close()
	config, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "seed": "8c1f30d27a5be964", "bulletin": bulletinAddr, "known": known,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"settings": json.RawMessage(settings),
	})
	if err != nil {
		cannotRun("%v", err)
	}
	path := filepath.Join(p.temp, name+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		cannotRun("%v", err)
	}
	log, err := os.Create(filepath.Join(p.temp, name+".log"))
	if err != nil {
		cannotRun("%v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", p.run)
	cmd.Dir = p.root
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "ROUTER_NAME="+name, "ROUTER_LISTEN="+listen, "TMPDIR="+p.temp)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		cannotRun("scheduler: %v", err)
	}
	p.procs = append(p.procs, cmd)
	s := &scheduler{listen: listen, pid: cmd.Process.Pid, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(s.ended)
	}()
	return s
}

// awaitReady waits until a scheduler answers /health with 200.
func (s *scheduler) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		conn, err := net.Dial("tcp", s.listen)
		if err != nil {
			continue
		}
		client := newClient(conn)
		reply := client.do(request{path: "/health", budget: time.Second})
		_ = conn.Close()
		if reply.status == 200 {
			return
		}
	}
	cannotRun("the scheduler is not ready")
}

// memory returns the resident memory of the scheduler in MB, as /proc tells it under a name such as VmRSS.
func (s *scheduler) memory(name string) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

func (s *scheduler) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// end ends all processes and removes the temporary folder.
func (p *platform) end() {
	for _, cmd := range p.procs {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
	time.Sleep(100 * time.Millisecond)
	_ = os.RemoveAll(p.temp)
}

// errCannotRun is the panic of a case that could not run.
type errCannotRun string

func cannotRun(format string, args ...any) { panic(errCannotRun(fmt.Sprintf(format, args...))) }
