package testbed

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Way is what a link does to what goes over it. The zero Way does nothing.
type Way struct {
	Delay, Spread time.Duration // each way: Delay, and up to Spread more
	Rate          float64       // bytes a second each way; 0 means no bound
	Loss, Double  float64       // shares of datagrams; those that Spread delays come out of order
	There, Back   bool          // cut in that direction, without a sign
	Hang          bool          // takes new connections and passes nothing on
}

// Link is a way from one peer to another over TCP, on loopback.
type Link struct {
	Addr, to string
	mu       sync.Mutex
	line     Way
	changed  chan struct{} // closed at each change of line
	l        *net.TCPListener
	conns    map[*net.TCPConn]bool
	filling  []net.Conn // that keep the queue of connections full while it is cut
	closed   bool
	held     []held
	parked   chan struct{} // nobody accepts any more
	resume   chan struct{}
}

// held is bytes that were on their way for long.
type held struct{ sent, came time.Time }

// noted is how long that is.
const noted = 20 * time.Millisecond

// sent is when what came at a time was sent.
func (k *Link) sent(came time.Time) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := came
	for _, h := range k.held {
		if d := came.Sub(h.came); d >= 0 && d < 5*noted && h.sent.Before(at) {
			at = h.sent
		}
	}
	return at
}

// ends is where links are reached: an address of loopback from which nothing connects.
const ends = "127.0.1.1:0"

// NewLink opens a link to an address.
func NewLink(to string) (*Link, error) {
	l, err := net.Listen("tcp", ends)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	k := &Link{
		Addr: l.Addr().String(), to: to, l: l.(*net.TCPListener), changed: make(chan struct{}), conns: map[*net.TCPConn]bool{},
		parked: make(chan struct{}), resume: make(chan struct{}),
	}
	go k.accept()
	return k, nil
}

// Set changes what the link does from now on.
func (k *Link) Set(line Way) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	was := k.line
	k.line = line
	defer close(k.changed) // once all is changed
	k.changed = make(chan struct{})
	if was.There == line.There || k.closed {
		return nil
	}
	if !line.There {
		for _, c := range k.filling {
			c.Close()
		}
		k.filling = nil
		err := errors.Join(k.queue(1024), k.l.SetDeadline(time.Time{}))
		k.resume <- struct{}{}
		return err
	}
	// Nobody accepts and the queue of new connections is full: the system drops the next without a sign.
	if err := k.l.SetDeadline(time.Now()); err != nil {
		return err
	}
	<-k.parked
	if err := k.queue(0); err != nil {
		return err
	}
	for range 8 {
		c, err := net.DialTimeout("tcp", k.Addr, 200*time.Millisecond)
		if err != nil {
			return nil
		}
		k.filling = append(k.filling, c)
	}
	return fmt.Errorf("link %s: connections still come up", k.Addr)
}

func (k *Link) queue(n int) error {
	raw, err := k.l.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) })
	return errors.Join(err, failed)
}

// Reset resets all connections, in the middle of what goes over them.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_ = c.SetLinger(0)
		c.Close()
	}
}

// Close ends the link.
func (k *Link) Close() {
	k.mu.Lock()
	k.closed = true
	k.l.Close()
	if k.line.There {
		k.resume <- struct{}{}
	}
	k.mu.Unlock()
	k.Reset()
	_ = k.Set(Way{})
}

func (k *Link) accept() {
	for {
		c, err := k.l.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			k.parked <- struct{}{}
			<-k.resume
			continue
		}
		if err != nil {
			return
		}
		go func() {
			defer k.keep(c)()
			far, err := net.Dial("tcp", k.to)
			if err != nil {
				_ = c.SetLinger(0) // as one that is refused, a moment late
				return
			}
			f := far.(*net.TCPConn)
			defer k.keep(f)()
			ended := make(chan bool, 2)
			go func() { k.pump(c, f, func(l Way) bool { return l.There || l.Hang }); ended <- true }()
			go func() { k.pump(f, c, func(l Way) bool { return l.Back || l.Hang }); ended <- true }()
			<-ended
		}()
	}
}

// keep notes a connection, and returns what closes it and forgets it.
func (k *Link) keep(c *net.TCPConn) (drop func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns[c] = true
	return func() {
		c.Close()
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.conns, c)
	}
}

func (k *Link) now() (Way, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.line, k.changed
}

// pump passes on what comes, in order, as the line has it.
func (k *Link) pump(from, to net.Conn, stays func(Way) bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		read := time.Now()
		line, changed := k.now()
		for stays(line) {
			<-changed
			line, changed = k.now()
		}
		wait := line.Delay
		if line.Spread > 0 {
			wait += rand.N(line.Spread)
		}
		if line.Rate > 0 {
			wait += time.Duration(float64(n) / line.Rate * float64(time.Second))
		}
		time.Sleep(wait)
		if came := time.Now(); came.Sub(read) > noted {
			k.mu.Lock()
			k.held = append(k.held, held{read, came})
			k.mu.Unlock()
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// Hub is the way among schedulers over UDP: each has an address there under which the others reach it.
type Hub struct {
	mu    sync.Mutex
	ways  map[string]*net.UDPConn // by the member's own address
	lines func(from, to string) Way
}

// NewHub opens a hub for members at these addresses. lines tells what is between two of them.
func NewHub(members []string, lines func(from, to string) Way) (*Hub, error) {
	h := &Hub{ways: map[string]*net.UDPConn{}, lines: lines}
	for _, m := range members {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 1, 1)})
		if err != nil {
			h.Close()
			return nil, fmt.Errorf("hub: %w", err)
		}
		h.ways[m] = c
	}
	for m, c := range h.ways {
		go h.serve(m, c)
	}
	return h, nil
}

// Addr is where the others reach a member.
func (h *Hub) Addr(member string) string { return h.ways[member].LocalAddr().String() }

func (h *Hub) serve(to string, c *net.UDPConn) {
	far, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return
	}
	buf := make([]byte, 64<<10)
	for {
		n, from, err := c.ReadFromUDP(buf)
		if err != nil {
			return
		}
		back := h.ways[from.String()] // as whom the receiver sees it
		if back == nil {
			continue
		}
		h.mu.Lock()
		line := h.lines(from.String(), to)
		h.mu.Unlock()
		for copies := 1; copies > 0; copies-- {
			if rand.Float64() < line.Double {
				copies++
			}
			if line.There || rand.Float64() < line.Loss {
				continue
			}
			b, wait := append([]byte(nil), buf[:n]...), line.Delay
			if line.Spread > 0 {
				wait += rand.N(line.Spread)
			}
			time.AfterFunc(wait, func() { _, _ = back.WriteToUDP(b, far) }) // lost if it can't be sent
		}
	}
}

// Close ends the hub.
func (h *Hub) Close() {
	for _, c := range h.ways {
		c.Close()
	}
}
