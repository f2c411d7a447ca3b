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
	// minAcceptBackoff and maxAcceptBackoff bound the pause after an accept that failed; it doubles with each failure in a
	// row, and half of it is drawn at random.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 160 * time.Millisecond
	// closeDelay is how long no connection must have come after CloseListener until the listener is closed: those that the
	// system had accepted by then may carry requests. maxCloseDelay is how long that may go on.
	closeDelay    = 5 * time.Millisecond
	maxCloseDelay = time.Second
)

// Listener accepts connections; it is a net.TCPListener in the program.
type Listener interface {
	// Accept waits for the next connection.
	Accept() (net.Conn, error)
	// SetDeadline has Accept fail with os.ErrDeadlineExceeded from a time on.
	SetDeadline(at time.Time) error
	// Close has Accept fail with net.ErrClosed.
	Close() error
}

// acceptor accepts the connections of a Loop on a goroutine of its own and hands them to the loop, one after the other.
//
// gnet could accept as well, but ends its event loop, and with it every open request, when accept fails for want of
// descriptors or memory (EMFILE, ENFILE, ENOBUFS, ENOMEM). Here accepting is tried again after a pause; connections wait in
// the backlog of the system meanwhile, and what is open goes on.
type acceptor struct {
	listener Listener
	adopt    func(net.Conn) error // hands a connection to the loop, and waits until it has it
	failed   func(error)          // is told of each accept that fails

	accepted bool      // a connection has come since the deadline was last set; run's
	closing  time.Time // when the listener was first due to be closed; run's

	stop     chan struct{} // closed to end a pause
	stopOnce sync.Once
	ended    chan struct{} // closed when run has returned
}

func newAcceptor(listener Listener, adopt func(net.Conn) error, failed func(error)) *acceptor {
	return &acceptor{
		listener: listener,
		adopt:    adopt,
		failed:   failed,
		stop:     make(chan struct{}),
		ended:    make(chan struct{}),
	}
}

// listenTCP listens at an address. With SO_REUSEADDR, which net sets, connections of the previous process that have not
// quite ended don't keep a restart from listening; SO_REUSEPORT is for a previous process that has not quite ended itself.
func listenTCP(addr string) (Listener, error) {
	config := net.ListenConfig{
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			controlErr := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			})
			return errors.Join(controlErr, optionErr)
		},
	}
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, errors.New("not a TCP listener")
	}
	return tcp, nil
}

// run accepts connections until the listener is closed.
func (a *acceptor) run() {
	defer close(a.ended)
	defer func() { _ = a.listener.Close() }()
	backoff := time.Duration(0)
	for {
		conn, err := a.listener.Accept()
		switch {
		case err == nil:
			a.accepted = true
			err = a.adopt(conn)
		case errors.Is(err, os.ErrDeadlineExceeded) && a.mayGoOn():
			continue
		case errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded):
			return
		}
		if err == nil {
			backoff = 0
			continue
		}
		a.failed(err)
		backoff = min(max(2*backoff, minAcceptBackoff), maxAcceptBackoff)
		if !a.pause(backoff) {
			return
		}
	}
}

// mayGoOn reports whether more connections may wait though the listener is due to be closed: handing over one takes time, and
// after a stall many have come.
func (a *acceptor) mayGoOn() bool {
	now := time.Now()
	if a.closing.IsZero() {
		a.closing = now
	}
	if !a.accepted || now.Sub(a.closing) >= maxCloseDelay {
		return false
	}
	a.accepted = false
	return a.listener.SetDeadline(now.Add(closeDelay)) == nil
}

// hasEnded reports whether the listener is closed and all that it had accepted was handed over.
func (a *acceptor) hasEnded() bool {
	select {
	case <-a.ended:
		return true
	default:
		return false
	}
}

// pause waits for about a time, and returns false if accepting has to end.
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

// closeSoon has the listener closed once what waits in its backlog is accepted. Connections that are only begun from now on
// are not answered by the system, so that none is established and then reset.
func (a *acceptor) closeSoon() {
	if tcp, ok := a.listener.(syscall.Conn); ok {
		ignoreSegments(tcp)
	}
	_ = a.listener.SetDeadline(time.Now().Add(closeDelay)) // fails only if it is closed already
}

// ignoreSegments has the system drop whatever arrives for a listening socket, by a socket filter that accepts no byte. Where
// the platform has none, connections that are established in the moment of the close are reset.
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

// close closes the listener and waits for the end of run.
func (a *acceptor) close() {
	a.stopOnce.Do(func() { close(a.stop) })
	_ = a.listener.Close()
	<-a.ended
}

// adopt registers a connection that was accepted with the loop and waits until that is done, so that connections are
// accepted no faster than the loop takes them.
func (l *Loop) adopt(conn net.Conn) error {
	registered, err := l.gnetLoop.Enroll(context.Background(), conn)
	if err != nil {
		_ = conn.Close()
		return err
	}
	return (<-registered).Err
}

// acceptFailed reports on the loop that an accept failed.
func (l *Loop) acceptFailed(err error) {
	if l.AcceptFailed != nil {
		l.Post(func() { l.AcceptFailed(err) })
	}
}

// CloseListener has no further connections accepted, but for those that wait already. It must be called on the loop.
func (l *Loop) CloseListener() { l.acceptor.closeSoon() }

// ListenerClosed reports whether no further connection will be accepted.
func (l *Loop) ListenerClosed() bool { return l.acceptor.hasEnded() }
