package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	memoryMB    = 192  // the largest limit of the days that count
	sockets     = 1024 // with this one
	openByOne   = 32   // requests that one connection may hold open
	longField   = 16000
	neverEnding = 300 // connections of the clients whose messages never end
	withBody    = 10  // of the messages on a connection, those of which a part of the body arrives
)

// fleet starts a bulletin, node agents and a scheduler.
func fleet(p *platform, agents int, delay time.Duration) (*scheduler, []*agent, *bulletin) {
	var workers []*agent
	var targets []target
	for i := range agents {
		a := newAgent(fmt.Sprintf("w%02d", i), p.rec, delay)
		workers = append(workers, a)
		targets = append(targets, target{
			UID: a.name, Endpoint: a.addr(), Zone: "guate-zona4", Model: "std-3c", State: "SERVING", Capacity: 3,
		})
	}
	list := newBulletin(targets)
	known, _, _ := list.after(0)
	s := p.start("n0", list.listener.Addr().String(), known, memoryMB, sockets)
	s.awaitReady()
	return s, workers, list
}

// usual sends requests of a usual client until stop is closed, each on its own over one connection or, with fresh, over
// a new one. It returns the replies by what they were.
func usual(p *platform, s *scheduler, fresh bool, every time.Duration, stop chan struct{}) map[string]int {
	counts := map[string]int{}
	var c *client
	for i := 0; ; i++ {
		select {
		case <-stop:
			if c != nil {
				_ = c.conn.Close()
			}
			return counts
		case <-time.After(every):
		}
		if c == nil || fresh {
			if c != nil {
				_ = c.conn.Close()
			}
			conn, err := net.DialTimeout("tcp", s.listen, time.Second)
			if err != nil {
				p.rec.add("usual: no connection: %v", err)
				counts["no connection"]++
				c = nil
				continue
			}
			c = newClient(conn)
		}
		r := request{
			path: "/rpc/consulta", id: newID(), function: fmt.Sprintf("%016x", i%8), budget: 3 * time.Second, body: "hours",
		}
		p.rec.add("sent id=%s fresh=%v", r.id, fresh)
		got := c.do(r)
		what := kindOf(got, r)
		p.rec.add("answered id=%s %s after %.3f s", r.id, what, got.after.Seconds())
		counts[what]++
		if got.status <= 0 {
			_ = c.conn.Close()
			c = nil
		}
	}
}

func kindOf(got reply, r request) string {
	switch {
	case got.status == -1:
		return "lost: no answer"
	case got.status == 0:
		return "lost: connection ended"
	case got.status == 200 && got.body != r.body:
		return "foreign answer"
	case got.status == 200:
		return "served"
	case got.status == 429 || got.status == 503:
		return "refused"
	default:
		return "failed"
	}
}

// memoryCase opens connections of bad clients on which 32 messages each never end, each with a long field, and has the
// platform watch the scheduler's memory.
func memoryCase(p *platform, trouble bool) bool {
	s, _, _ := fleet(p, 4, 20*time.Millisecond)
	stop := make(chan struct{})
	var served map[string]int
	var wait sync.WaitGroup
	wait.Go(func() { served = usual(p, s, false, 20*time.Millisecond, stop) })
	time.Sleep(time.Second)
	var bytesSent atomic.Int64
	var conns []net.Conn
	if trouble {
		p.rec.say("%d connections with %d messages each that never end", neverEnding, openByOne)
		var mu sync.Mutex
		for range neverEnding {
			wait.Go(func() {
				conn, err := net.Dial("tcp", s.listen)
				if err != nil {
					return
				}
				mu.Lock()
				conns = append(conns, conn)
				mu.Unlock()
				n, _ := conn.Write(unended())
				bytesSent.Add(int64(n))
				_, _ = io.Copy(io.Discard, conn) // it reads whatever is sent to it
			})
		}
		defer func() {
			mu.Lock()
			defer mu.Unlock()
			for _, conn := range conns {
				_ = conn.Close()
			}
		}()
	}
	held := true
	var most, mostAnon float64
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if s.hasEnded() {
			p.rec.say("the scheduler ended")
			held = false
			break
		}
		most = max(most, s.memory("VmRSS"))
		mostAnon = max(mostAnon, s.memory("RssAnon"))
		if mostAnon > memoryMB { // the platform kills it; what is mapped from files is not even counted
			p.rec.say("over its limit of %d MB: killed by the platform", memoryMB)
			held = false
			break
		}
	}
	close(stop)
	p.rec.say("memory at most %.0f MB resident, %.0f MB of it anonymous; %.0f MB sent by bad clients", most, mostAnon, float64(bytesSent.Load())/1e6)
	for _, cmd := range p.procs {
		_ = cmd.Process.Kill()
	}
	wait.Wait()
	p.rec.say("usual clients: %v", served)
	return held
}

