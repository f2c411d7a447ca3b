package eventloop

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minAcceptBackoff and maxAcceptBackoff bound the backoff after a failed accept. It doubles with each consecutive
	// failure, and half of it is random jitter.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 160 * time.Millisecond
	// After CloseListener, the listener is closed once no connection has been accepted for closeDelay. Connections in
	// the kernel's backlog may carry requests and must be accepted first. maxCloseDelay bounds the total delay.
	closeDelay    = 5 * time.Millisecond
	maxCloseDelay = time.Second
)

// Listener accepts connections. Outside of tests it is a *net.TCPListener.
type Listener interface {
	// Accept waits for the next connection.
	Accept() (net.Conn, error)
	// SetDeadline makes Accept fail with os.ErrDeadlineExceeded from the given time on.
	SetDeadline(at time.Time) error
	// Close makes Accept fail with net.ErrClosed.
	Close() error
}

// acceptor accepts connections on its own goroutine and registers them with the Loop, up to maxPending at a time. Each
// registration waits until the loop has handled the connections that are ready: one at a time, many connections that
// are opened at once would wait for as many such passes.
//
// gnet's own acceptor is not used because it stops the event loop, and with it every open request, when accept fails
// for lack of descriptors or memory (EMFILE, ENFILE, ENOBUFS, ENOMEM). This acceptor retries after a backoff. Meanwhile
// new connections wait in the kernel's backlog, and open connections are served.
type acceptor struct {
	listener Listener
	register func(net.Conn) error // registers a connection with the loop and waits for the result
	onError  func(error)          // called for each failed accept and registration

	maxPending int        // limit on registrations in progress
	pending    int        // registrations in progress; used only by run
	results    chan error // of registrations

	accepted     bool      // a connection was accepted since the deadline was last set; used only by run
	closeStarted time.Time // when the first close deadline expired; used only by run

	stop     chan struct{} // closed by close to interrupt a backoff
	stopOnce sync.Once
	done     chan struct{} // closed when run returns
}

func newAcceptor(listener Listener, maxPending int, register func(net.Conn) error, onError func(error)) *acceptor {
	return &acceptor{
		listener:   listener,
		register:   register,
		onError:    onError,
		maxPending: maxPending,
		results:    make(chan error, maxPending),
		stop:       make(chan struct{}),
		done:       make(chan struct{}),
	}
}

// run accepts connections until the listener is closed or its close deadline expires, and waits until all are registered.
func (a *acceptor) run() {
	defer close(a.done)
	defer func() { _ = a.listener.Close() }()
	defer func() {
		if err := a.awaitPending(0); err != nil {
			a.onError(err)
		}
	}()
	backoff := time.Duration(0)
	for {
		err := a.awaitPending(a.maxPending - 1)
		if err == nil {
			err = a.accept()
		}
		switch {
		case err == nil:
			backoff = 0
			continue
		case errors.Is(err, os.ErrDeadlineExceeded) && a.extendDeadline():
			continue
		case errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded):
			return
		}
		a.onError(err)
		backoff = min(max(2*backoff, minAcceptBackoff), maxAcceptBackoff)
		if !a.pause(backoff) {
			return
		}
	}
}

// accept accepts a connection and begins to register it. It skips those that their clients have closed: clients that open
// ever new connections and close them would take much time from those that wait behind them in the backlog.
func (a *acceptor) accept() error {
	conn, err := a.listener.Accept()
	if err != nil {
		return err
	}
	a.accepted = true
	if isClosedByPeer(conn) {
		_ = conn.Close()
		if conn = acceptOpen(a.listener); conn == nil {
			return nil
		}
	}
	a.pending++
	go func() { a.results <- a.register(conn) }()
	return nil
}

// awaitPending waits until at most that many registrations are in progress. It returns the error of the first one that
// failed among those that have ended.
func (a *acceptor) awaitPending(most int) (failure error) {
	for a.pending > most || len(a.results) > 0 {
		err := <-a.results
		a.pending--
		if failure == nil {
			failure = err
		}
	}
	return failure
}

// extendDeadline is called when the close deadline has expired. It extends the deadline and returns true if connections
// were accepted since it was set, because more may be waiting: registering one takes time, and many may queue up during
// a stall.
func (a *acceptor) extendDeadline() bool {
	now := time.Now()
	if a.closeStarted.IsZero() {
		a.closeStarted = now
	}
	if !a.accepted || now.Sub(a.closeStarted) >= maxCloseDelay {
		return false
	}
	a.accepted = false
	return a.listener.SetDeadline(now.Add(closeDelay)) == nil
}

// isDone reports whether the listener is closed and all accepted connections have been registered.
func (a *acceptor) isDone() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// pause waits for 50 to 100 percent of backoff. It returns false if the acceptor is closed meanwhile.
func (a *acceptor) pause(backoff time.Duration) bool {
	timer := time.NewTimer(backoff/2 + rand.N(backoff/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-a.stop:
		return false
	}
}

// closeAfterBacklog makes run close the listener after accepting the connections in its backlog. New connection
// attempts are ignored from now on, so that none is established and then reset.
func (a *acceptor) closeAfterBacklog() {
	if tcp, ok := a.listener.(syscall.Conn); ok {
		ignoreSegments(tcp)
	}
	_ = a.listener.SetDeadline(time.Now().Add(closeDelay)) // fails only if the listener is closed already
}

// ignoreSegments attaches a socket filter to a listening socket that drops all incoming segments. On a platform without
// socket filters, connections established just before the close are reset.
func ignoreSegments(socket syscall.Conn) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: 1, Filter: &dropAll})
	})
}

// close closes the listener and waits until run has returned.
func (a *acceptor) close() {
	a.stopOnce.Do(func() { close(a.stop) })
	_ = a.listener.Close()
	<-a.done
}

// registerAccepted registers an accepted connection with the loop and waits until that is done.
func (l *Loop) registerAccepted(conn net.Conn) error {
	acceptedAt := time.Now()
	registered, err := l.gnetLoop.Enroll(context.Background(), conn)
	if err != nil {
		_ = conn.Close()
		return err
	}
	result := <-registered
	l.Post(func() { l.usage.LongestAccept = max(l.usage.LongestAccept, time.Since(acceptedAt)) })
	return result.Err
}

// acceptFailed calls AcceptFailed on the loop.
func (l *Loop) acceptFailed(err error) {
	if l.AcceptFailed != nil {
		l.Post(func() { l.AcceptFailed(err) })
	}
}

// CloseListener closes the listener after the connections in its backlog have been accepted. It must be called on the
// loop. ListenerClosed reports when that is done.
func (l *Loop) CloseListener() { l.acceptor.closeAfterBacklog() }

// ListenerClosed reports whether the listener is closed and all accepted connections have been registered.
func (l *Loop) ListenerClosed() bool { return l.acceptor.isDone() }
