// Package eventloop runs the program's single event loop on top of gnet.
//
// The loop's goroutine owns all state of the program. Connection events, expired timers and functions posted by other
// goroutines run there one at a time, so that their code needs no locks.
package eventloop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/outbound"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"golang.org/x/sys/unix"
)

// MaxStallThreshold is the default stall threshold of a Loop, and the longest sensible one.
const MaxStallThreshold = 300 * time.Millisecond

// ConnHandler handles the events of one connection. All of its methods are called on the loop.
type ConnHandler interface {
	// Opened is called once the connection is established.
	Opened(c gnet.Conn)
	// Readable is called when bytes have been received, in a turn of the connection. It handles those that c has buffered,
	// at most MinTurnBytes, and reports whether it takes more in this turn. An error closes the connection.
	Readable(c gnet.Conn) (more bool, err error)
	// ReceiveMore is called in the same turn if more bytes have been received. It handles some or all of them and
	// returns how many. Those that are left are received again in the next turn. An error closes the connection.
	ReceiveMore(received []byte) (handled int, err error)
	// Closed is called once the connection has ended, for whatever reason. c must not be used afterwards.
	Closed(c gnet.Conn, e error)
}

// Loop is the event loop. Its exported fields are set before Run and not changed afterwards.
type Loop struct {
	gnet.BuiltinEventEngine

	// Accept returns the handler of an incoming connection, or nil to reject the connection.
	Accept func(c gnet.Conn) ConnHandler
	// Listen creates the listener for the address passed to Run. New sets it to listen for TCP connections.
	Listen func(addr string) (Listener, error)
	// MaxPendingAccepts is the maximum number of connections that are accepted and not passed to Accept yet. Each takes
	// up to two descriptors. New sets it to 1.
	MaxPendingAccepts int
	// AcceptFailed, if set, is called on the loop for each failed accept. Accepting resumes after a backoff.
	AcceptFailed func(err error)
	// Started is called on the loop before any other callback.
	Started func()
	// Logger receives gnet's own log.
	Logger logging.Logger
	// Stalled, if set, is called before all other callbacks when the loop runs more than StallThreshold after a timer
	// was due. That happens when the process was stopped or got no CPU time.
	Stalled func()
	// StallThreshold is how late a timer must be for the loop to count as stalled. New sets it to MaxStallThreshold.
	StallThreshold time.Duration

	acceptor  *acceptor
	stop      chan struct{} // closed to end Run
	stopOnce  sync.Once
	stopped   chan struct{}  // closed when Run has ended
	startTime time.Time      // with the monotonic clock reading from which Now measures
	startUnix time.Duration  // startTime as the time since the Unix epoch
	gnetLoop  gnet.EventLoop // nil until the first connection is opened; see registerBootstrapSocket

	usage    Usage
	received [maxTurnBytes - MinTurnBytes]byte // for receiveMore

	timers      deadline.Queue
	wakeup      *time.Timer   // wakes the loop for the earliest timer
	wakeupAt    time.Duration // when wakeup expires or the overdue timers were due; 0 if neither is known
	stalledAt   time.Duration // when the last stall was noticed
	firePending bool          // fireDueTimers is posted and has not run yet
}

// New returns a Loop whose clock starts now.
func New() *Loop {
	now := time.Now()
	return &Loop{
		Listen:            listenTCP,
		MaxPendingAccepts: 1,
		StallThreshold:    MaxStallThreshold,
		startTime:         now,
		startUnix:         time.Duration(now.UnixNano()),
		stop:              make(chan struct{}),
		stopped:           make(chan struct{}),
	}
}

// UnreadFor returns the time since the latest bytes of a connection were received by the kernel, or 0 if it is unknown.
// For bytes that are not read yet, it is the delay added by the loop, for example by a stall.
func UnreadFor(c gnet.Conn) time.Duration {
	info, err := unix.GetsockoptTCPInfo(c.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// Now returns the time since the Unix epoch. It advances monotonically, even if the system clock is changed meanwhile.
func (l *Loop) Now() time.Duration { return l.startUnix + time.Since(l.startTime) }

// Run listens on a TCP address and serves until Stop is called.
func (l *Loop) Run(addr string) error {
	defer close(l.stopped)
	listener, err := l.Listen(addr)
	if err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	l.acceptor = newAcceptor(listener, l.MaxPendingAccepts, l.registerAccepted, l.acceptFailed)
	// A gnet client runs an event loop without accepting connections itself.
	client, err := gnet.NewClient(l, gnet.WithNumEventLoop(1), gnet.WithReadBufferCap(MinTurnBytes),
		gnet.WithWriteBufferCap(outbound.PieceSize), gnet.WithLogger(l.Logger))
	if err == nil {
		err = client.Start()
	}
	if err != nil {
		return fmt.Errorf("event loop: %w", errors.Join(err, listener.Close()))
	}
	err = registerBootstrapSocket(client, addr)
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

// Stop ends Run and waits until it has returned. It may be called from any goroutine except the loop's.
func (l *Loop) Stop() error {
	l.stopOnce.Do(func() { close(l.stop) })
	<-l.stopped
	return nil
}

// Post schedules fn to be called on the loop, after the callback that is running there. It is safe for concurrent use.
// After the loop has stopped, fn is dropped.
func (l *Loop) Post(fn func()) {
	posted := l.Now()
	// Execute fails only if the engine has stopped, and then fn is no longer needed.
	_ = l.gnetLoop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		l.beforeCallback()
		l.usage.LongestPass = max(l.usage.LongestPass, l.Now()-posted)
		fn()
		l.afterCallback()
		return nil
	}))
}

// Dial connects in the background, so that the loop never blocks, and then calls handler.Opened on the loop. If no
// connection is established within the timeout, it calls failed on the loop with the error instead.
func (l *Loop) Dial(addr string, timeout time.Duration, handler ConnHandler, failed func(error)) {
	go func() {
		if err := l.dialAndEnroll(addr, timeout, handler); err != nil {
			l.Post(func() { failed(err) })
		}
	}()
}

// dialAndEnroll connects, registers the connection with the loop and waits for the result.
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
