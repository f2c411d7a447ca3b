package testbed

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"calicohill/internal/fleet/pki"
)

// platform is a platform's settings as a fleet of the laboratory has them.
const platform = `{"balancers":%d,"rank":%d,"az":0,"tickMs":4,"dcs":["here"],"shapes":["std"],
 "ceilings":{"attemptsCap":4,"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterMs":500,
  "multiplex":100,"idleCloseMs":15000,"connectTimeoutMs":250},
 "classes":[
  {"name":"consulta","aimMs":750,"hardLimitMs":3000,"worth":1,"lateWorth":0.1,"effect":"read_like"},
  {"name":"registro-horas","aimMs":600,"hardLimitMs":2500,"worth":3,"lateWorth":0.2,
   "effect":"idempotency_key","dedupScope":"all","memorySpanMs":2500},
  {"name":"certificado","aimMs":750,"hardLimitMs":2500,"worth":2,"lateWorth":0.3,"effect":"non_idempotent"}],
 "familyInfo":{"idleLifeMs":30000,"saysCompany":true,"whenAbsent":"load"},
 "report":{"fields":["util"],"how":"piggyback"},
 "safety":{"answerSlackMs":16,"coldMs":17000,"coldShare":0.25,"overloadForMs":2000,"stopSendingWithinMs":1000,
  "tipMultiple":3}}`

// Fleet is schedulers as real processes, the workers that they share, and what tells them of each other.
type Fleet struct {
	Program   string   // the scheduler
	Env       []string // more than the laboratory's own
	Dir       string   // for files; the caller's to remove
	Instances []*Instance
	Workers   []*Worker
	Authority *pki.Authority
	Sharing   bool
	Hubbed    bool // schedulers reach one another over ways that scenarios change
	Keep      bool // schedulers keep their list and what they learned over a restart

	List  *ListService
	Known string // which events schedulers are configured with: full (as ""), old (the first alone) or empty

	Body  string // of its workers, by name; "" for roomy ones
	Store *Store
	Of    int // how many schedulers there are as they are told; 0 for those that there are

	host   string          // of all its schedulers
	Linked bool            // each scheduler has a link of its own to each worker
	hub    *Hub            // nil where schedulers reach one another without one
	talk   Way             // between those of apart and the others
	apart  map[string]bool // gossip addresses

	late atomic.Int64 // nanoseconds by which this machine was late at the worst so far, where that is measured

	mu      sync.Mutex
	links   map[linked]*Link
	rolling sync.WaitGroup
	leaving map[*Worker]left // workers that drain or are gone
}

// Instance is one scheduler.
type Instance struct {
	Name, Addr, Gossip string
	Key                string // file
	Log                *Log

	fleet  *Fleet
	config string
	own    string
	cmd    *exec.Cmd
	ended  chan error
	away   atomic.Bool  // the front sends it nothing
	hurt   atomic.Int64 // Unix nanoseconds of when it was last killed or continued; the greatest while it is stopped
	born   atomic.Int32 // how often it was started
	starts []time.Time  // guarded by Log
}

// Log collects what a process writes.
type Log struct {
	mu   sync.Mutex
	text bytes.Buffer
	from int // where the latest process began to write
}