// unended returns 32 requests whose bodies never end, and a part of one more record.
func unended() []byte {
	var b bytes.Buffer
	for id := range uint16(openByOne) {
		r := request{
			path: "/rpc/consulta", id: newID(), function: "7f3a9c21e0b4d655", budget: 3 * time.Second,
			extra: pair("REQUEST_METHOD", strings.Repeat("G", longField)),
		}
		b.Write(r.begin(id + 1))
		if id < withBody {
			b.Write(header(stdin, id+1, longField))
			b.Write(make([]byte, longField))
		}
	}
	b.Write(header(stdin, openByOne, 0xffff))
	b.Write(make([]byte, 0xfff0))
	return b.Bytes()
}

const (
	withdrawing = 200 // connections of clients that withdraw
	withdrawn   = 300 // requests that each withdraws at once
)

// withdraw sends hundreds of requests, withdraws them at once, and does the same again as soon as they have ended.
func withdraw(addr string, stop chan struct{}, rounds *atomic.Int64) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	go func() {
		<-stop
		_ = conn.Close()
	}()
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		var b []byte
		for id := range uint16(withdrawn) {
			b = append(b, header(beginRequest, id+1, 8)...)
			b = append(b, 0, 1, 1, 0, 0, 0, 0, 0)
			b = append(b, header(abortRequest, id+1, 0)...)
		}
		go func() { _, _ = conn.Write(b) }()
		for ends := 0; ends < withdrawn; {
			head := make([]byte, 8)
			if _, err := io.ReadFull(reader, head); err != nil {
				return
			}
			_, _ = reader.Discard(int(binary.BigEndian.Uint16(head[4:])) + int(head[6]))
			if head[1] == endRequest {
				ends++
			}
		}
		rounds.Add(1)
	}
}

func hangCase(p *platform, trouble bool) bool {
	s, _, _ := fleet(p, 4, 20*time.Millisecond)
	stop := make(chan struct{})
	var onOne, onNew map[string]int
	var wait sync.WaitGroup
	wait.Go(func() { onOne = usual(p, s, false, 50*time.Millisecond, stop) })
	wait.Go(func() { onNew = usual(p, s, true, 50*time.Millisecond, stop) })
	time.Sleep(time.Second)
	var rounds atomic.Int64
	if trouble {
		p.rec.say("%d clients withdraw %d requests at once, again and again", withdrawing, withdrawn)
		for range withdrawing {
			go withdraw(s.listen, stop, &rounds)
		}
	}
	time.Sleep(20 * time.Second)
	close(stop)
	wait.Wait()
	p.rec.say("rounds of bad clients: %d", rounds.Load())
	p.rec.say("usual client on one connection: %v", onOne)
	p.rec.say("usual client on new connections: %v", onNew)
	lost := 0
	for _, counts := range []map[string]int{onOne, onNew} {
		lost += counts["lost: no answer"] + counts["lost: connection ended"] + counts["no connection"]
	}
	return lost == 0
}
