// Package testbed is the laboratory: stand-ins of what a scheduler speaks to, faults by schedule, and whole fleets of
// real scheduler processes on loopback. It measures; nothing of it runs in service.
package testbed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what is wrong with a stand-in worker.
type Fault int

// The faults.
const (
	Sound   Fault = iota
	Mute          // takes requests and answers none
	Stalls        // answers half a second late
	Fails         // answers errors
	Refuses       // closes every connection at once
)

// Body is what a stand-in worker has.
type Body struct {
	Lanes int           // requests at a time
	Work  time.Duration // that one takes
	Load  time.Duration // that a load takes where the store is well
	Conns int           // connections that it bears; it resets more. 0 means any number
	Shake time.Duration // of a lane, for a new connection
}

// Bodies is what workers may have, by name.
var Bodies = map[string]Body{
	"roomy": {Lanes: 8, Work: 15 * time.Millisecond, Load: 60 * time.Millisecond},
	"small": {Lanes: 2, Work: 80 * time.Millisecond, Load: 300 * time.Millisecond, Conns: 48, Shake: 2 * time.Millisecond},
}

// What a cold worker bears, as the settings of the laboratory tell it.
const (
	coldFor, coldShare, tipFor, tipMultiple = 17 * time.Second, 0.25, 2 * time.Second, 3
)

// Store is the handler store that all workers load from: a few fetches at a time, and none while it is jammed.
type Store struct {
	mu     sync.Mutex
	till   time.Time
	places chan struct{}
}

func newStore() *Store { return &Store{places: make(chan struct{}, 12)} }

// Jam has the store serve nothing for a time.
func (s *Store) Jam(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.till = time.Now().Add(d)
}

// fetch waits until what takes so long is loaded.
func (s *Store) fetch(takes time.Duration) {
	s.places <- struct{}{}
	defer func() { <-s.places }()
	s.mu.Lock()
	jam := time.Until(s.till)
	s.mu.Unlock()
	time.Sleep(max(jam, 0) + takes)
}

// Worker is a stand-in node agent. It holds functions loaded, runs a few requests at a time and has faults.
type Worker struct {
	ID, Addr string
	body     Body
	store    *Store
	born     time.Time // of one that starts cold; zero for one that is warm
	fell     time.Time // pushed over while it was cold
	most     float64   // that it was sent while cold, as a share of what it bears
	refused  int       // connections over what it bears
	l        net.Listener
	mu       sync.Mutex
	fault    Fault
	loaded   map[string]chan struct{} // closed once the function stands
	arrivals []Arrival
	accepts  []time.Time
	conns    map[net.Conn]bool
	lanes    chan struct{}
}

// Arrival is a request as it came.
type Arrival struct {
	At        time.Time
	From      string // what the body says of who sent it
	Fault     Fault  // of the worker then
	ID, Class string
	Function  string
	Load      bool // it began a load
}

// NewWorker starts a worker on loopback, a cold one if born is not zero.
func NewWorker(id string, b Body, s *Store, born time.Time) (*Worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in worker: %w", err)
	}
	w := &Worker{
		ID: id, Addr: l.Addr().String(), body: b, store: s, born: born, l: l,
		loaded: map[string]chan struct{}{}, conns: map[net.Conn]bool{}, lanes: make(chan struct{}, b.Lanes),
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			refuse := w.fault == Refuses || !w.fell.IsZero()
			if b.Conns > 0 && len(w.conns) >= b.Conns {
				w.refused++
				refuse = true
			}
			w.accepts = append(w.accepts, time.Now())
			w.conns[c] = true
			w.mu.Unlock()
			if refuse {
				w.drop(c)
				continue
			}
			go func() {
				defer w.drop(c)
				if b.Shake > 0 {
					w.lanes <- struct{}{}
					time.Sleep(b.Shake)
					<-w.lanes
				}
				_ = w.serve(c) // the scheduler closes connections as it likes
			}()
		}
	}()
	return w, nil
}

func (w *Worker) drop(c net.Conn) {
	w.mu.Lock()
	delete(w.conns, c)
	w.mu.Unlock()
	c.Close()
}

// Close ends the worker.
func (w *Worker) Close() {
	w.l.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.Close()
	}
}

