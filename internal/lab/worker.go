// Package lab is the laboratory: stand-ins of what a scheduler speaks to, faults by schedule, and whole fleets of
// real scheduler processes on loopback. It measures; nothing of it runs in service.
package lab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
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

// Worker is a stand-in node agent. It holds functions loaded, runs a few requests at a time and has faults.
type Worker struct {
	ID, Addr string
	l        net.Listener
	mu       sync.Mutex
	fault    Fault
	loaded   map[string]time.Time // when a function stands
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
	Load      bool // it began a load
}

// The speed of a stand-in worker.
const (
	workTime = 15 * time.Millisecond
	loadTime = 60 * time.Millisecond
	atATime  = 8
)

// NewWorker starts a worker on loopback.
func NewWorker(id string) (*Worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in worker: %w", err)
	}
	w := &Worker{ID: id, Addr: l.Addr().String(), l: l, loaded: map[string]time.Time{}, conns: map[net.Conn]bool{},
		lanes: make(chan struct{}, atATime)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			refuse := w.fault == Refuses
			w.accepts = append(w.accepts, time.Now())
			w.conns[c] = true
			w.mu.Unlock()
			if refuse {
				w.drop(c)
				continue
			}
			go func() {
				defer w.drop(c)
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
	w.arrivals = append(w.arrivals, Arrival{time.Now(), from, fault, id, class, !known})
	if !known {
		stands = time.Now().Add(loadTime)
		w.loaded[function] = stands
	}
	w.mu.Unlock()
	wait := time.Until(stands)
	switch fault {
	case Mute:
		return
	case Fails:
		write(id + " ERR - 0\r\n\r\n")
		return
	case Stalls:
		wait += 500 * time.Millisecond
	}
	if !sleep(ctx, wait) {
		return
	}
	select {
	case w.lanes <- struct{}{}:
	case <-ctx.Done():
		return
	}
	ok := sleep(ctx, workTime)
	<-w.lanes
	if ok && w.now() != Mute {
		write(fmt.Sprintf("%s OK depth=0,l=util:0.10 %d\r\n%s\r\n", id, len(body), body))
	}
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