// Write takes in more.
func (l *Log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// String is all so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Line is a line of a scheduler's log, by its fields.
type Line map[string]any

// Lines is the lines so far, those that are no JSON left out.
func (l *Log) Lines() []Line { return parse(l.String()) }

// Latest is the lines of the latest process.
func (l *Log) Latest() []Line {
	l.mu.Lock()
	defer l.mu.Unlock()
	return parse(l.text.String()[l.from:])
}

func parse(log string) (lines []Line) {
	for text := range strings.SplitSeq(log, "\n") {
		var line Line
		if json.Unmarshal([]byte(text), &line) == nil {
			lines = append(lines, line)
		}
	}
	return lines
}

// Text is a field as text.
func (l Line) Text(name string) string {
	s, _ := l[name].(string)
	return s
}

// Number is a field as a figure.
func (l Line) Number(name string) float64 {
	x, _ := l[name].(float64)
	return x
}

// Time is when the line was written.
func (l Line) Time() time.Time {
	t, _ := time.Parse("2006-01-02T15:04:05.000Z07:00", l.Text("time"))
	return t
}

// Prepare has workers and their bulletin run and writes the files of schedulers, which do not run yet.
func (f *Fleet) Prepare(instances, workers int) error {
	f.List, f.Store = NewListService(), newStore()
	var err error
	if f.Authority, err = pki.NewAuthority("lab", time.Now().Add(-time.Hour), 24*time.Hour); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(f.Dir, "fleet.crt"), pki.EncodeCert(f.Authority.Cert), 0o600); err != nil {
		return err
	}
	f.leaving, f.links = map[*Worker]left{}, map[linked]*Link{}
	for i := range workers {
		w, err := f.worker(fmt.Sprintf("w%02d", i), time.Time{})
		if err != nil {
			f.Close()
			return err
		}
		f.Workers = append(f.Workers, w)
	}
	f.Tell(true, f.Workers, "SERVING")
	for i := range instances {
		in := &Instance{Name: fmt.Sprintf("n%d", i), fleet: f}
		if in.Addr, err = f.free("tcp"); err == nil {
			in.Gossip, err = f.free("udp")
		}
		if err != nil {
			f.Close()
			return err
		}
		f.Instances = append(f.Instances, in)
	}
	if f.Hubbed {
		var members []string
		for _, in := range f.Instances {
			members = append(members, in.Gossip)
		}
		if f.hub, err = NewHub(members, f.between); err != nil {
			f.Close()
			return err
		}
	}
	for _, in := range f.Instances {
		if err := in.configure(); err != nil {
			f.Close()
			return err
		}
	}
	return nil
}

// between is the way from one scheduler to another, by their gossip addresses.
func (f *Fleet) between(from, to string) Way {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.apart[from] == f.apart[to] {
		return Way{}
	}
	way := f.talk
	if f.apart[to] { // cut the other way round
		way.There, way.Back = way.Back, way.There
	}
	return way
}

// worker has a worker run, a cold one if born is not zero.
func (f *Fleet) worker(id string, born time.Time) (*Worker, error) {
	body, ok := Bodies[cmp.Or(f.Body, "roomy")]
	if !ok {
		return nil, fmt.Errorf("no workers of body %q", f.Body)
	}
	return NewWorker(id, body, f.Store, born)
}

// fleets counts the fleets of this process.
var fleets atomic.Uint32

// free is an address of loopback that nobody listens on. Each fleet has a host of its own: schedulers open their port
// so that a restart may share it, and of two fleets that were given the same one each would serve the other's clients.
func (f *Fleet) free(network string) (string, error) {
	if f.host == "" {
		f.host = fmt.Sprintf("127.%d.%d.1:0", 1+os.Getpid()%250, 1+fleets.Add(1)%250)
	}
	for {
		addr, err := unused(network, f.host)
		// The system may name a port again that was let go a moment ago.
		if err != nil || !slices.ContainsFunc(f.Instances, func(in *Instance) bool { return in.Addr == addr || in.Gossip == addr }) {
			return addr, err
		}
	}
}

