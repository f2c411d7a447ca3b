package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// front sends the calls of usual clients, over as few connections as hold them.
type front struct {
	rec   *record
	addr  string
	stop  chan struct{}
	group sync.WaitGroup

	mu      sync.Mutex
	clients []*client
	calls   []*call
}

// startFront starts to send calls at a rate, made by next, until halt.
func startFront(rec *record, addr string, perSecond float64, next func() *call) *front {
	f := &front{rec: rec, addr: addr, stop: make(chan struct{})}
	f.group.Add(1)
	go func() {
		defer f.group.Done()
		for {
			select {
			case <-f.stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
				f.group.Add(1)
				go func() {
					defer f.group.Done()
					f.send(next())
				}()
			}
		}
	}()
	return f
}

// halt stops sending and waits for the answers.
func (f *front) halt() {
	close(f.stop)
	f.group.Wait()
	for _, c := range f.clients {
		c.close()
	}
}

// client returns a connection with room for a call.
func (f *front) client() *client {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.clients {
		if !c.isClosed() && c.openCalls() < 16 {
			return c
		}
	}
	c, err := dialClient(f.addr, 0)
	if err != nil {
		return nil
	}
	f.clients = append(f.clients, c)
	return c
}

// send sends a call and records its answer. A call that crosses the close of a connection is sent again, once.
func (f *front) send(q *call) {
	for range 2 {
		c := f.client()
		if c == nil {
			f.rec.line("client: no connection for %s", q.id)
			return
		}
		f.rec.line("client: sends %s %s function=%s budget=%v", q.id, q.path, q.function, q.budget)
		c.do(q, q.budget+2*time.Second)
		f.rec.line("client: %s %s", q.id, q.outcome())
		if q.outcome() != "connection ended without an answer" || q.answeredAt.Sub(q.sentAt) > 50*time.Millisecond {
			break
		}
	}
	f.mu.Lock()
	f.calls = append(f.calls, q)
	f.mu.Unlock()
}

// outcomes counts the calls by outcome.
func (f *front) outcomes() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[string]int{}
	for _, q := range f.calls {
		counts[q.outcome()]++
	}
	return counts
}