// Set gives the worker a fault, or none.
func (w *Worker) Set(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// Accepts is when connections came up.
func (w *Worker) Accepts() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time(nil), w.accepts...)
}

// Arrivals is the requests so far.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

var errCommand = errors.New("not a command")

func (w *Worker) serve(c net.Conn) error {
	var writing sync.Mutex
	write := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = io.WriteString(c, text) // an error ends the reading too
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return err
		}
		words := strings.Fields(line)
		if len(words) < 2 {
			return errCommand
		}
		switch words[0] {
		case "halt":
		case "stat", "ping":
			if w.now() != Mute {
				write(words[1] + " UP l=util:0.10 0\r\n\r\n")
			}
		case "go":
			if len(words) != 4 {
				return errCommand
			}
			size, err := strconv.Atoi(words[3])
			if err != nil || size < 0 || size > 16<<10 {
				return errCommand
			}
			body := make([]byte, size+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return err
			}
			go w.run(ctx, words[1], words[2], string(body[:size]), write)
		default:
			return errCommand
		}
	}
}

func (w *Worker) now() Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault
}

// run answers a request as the worker's fault has it.
func (w *Worker) run(ctx context.Context, id, fields, body string, write func(string)) {
	function, class := "", ""
	for f := range strings.SplitSeq(fields, ",") {
		switch name, v, _ := strings.Cut(f, "="); name {
		case "asset":
			function = v
		case "sort":
			class = v
		}
	}
	w.mu.Lock()
	fault := w.fault
	from, _, _ := strings.Cut(body, " ")
	stands, known := w.loaded[function]
	w.arrivals = append(w.arrivals, Arrival{time.Now(), from, fault, id, class, function, !known})
	if !known {
		stands = make(chan struct{})
		w.loaded[function] = stands
		go func() { w.store.fetch(w.body.Load); close(stands) }()
	}
	share := ripe(w.age(time.Now()))
	if w.fell.IsZero() && w.pushed(time.Now()) {
		w.fell = time.Now()
		for c := range w.conns {
			c.Close()
		}
	}
	w.mu.Unlock()
	switch fault {
	case Mute:
		return
	case Fails:
		write(id + " ERR - 0\r\n\r\n")
		return
	case Stalls:
		sleep(ctx, 500*time.Millisecond)
	}
	select {
	case <-stands:
	case <-ctx.Done():
		return
	}
	select {
	case w.lanes <- struct{}{}:
	case <-ctx.Done():
		return
	}
	ok := sleep(ctx, time.Duration(float64(w.body.Work)/share))
	<-w.lanes
	if ok && w.now() != Mute {
		write(fmt.Sprintf("%s OK depth=0,l=util:0.10 %d\r\n%s\r\n", id, len(body), body))
	}
}

// boot starts a worker anew: empty, cold, its connections gone.
func (w *Worker) boot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born, w.fell, w.loaded = time.Now(), time.Time{}, map[string]chan struct{}{}
	for c := range w.conns {
		c.Close()
	}
}

// ripe is the share of its capacity that a worker has so long after its start.
func ripe(age time.Duration) float64 {
	return min(1, coldShare+(1-coldShare)*age.Seconds()/coldFor.Seconds())
}

// bears is how many requests within tipFor a worker bears so long after its start: N + 2 x root of N + 2, N what a
// multiple of its capacity then serves. One that is warm bears any number.
func (b Body) bears(age time.Duration) float64 {
	if age >= coldFor {
		return math.Inf(1)
	}
	n := tipMultiple * ripe(age) * float64(b.Lanes) / b.Work.Seconds() * tipFor.Seconds()
	return n + 2*math.Sqrt(n) + 2
}

// age is how long ago a worker started; long ago for one that is warm.
func (w *Worker) age(now time.Time) time.Duration { return now.Sub(w.born) }

// pushed reports whether a cold worker was sent more than it bears since it started.
func (w *Worker) pushed(now time.Time) bool {
	got := 0
	for i := len(w.arrivals) - 1; i >= 0 && now.Sub(w.arrivals[i].At) <= tipFor && !w.arrivals[i].At.Before(w.born); i-- {
		got++
	}
	share := float64(got) / w.body.bears(w.age(now))
	w.most = max(w.most, share)
	return share > 1
}

// Fell is when a worker was pushed over; zero if it was not.
func (w *Worker) Fell() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fell
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
