package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memorySeconds    = 75  // length of the case
	badConnections   = 16  // of bad clients, at a time
	withdrawnAtOnce  = 300 // requests that a bad client withdraws at once
	memorySampleTime = 100 * time.Millisecond
)

// playMemory plays bad clients that withdraw hundreds of requests at once, again and again, each for another function. The rule is
// broken if the scheduler goes over its limit on memory: it is killed then.
func playMemory(r *run) bool {
	limit := limits{memoryMB: 192, sockets: 1024}
	d := r.start(8, 3, limit, settings(classes()), nil)
	usual := startFront(r.rec, d.listen, 50, usualCalls())
	stop := make(chan struct{})
	var bad sync.WaitGroup
	var withdrawn, rounds atomic.Int64
	if r.trouble {
		for range badConnections {
			bad.Go(func() {
				for !isClosed(stop) {
					withdrawn.Add(int64(withdrawAtOnce(d.listen)))
					rounds.Add(1)
				}
			})
		}
	}
	held, highest := true, 0
	started, nextLine := time.Now(), time.Now()
	for held && time.Since(started) < memorySeconds*time.Second {
		time.Sleep(memorySampleTime)
		if d.sched.hasEnded() {
			r.rec.say("the scheduler ended by itself")
			held = false
			break
		}
		kb := d.sched.anonymousKB()
		highest = max(highest, kb)
		if time.Now().After(nextLine) {
			nextLine = nextLine.Add(time.Second)
			r.rec.line("memory: %d KiB; bad clients: %d requests withdrawn on %d connections", kb, withdrawn.Load(), rounds.Load())
		}
		if kb > limit.memoryMB*1024 {
			r.rec.say("after %.0f s the scheduler holds %d KiB, over its limit of %d MiB: the platform kills it",
				time.Since(started).Seconds(), kb, limit.memoryMB)
			d.sched.signal(syscall.SIGKILL)
			held = false
		}
	}
	close(stop)
	bad.Wait()
	usual.halt()
	r.rec.say("bad clients: %d requests withdrawn on %d connections; most memory held: %d KiB of %d", withdrawn.Load(), rounds.Load(), highest, limit.memoryMB*1024)
	r.rec.say("usual clients: %v", usual.outcomes())
	return held
}

// usualCalls returns a source of calls for a few functions of each class.
func usualCalls() func() *call {
	names := []string{"consulta", "registro-horas", "certificado"}
	return func() *call {
		kind := rand.IntN(len(names))
		q := newCall(names[kind], fmt.Sprintf("%014x%02x", kind+1, rand.IntN(6)), 2500*time.Millisecond)
		if kind == 1 {
			q.key = randomHex(32)
		}
		return q
	}
}

// withdrawAtOnce connects as a bad client, sends hundreds of requests and withdraws each at once, reads whatever comes, and
// closes. It returns the number of requests that were sent.
func withdrawAtOnce(addr string) int {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return 0
	}
	defer conn.Close()
	var all []byte
	for i := range withdrawnAtOnce {
		id := uint16(i%32 + 1)
		all = newCall("consulta", randomHex(16), 3*time.Second).appendTo(all, id)
		all = appendRecord(all, abortRequest, id, nil)
	}
	if _, err := conn.Write(all); err != nil {
		return 0
	}
	// One END_REQUEST of 16 bytes is due for each.
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	_, _ = io.CopyN(io.Discard, conn, withdrawnAtOnce*16)
	return withdrawnAtOnce
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// logWarnings records what the scheduler warned of.
func (r *run) logWarnings(s *scheduler) {
	for _, line := range s.warnings(20) {
		r.rec.line("scheduler's log: %s", strings.TrimSpace(line))
	}
}
