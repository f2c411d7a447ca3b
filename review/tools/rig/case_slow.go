package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	longAnswer   = 230_000   // bytes; the pages: one answer in sixteen is long, at up to 230,000 bytes
	slowRate     = 1_000_000 // bytes a second; the pages: some clients read at most 1 MB a second
	openAtATime  = 32        // the pages: a connection carries up to 32 open requests
	longFunction = "00000000000000bb"
	slowTime     = 6 * time.Second  // of the slow client
	usualBefore  = 12 * time.Second // of usual clients, before the slow one comes
)

// playSlow plays a client that reads 1 MB a second and gets long answers. The rule is broken if the scheduler ends its connection
// while requests on it have no answer yet.
func playSlow(r *run) bool {
	var long, all atomic.Int64
	d := r.start(6, 8, limits{memoryMB: 192, sockets: 512}, settings(classes()), func(a *agent) {
		a.answerOf = func(got *arrival) []byte {
			all.Add(1)
			if got.function != longFunction {
				return []byte("answer to " + got.id)
			}
			long.Add(1)
			return bytes.Repeat([]byte(got.id), longAnswer/len(got.id))
		}
	})
	usual := startFront(r.rec, d.listen, 100, func() *call {
		return newCall("consulta", fmt.Sprintf("%016x", 1+rand.IntN(8)), 3*time.Second)
	})
	time.Sleep(usualBefore)
	rate := 0
	if r.trouble {
		rate = slowRate
	}
	c, err := dialClient(d.listen, rate)
	if err != nil {
		cannotRun("client: %v", err)
	}
	var mu sync.Mutex
	var calls []*call
	var group sync.WaitGroup
	until := time.Now().Add(slowTime)
	for range openAtATime {
		group.Go(func() {
			for time.Now().Before(until) && !c.isClosed() && (all.Load() >= 16*(long.Load()+openAtATime)) {
				q := newCall("certificado", longFunction, 2500*time.Millisecond)
				r.rec.line("slow client: sends %s, certificado", q.id)
				// The time that reading takes does not count.
				c.do(q, 30*time.Second)
				r.rec.line("slow client: %s %s, %d bytes", q.id, q.outcome(), len(q.stdout))
				mu.Lock()
				calls = append(calls, q)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	usual.halt()
	held := !d.sched.hasEnded()
	counts := map[string]int{}
	ranAndLost := 0
	for _, q := range calls {
		counts[q.outcome()]++
		if q.outcome() != "connection ended without an answer" && q.outcome() != "no answer yet" {
			continue
		}
		held = false
		arrivals, _ := d.world.of(q.id)
		if len(arrivals) > 0 && arrivals[len(arrivals)-1].word == "OK" {
			ranAndLost++
		}
	}
	r.logWarnings(d.sched)
	r.rec.say("answers of node agents: %d, of these long: %d", all.Load(), long.Load())
	r.rec.say("usual clients: %v", usual.outcomes())
	r.rec.say("slow client: %v", counts)
	r.rec.say("without any byte of their answer although a node agent gave it: %d", ranAndLost)
	return held
}
