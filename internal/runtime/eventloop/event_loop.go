// Package eventloop runs the program's single event loop on top of gnet.
//
// All state of the program is owned by the loop's goroutine: connection events, expired timers and functions posted by
// other goroutines are called there one after another, so that their code needs no locks.
package eventloop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"calicohill/internal/runtime/deadline"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"golang.org/x/sys/unix"
)

// MaxStallThreshold is the stall threshold of a Loop where nothing asks for a shorter one.
const MaxStallThreshold = 300 * time.Millisecond

// ConnHandler handles the events of one connection. All of its methods are called on the loop.
type ConnHandler interface {
	// Opened is called once the connection is established.
	Opened(c gnet.Conn)
	// Readable is called when bytes have been received. An error closes the connection.
	Readable(c gnet.Conn) error
	// Closed is called once the connection has ended, for whatever reason. c must not be used afterwards.
	Closed(c gnet.Conn, e error)
}

// Loop is the event loop. Its exported fields are set before Run and not changed afterwards.
type Loop struct {
	gnet.BuiltinEventEngine

	// Accept returns the handler of an incoming connection; nil rejects the connection.
	Accept func(c gnet.Conn) ConnHandler
	// Listen listens at the address that Run is given. New sets it to listen for TCP connections.
	Listen func(addr string) (Listener, error)
	// AcceptFailed, if set, is called on the loop for each accept that failed; accepting goes on after a pause.
	AcceptFailed func(err error)
	// Started is called on the loop before any other callback.
	Started func()
	// Logger receives gnet's own log.
	Logger logging.Logger
	// Stalled, if set, is called before all other callbacks when the loop did not run for more than StallThreshold
	// although a timer was due: the process was stopped, or had no processor.
	Stalled func()
	// StallThreshold is how late a timer must be for the loop to count as stalled. New sets MaxStallThreshold, the
	// longest sensible value.
	StallThreshold time.Duration

	acceptor  *acceptor
	stop      chan struct{} // closed to end Run
	stopOnce  sync.Once
	stopped   chan struct{}  // closed when Run has ended
	startTime time.Time      // carries the monotonic clock reading that Now is measured from
	startUnix time.Duration  // startTime since the Unix epoch
	gnetLoop  gnet.EventLoop // nil until the first connection is opened; see enrollSelf

	timers      deadline.Queue
	wakeup      *time.Timer   // wakes the loop for the earliest timer
	wakeupAt    time.Duration // what wakeup is set for; 0 means not set
	firePending bool          // fireDueTimers has been posted and has not run yet
}

// New returns a Loop whose clock starts now.
func New() *Loop {
	now := time.Now()
	return &Loop{
		Listen:         listenTCP,
		StallThreshold: MaxStallThreshold,
		startTime:      now,
		startUnix:      time.Duration(now.UnixNano()),
		stop:           make(chan struct{}),
		stopped:        make(chan struct{}),
	}
}

// UnreadFor returns how long ago the latest bytes of a connection arrived, while they wait to be read; 0 if that is not
// known. After a stall it is the delay that the loop has to make up for.
func UnreadFor(c gnet.Conn) time.Duration {
	info, err := unix.GetsockoptTCPInfo(c.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// Now returns the time since the Unix epoch. It advances monotonically, even if the system's clock is set meanwhile.
func (l *Loop) Now() time.Duration { return l.startUnix + time.Since(l.startTime) }

// Run listens on a TCP address and serves until Stop is called.
func (l *Loop) Run(addr string) error {
	defer close(l.stopped)
	listener, err := l.Listen(addr)
	if err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	l.acceptor = newAcceptor(listener, l.adopt, l.acceptFailed)
	// A gnet client is an engine that accepts nothing itself.
	client, err := gnet.NewClient(l, gnet.WithNumEventLoop(1), gnet.WithLogger(l.Logger))
	if err == nil {
		err = client.Start()
	}
	if err != nil {
		return fmt.Errorf("event loop: %w", errors.Join(err, listener.Close()))
	}
	err = enrollSelf(client, addr)
	if err == nil {
		go l.acceptor.run()
		<-l.stop
		l.acceptor.close()
	} else {
		_ = listener.Close()
	}
	if err = errors.Join(err, client.Stop()); err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	return nil
}

// Stop ends Run and waits for its end. It is safe to call from any goroutine but the loop's.
func (l *Loop) Stop() error {
	l.stopOnce.Do(func() { close(l.stop) })
	<-l.stopped
	return nil
}

// Post schedules a function to be called on the loop, after the callback that is running there. It is safe for
// concurrent use. Once the loop has stopped, the function is dropped.
func (l *Loop) Post(fn func()) {
	// The only error is that the engine has stopped, and then nothing needs to be called.
	_ = l.gnetLoop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		l.beginTurn()
		fn()
		l.endTurn()
		return nil
	}))
}

// Dial connects in the background, so that the loop never waits for it, and hands the connection to handler.Opened. If
// no connection is established within the timeout, failed is called on the loop with the error instead.
func (l *Loop) Dial(addr string, timeout time.Duration, handler ConnHandler, failed func(error)) {
	go func() {
		if err := l.dialAndEnroll(addr, timeout, handler); err != nil {
			l.Post(func() { failed(err) })
		}
	}()
}

// dialAndEnroll connects, registers the connection with the loop and waits until that is done.
func (l *Loop) dialAndEnroll(addr string, timeout time.Duration, handler ConnHandler) error {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return err
	}
	registered, err := l.gnetLoop.Enroll(gnet.NewContext(context.Background(), handler), conn)
	if err != nil {
		return err
	}
	return (<-registered).Err
}
