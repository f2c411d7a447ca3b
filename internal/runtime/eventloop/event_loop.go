// Package eventloop runs the program's one event loop on gnet. Everything that holds state is called on it, so that
// nothing needs a lock: connections, deadlines, and what other goroutines post.
package eventloop

import (
	"context"
	"fmt"
	"net"
	"time"

	"calicohill/internal/runtime/deadline"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"golang.org/x/sys/unix"
)

// ConnHandler is the state of one connection. All calls come on the loop.
type ConnHandler interface {
	Opened(c gnet.Conn)          // the connection is up
	Readable(c gnet.Conn) error  // bytes have come; an error closes the connection
	Closed(c gnet.Conn, e error) // it is gone, for whatever reason; c must not be used again
}

// Loop is the event loop.
type Loop struct {
	gnet.BuiltinEventEngine

	Accept  func(c gnet.Conn) ConnHandler // state for a connection that came in; nil turns it away
	Started func()                        // called first of all on the loop
	Logger  logging.Logger
	// Stalled, if set, is called first of all when the loop did nothing for long though it was due: the process was
	// stopped, or had no processor.
	Stalled func()
	// StallThreshold is how late a deadline has to be noticed for that; New sets the longest that makes sense.
	StallThreshold time.Duration

	addr      string // that is listened at
	start     time.Time
	unix      time.Duration
	engine    gnet.Engine
	events    gnet.EventLoop
	deadlines deadline.Queue
	timer     *time.Timer
	armed     time.Duration // what the timer is set for; 0 means nothing
	firing    bool          // fire is posted
	ticked    bool
	err       error
}

// MaxStallThreshold is what a Loop has for StallThreshold where nothing asks for less.
const MaxStallThreshold = 300 * time.Millisecond

// New returns a Loop.
func New() *Loop {
	now := time.Now()
	return &Loop{start: now, unix: time.Duration(now.UnixNano()), StallThreshold: MaxStallThreshold}
}

// UnreadFor is how long ago a connection's latest bytes came in, while they wait to be read; 0 if not known. After a
// stall it is what the loop must make up for.
func UnreadFor(c gnet.Conn) time.Duration {
	info, err := unix.GetsockoptTCPInfo(c.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// Now is the Unix time. It advances steadily, whatever is done to the system's clock meanwhile.
func (l *Loop) Now() time.Duration { return l.unix + time.Since(l.start) }

// Run listens on an address and serves until Stop.
func (l *Loop) Run(addr string) error {
	l.addr = addr
	// With its port reused, a gnet engine of one loop also accepts on that loop. With its address reused, a
	// restart is not kept out by connections of the life before that have not quite ended.
	err := gnet.Run(l, "tcp://"+addr, gnet.WithReusePort(true), gnet.WithReuseAddr(true), gnet.WithNumEventLoop(1),
		gnet.WithTicker(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(l.Logger))
	if err == nil {
		err = l.err
	}
	if err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	return nil
}

// Stop ends Run. It is safe to call from any goroutine but not to wait for on the loop.
func (l *Loop) Stop() error { return l.engine.Stop(context.Background()) }

// Post has a function called on the loop, after what is under way there. It is safe for concurrent use.
func (l *Loop) Post(fn func()) {
	// The only error is that the engine has stopped, and then nothing needs to be called.
	_ = l.events.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		l.wake()
		fn()
		l.settle()
		return nil
	}))
}

// SetDeadline sets a deadline.
func (l *Loop) SetDeadline(e *deadline.Timer, at time.Duration) { l.deadlines.Set(e, at) }

// ClearDeadline takes a deadline back.
func (l *Loop) ClearDeadline(e *deadline.Timer) { l.deadlines.Remove(e) }

