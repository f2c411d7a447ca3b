package main

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	reclaimAge     = 300 * time.Millisecond // an incomplete request of this age makes way for others
	openPerConn    = 32                     // the pages: a connection carries up to 32 open requests
	firstHalf      = 14                     // requests that a bad client begins first
	roundTime      = 3 * time.Second
	badClientsTime = 65 * time.Second // the longest time that bad clients stay
	measureConns   = 46               // connections that find out how many requests can be begun
	readyWithin    = 30 * time.Second // the pages: no scheduler takes over 30 s to be ready
)

// playBuffers plays bad clients that begin requests, complete none and close. The rule is broken if the scheduler is not ready
// for anybody 30 s after the last of them has gone.
func playBuffers(r *run) bool {
	d := r.start(6, 3, limits{memoryMB: 64, sockets: 384}, settings(classes()), nil)
	usual := startFront(r.rec, d.listen, 10, usualCalls())
	time.Sleep(2 * time.Second)
	r.rec.say("before: usual clients %v", usual.outcomes())
	if r.trouble {
		r.beginAndClose(d)
	}
	r.rec.say("the last bad client has gone")
	before := usual.outcomes()
	ready, asked := 0, 0
	for gone := time.Now(); time.Since(gone) < readyWithin && !d.sched.hasEnded(); time.Sleep(100 * time.Millisecond) {
		asked++
		if c, err := dialClient(d.listen, 0); err == nil {
			if c.do(&call{path: "/health"}, time.Second) && c.lastStatus == 200 {
				ready++
			}
			c.close()
		}
	}
	usual.halt()
	after := usual.outcomes()
	for outcome, count := range before {
		after[outcome] -= count
	}
	r.logWarnings(d.sched)
	r.rec.say("in the %v after: /health answered with 200 to %d of %d, usual clients %v", readyWithin, ready, asked, after)
	return ready > 0 && !d.sched.hasEnded()
}

// beginAndClose plays rounds of bad clients until no request can be begun any more, or their time is over.
func (r *run) beginAndClose(d *deployment) {
	started := time.Now()
	clients := 0
	for free := countFree(d.listen); free > 0 && time.Since(started) < badClientsTime; free = countFree(d.listen) {
		r.rec.say("%4.0f s: %d bad clients have come and gone; %d requests can be begun at a time", time.Since(started).Seconds(), clients, free)
		time.Sleep(100 * time.Millisecond)
		clients += playRound(d.listen, free)
		time.Sleep(100 * time.Millisecond)
	}
	r.rec.say("%4.0f s: %d bad clients have come and gone", time.Since(started).Seconds(), clients)
}

// playRound plays a round of bad clients that hold nearly all of the requests that can be begun. In turn, the one that came first
// begins more requests and closes, half of each request sent, and others come.
func playRound(addr string, free int) (clients int) {
	first := max(1, min(firstHalf, free/8))
	var open []net.Conn
	come := func() {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return
		}
		begin(conn, 0, first)
		open = append(open, conn)
	}
	for range free / first {
		come()
	}
	time.Sleep(reclaimAge)
	gone := 0
	for started := time.Now(); time.Since(started) < roundTime && gone <= free/2 && len(open) > 0; {
		wanted := max(1, (free-gone)/first)
		leaving := open[0]
		open = open[1:]
		begin(leaving, first, openPerConn-first)
		closeAtOnce(leaving)
		gone++
		time.Sleep(reclaimAge / time.Duration(2*wanted))
		for range max(1, (free-gone)/first) - len(open) {
			come()
		}
		time.Sleep(reclaimAge / time.Duration(2*wanted))
	}
	for _, conn := range open {
		closeAtOnce(conn)
	}
	return gone + len(open)
}

// begin writes the first record of some requests.
func begin(conn net.Conn, after, count int) {
	var all []byte
	for i := range count {
		all = appendRecord(all, beginRequest, uint16(after+i+1), []byte{0, 1, 1, 0, 0, 0, 0, 0})
	}
	_, _ = conn.Write(all)
}

// closeAtOnce closes a connection and forgets what it still had to send or read.
func closeAtOnce(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// countFree begins more requests at once than the scheduler can hold, and returns how many were not answered with OVERLOADED.
func countFree(addr string) int {
	var group sync.WaitGroup
	var mu sync.Mutex
	free := 0
	for range measureConns {
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				return
			}
			defer closeAtOnce(conn)
			begin(conn, 0, openPerConn)
			_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
			answers, _ := io.ReadAll(conn) // END_REQUEST records of 16 bytes with OVERLOADED
			mu.Lock()
			free += openPerConn - len(answers)/16
			mu.Unlock()
		})
	}
	group.Wait()
	return free
}