// unused is an address of a host that nobody listens on.
func unused(network, host string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", host)
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	l, err := net.Listen("tcp", host)
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Tell adds an event to the list.
func (f *Fleet) Tell(all bool, workers []*Worker, state string) {
	for _, w := range workers {
		if _, ok := f.leaving[w]; state != "SERVING" && !ok {
			f.leaving[w] = left{time.Now(), len(f.List.Told()) + 1}
		}
	}
	f.List.Tell(func(no int, door string) string {
		var list []string
		for _, w := range workers {
			list = append(list, fmt.Sprintf(`{"uid":%q,"state":%q,"endpoint":%q,"az":"here","model":"std","boot_ms":%d}`,
				w.ID, state, f.way(door, w), max(w.born.UnixMilli(), 0)))
		}
		return fmt.Sprintf(`{"no":%d,"roster":{"rev":1,"all":%v,"targets":[%s]}}`, no, all, strings.Join(list, ","))
	})
}

// known is the events that schedulers are configured with.
func (f *Fleet) known(door string) string {
	first, ok := map[string]int{"old": 1, "empty": 0}[f.Known]
	if !ok {
		first = -1
	}
	return f.List.Feed(door, first)
}

// way is the address at which a scheduler reaches a worker: that of a link of its own where the fleet has them.
func (f *Fleet) way(scheduler string, w *Worker) string {
	if !f.Linked {
		return w.Addr
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.links[linked{scheduler, w.ID}]
	if k == nil {
		var err error
		if k, err = NewLink(w.Addr); err != nil {
			return w.Addr // for want of descriptors: the check of the scenario's faults misses it
		}
		f.links[linked{scheduler, w.ID}] = k
	}
	return k.Addr
}

// linked names a link.
type linked struct{ scheduler, worker string }

// configure writes the files of an instance: the platform's, its key and the operator's.
func (in *Instance) configure() error {
	f := in.fleet
	rank, _ := strconv.Atoi(in.Name[1:])
	door, err := f.List.Door(in.Name)
	if err != nil {
		return err
	}
	text, err := json.Marshal(map[string]any{
		"name": in.Name, "listen": in.Addr, "seed": fmt.Sprintf("%016x", rank+1),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"bulletin": door, "known": json.RawMessage(f.known(in.Name)),
		"settings": json.RawMessage(fmt.Sprintf(platform, max(f.Of, len(f.Instances)), rank)),
	})
	if err != nil {
		return err
	}
	in.config, in.own = filepath.Join(f.Dir, in.Name+".json"), filepath.Join(f.Dir, in.Name+".conf")
	if err := os.WriteFile(in.config, text, 0o600); err != nil {
		return err
	}
	if err := in.NewKey(f.Authority); err != nil {
		return err
	}
	return os.WriteFile(in.own, []byte(in.Operator("")), 0o600)
}

// NewKey gives an instance a key of an authority.
func (in *Instance) NewKey(a *pki.Authority) error {
	m, err := a.Issue(in.Name, time.Now().Add(-time.Hour), 12*time.Hour)
	if err != nil {
		return err
	}
	in.Key = filepath.Join(in.fleet.Dir, in.Name+".key")
	if err := os.Remove(in.Key); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return pki.WriteFile(in.Key, m.Key, m.Cert)
}

// Operator is the operator's file of an instance, with more lines of the section gossip.
func (in *Instance) Operator(more string) string {
	text := "log\n  format json\n"
	if in.fleet.Keep {
		text += "state\n  snapshot " + in.own + ".list\n  fleet lab\n"
	}
	if !in.fleet.Sharing {
		return text
	}
	text += fmt.Sprintf("gossip\n  listen %s\n  fleet lab\n  key %s\n  authority fleet.crt\n", in.Gossip, in.Key)
	reached := func(gossip string) string { return gossip }
	if hub := in.fleet.hub; hub != nil {
		reached = hub.Addr
		text += "  advertise " + hub.Addr(in.Gossip) + "\n"
	}
	for _, o := range in.fleet.Instances[:min(3, len(in.fleet.Instances))] {
		text += "  seed " + reached(o.Gossip) + "\n"
	}
	return text + more
}

// Rewrite replaces the operator's file.
func (in *Instance) Rewrite(text string) error { return os.WriteFile(in.own, []byte(text), 0o600) }

// Start runs a scheduler. It is up once Ready says so.
func (in *Instance) Start() error {
	in.cmd = exec.Command(in.fleet.Program, "run", "--config", in.config, "--operator", in.own)
	in.cmd.Env = append(append(os.Environ(), "ROUTER_CONFIG=", "ROUTER_NAME=", "ROUTER_LISTEN="), in.fleet.Env...)
	if in.Log == nil {
		in.Log = &Log{}
	}
	in.Log.mu.Lock()
	in.Log.from = in.Log.text.Len()
	in.starts = append(in.starts, time.Now())
	in.Log.mu.Unlock()
	in.cmd.Stdout, in.cmd.Stderr = in.Log, in.Log
	if err := in.cmd.Start(); err != nil {
		return fmt.Errorf("scheduler %s: %w", in.Name, err)
	}
	in.born.Add(1)
	go func() {
		if in.healthy(context.Background()) == nil {
			in.away.Store(false)
		}
	}()
	in.ended = make(chan error, 1)
	go func(cmd *exec.Cmd, ended chan error) { ended <- cmd.Wait() }(in.cmd, in.ended)
	return nil
}

// Signal sends a signal to a scheduler.
func (in *Instance) Signal(s syscall.Signal) error {
	switch s {
	case syscall.SIGSTOP:
		in.hurt.Store(math.MaxInt64)
	case syscall.SIGCONT:
		in.hurt.Store(time.Now().UnixNano())
	}
	return in.cmd.Process.Signal(s)
}

// Pid is the process of a scheduler that runs.
func (in *Instance) Pid() int { return in.cmd.Process.Pid }

// Kill ends a scheduler without a word.
func (in *Instance) Kill() {
	if in.ended != nil {
		in.away.Store(true)
		in.hurt.Store(time.Now().UnixNano())
		_ = in.cmd.Process.Kill() // it may have ended
		<-in.ended
		in.ended = nil
	}
}

// frontLeaves is how long after SIGTERM the front still sends.
const frontLeaves = 200 * time.Millisecond

// Stop ends a scheduler as a planned restart does.
func (in *Instance) Stop() error {
	if in.ended == nil {
		return nil
	}
	if err := in.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("scheduler %s: %w", in.Name, err)
	}
	time.AfterFunc(frontLeaves, func() {
		if in.away.Store(true); time.Duration(in.fleet.late.Load()) > frontLeaves {
			in.hurt.Store(time.Now().UnixNano()) // what the front sent in time may have come after the end
		}
	})
	select {
	case err := <-in.ended:
		in.ended = nil
		if err != nil {
			return fmt.Errorf("scheduler %s ended with %w", in.Name, err)
		}
		return nil
	case <-time.After(20 * time.Second):
		in.Kill()
		return fmt.Errorf("scheduler %s does not end", in.Name)
	}
}

// Stop ends all schedulers as a planned restart does.
func (f *Fleet) Stop() error {
	errs := make([]error, len(f.Instances))
	var wg sync.WaitGroup
	for i, in := range f.Instances {
		wg.Go(func() { errs[i] = in.Stop() })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// CPU is the processor time that a scheduler has used.
func (in *Instance) CPU() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", in.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// Memory is what a scheduler holds of memory, in kB.
func (in *Instance) Memory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	n, _ := strconv.Atoi(strings.Fields(rest + " 0")[0])
	return n
}

// Close ends all.
func (f *Fleet) Close() {
	for _, in := range f.Instances {
		in.Kill()
	}
	for _, k := range f.links {
		k.Close()
	}
	for _, w := range f.Workers {
		w.Close()
	}
	if f.hub != nil {
		f.hub.Close()
	}
	if f.List != nil {
		f.List.Close()
	}
}

// Twin is another instance with the name and the files of this one, which does not run yet.
func (in *Instance) Twin() *Instance {
	return &Instance{Name: in.Name, Addr: in.Addr, Gossip: in.Gossip, Key: in.Key, fleet: in.fleet, config: in.config, own: in.own}
}

// Move gives an instance new addresses and files of its own, under the name and the key that it has.
func (in *Instance) Move() (err error) {
	if in.Addr, err = in.fleet.free("tcp"); err != nil {
		return err
	}
	if in.Gossip, err = in.fleet.free("udp"); err != nil {
		return err
	}
	key := in.Key
	text, err := os.ReadFile(in.config)
	if err != nil {
		return err
	}
	var platform map[string]any
	if err := json.Unmarshal(text, &platform); err != nil {
		return err
	}
	platform["listen"] = in.Addr
	if text, err = json.Marshal(platform); err != nil {
		return err
	}
	in.config, in.own, in.Key = in.config+".moved", in.own+".moved", key
	if err := os.WriteFile(in.config, text, 0o600); err != nil {
		return err
	}
	return in.Rewrite(in.Operator(""))
}