// Dial connects elsewhere, so that the loop never waits for it, and hands the connection to the peer's Opened.
// If none comes up in time, failed is called.
func (l *Loop) Dial(addr string, timeout time.Duration, p ConnHandler, failed func(error)) {
	go func() {
		c, err := net.DialTimeout("tcp", addr, timeout)
		if err == nil {
			var done <-chan gnet.RegisteredResult
			if done, err = l.events.Enroll(gnet.NewContext(context.Background(), p), c); err == nil {
				err = (<-done).Err
			}
		}
		if err != nil {
			l.Post(func() { failed(err) })
		}
	}()
}

// wake begins a turn of the loop.
func (l *Loop) wake() {
	if l.armed > 0 && l.Stalled != nil && l.Now() > l.armed+l.StallThreshold {
		l.armed = 0
		l.Stalled()
	}
}

// settle has what is due called, and sets the timer for what is not. It ends every turn of the loop.
//
// What is due is called after the connections that have something to read in this pass: after a stall an answer
// may lie there unread that a deadline would give up.
func (l *Loop) settle() {
	next, ok := l.deadlines.Next()
	if !ok || l.firing {
		return
	}
	now := l.Now()
	if next <= now {
		l.firing = true
		l.Post(l.fire)
		return
	}
	if l.armed == 0 || next < l.armed {
		l.armed = next
		l.timer.Reset(next - now)
	}
}

func (l *Loop) fire() {
	l.firing = false
	now := l.Now()
	for e := l.deadlines.PopDue(now); e != nil; e = l.deadlines.PopDue(now) {
		e.Fire()
	}
}

// OnBoot keeps the engine.
func (l *Loop) OnBoot(e gnet.Engine) gnet.Action {
	l.engine = e
	return gnet.None
}

// OnTick comes once the engine has started, from a goroutine of its own. The loop learns of itself here: gnet
// tells its event loop only to a connection, so a socket of the program becomes one. Earlier, from OnBoot, it would
// race with the start.
func (l *Loop) OnTick() (time.Duration, gnet.Action) {
	if !l.ticked {
		l.ticked = true
		if err := l.enrollSelf(); err != nil {
			l.err = err
			return time.Hour, gnet.Shutdown
		}
	}
	return 24 * time.Hour, gnet.None
}

// enrollSelf registers a UDP socket, which is closed as soon as it has brought the event loop: nothing is ever sent
// or read there. A pair of Unix sockets would need no address, but the platform knows TCP and UDP alone.
func (l *Loop) enrollSelf() error {
	c, err := net.Dial("udp", l.addr)
	if err != nil {
		return err
	}
	done, err := l.engine.Register(gnet.NewNetConnContext(gnet.NewContext(context.Background(), self{}), c))
	if err != nil {
		return err
	}
	return (<-done).Err
}

// self is the peer of the socket by which the loop learns of itself.
type self struct{}

func (self) Opened(c gnet.Conn)       { _ = c.Close() }
func (self) Readable(gnet.Conn) error { return nil }
func (self) Closed(gnet.Conn, error)  {}

// OnOpen, OnTraffic and OnClose pass a connection's events on to its peer.
func (l *Loop) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if l.events == nil {
		l.events = c.EventLoop()
		l.timer = time.AfterFunc(time.Hour, func() { l.Post(func() { l.armed = 0; l.fire() }) })
		l.Started()
	}
	l.wake()
	p, ok := c.Context().(ConnHandler)
	if !ok {
		if p = l.Accept(c); p == nil {
			return nil, gnet.Close
		}
		c.SetContext(p)
	}
	p.Opened(c)
	l.settle()
	return nil, gnet.None
}

// OnTraffic is called when bytes have come.
func (l *Loop) OnTraffic(c gnet.Conn) gnet.Action {
	l.wake()
	p, ok := c.Context().(ConnHandler)
	if !ok {
		return gnet.Close
	}
	err := p.Readable(c)
	l.settle()
	if err != nil {
		return gnet.Close
	}
	return gnet.None
}

// OnClose is called when a connection is gone.
func (l *Loop) OnClose(c gnet.Conn, err error) gnet.Action {
	if p, ok := c.Context().(ConnHandler); ok {
		p.Closed(c, err)
	}
	return gnet.None
}
