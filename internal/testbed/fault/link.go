package fault

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// minRecordedDelay is the delay from which on a link records it.
const minRecordedDelay = 20 * time.Millisecond

// linkListenAddress is where links are reached: an address of loopback from which nothing connects.
var linkListenAddress = net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.1.1:0"))

const (
	linkBacklog       = 1024 // of new connections while the link is not cut
	maxBacklogFillers = 8    // connections that fill the backlog of 0 while it is
	backlogFullAfter  = 200 * time.Millisecond
)

// Link carries TCP connections from one peer to another on loopback, under a condition.
type Link struct {
	Addr string

	target      *net.TCPAddr
	mu          sync.Mutex
	condition   LinkCondition
	changed     chan struct{} // closed at each change of condition
	listener    *net.TCPListener
	connections map[*net.TCPConn]bool
	// backlogFillers keep the queue of new connections full while the link is cut.
	backlogFillers []net.Conn
	closed         bool
	delayed        []delayedSegment
	acceptPaused   chan struct{} // the accepting goroutine says that it waits for acceptResumed
	acceptResumed  chan struct{}
}

// delayedSegment is bytes that were in transit for longer than minRecordedDelay.
type delayedSegment struct {
	sentAt    time.Time
	arrivedAt time.Time
}

// NewLink opens a link to an address.
func NewLink(target string) (*Link, error) {
	targetAddr, err := net.ResolveTCPAddr("tcp", target)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	listener, err := net.ListenTCP("tcp", linkListenAddress)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	link := &Link{
		Addr:          listener.Addr().String(),
		target:        targetAddr,
		listener:      listener,
		changed:       make(chan struct{}),
		connections:   map[*net.TCPConn]bool{},
		acceptPaused:  make(chan struct{}),
		acceptResumed: make(chan struct{}),
	}
	go link.accept()
	return link, nil
}

// SentAt returns when what arrived at a time was sent.
func (l *Link) SentAt(arrivedAt time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	earliest := arrivedAt
	for _, segment := range l.delayed {
		since := arrivedAt.Sub(segment.arrivedAt)
		if since >= 0 && since < 5*minRecordedDelay && segment.sentAt.Before(earliest) {
			earliest = segment.sentAt
		}
	}
	return earliest
}

// Set changes what the link does from now on.
func (l *Link) Set(condition LinkCondition) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasCut := l.condition.CutForward
	l.condition = condition
	defer close(l.changed) // once all is changed
	l.changed = make(chan struct{})
	switch {
	case wasCut == condition.CutForward || l.closed:
		return nil
	case condition.CutForward:
		return l.blockNewConnections()
	default:
		return l.admitNewConnections()
	}
}

// blockNewConnections stops accepting and fills the queue of new connections: the system drops further ones silently.
func (l *Link) blockNewConnections() error {
	if err := l.listener.SetDeadline(time.Now()); err != nil {
		return err
	}
	<-l.acceptPaused
	if err := l.setBacklog(0); err != nil {
		return err
	}
	for range maxBacklogFillers {
		if !l.addBacklogFiller() {
			return nil
		}
	}
	return fmt.Errorf("link %s: connections are still established", l.Addr)
}

// addBacklogFiller adds a connection to the queue of new ones, and reports whether there was space for it.
func (l *Link) addBacklogFiller() bool {
	conn, err := net.DialTimeout("tcp", l.Addr, backlogFullAfter)
	if err != nil {
		return false
	}
	l.backlogFillers = append(l.backlogFillers, conn)
	return true
}

// admitNewConnections undoes blockNewConnections.
func (l *Link) admitNewConnections() error {
	for _, conn := range l.backlogFillers {
		conn.Close()
	}
	l.backlogFillers = nil
	err := errors.Join(l.setBacklog(linkBacklog), l.listener.SetDeadline(time.Time{}))
	l.acceptResumed <- struct{}{}
	return err
}

// setBacklog sets how many new connections may wait to be accepted.
func (l *Link) setBacklog(connections int) error {
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), connections) })
	return errors.Join(err, failed)
}

// Reset resets all connections at once, also where data is in transit.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.connections {
		reset(conn)
	}
}

// reset closes a connection with a reset instead of in order.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only where the connection is gone already
	_ = conn.Close()
}

// Close ends the link.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	_ = l.listener.Close() // nothing is left to do about an error
	if l.condition.CutForward {
		l.acceptResumed <- struct{}{}
	}
	l.mu.Unlock()
	l.Reset()
	_ = l.Set(LinkCondition{}) // releases goroutines that wait; for a closed link it returns nil
}

// accept accepts connections until the link is closed. It pauses while the link is cut.
func (l *Link) accept() {
	for {
		conn, err := l.listener.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			l.acceptPaused <- struct{}{}
			<-l.acceptResumed
			continue
		}
		if err != nil {
			return
		}
		go l.connect(conn)
	}
}

// connect connects to the target and passes on data both ways until either end closes.
func (l *Link) connect(conn *net.TCPConn) {
	defer l.track(conn)()
	target, err := net.DialTCP("tcp", nil, l.target)
	if err != nil {
		_ = conn.SetLinger(0) // so that the peer sees a reset, like a refusal a moment later
		return
	}
	defer l.track(target)()
	const directions = 2
	ended := make(chan bool, directions)
	go func() {
		l.forward(conn, target, LinkCondition.stopsForward)
		ended <- true
	}()
	go func() {
		l.forward(target, conn, LinkCondition.stopsBackward)
		ended <- true
	}()
	<-ended
}

// track notes a connection, and returns what closes and forgets it.
func (l *Link) track(conn *net.TCPConn) (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[conn] = true
	return func() {
		_ = conn.Close() // it may be closed already
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.connections, conn)
	}
}

// current returns the condition, and a channel that is closed when it changes.
func (l *Link) current() (LinkCondition, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.condition, l.changed
}

// forward passes on what it reads, in order and under the link's condition, until either end closes.
func (l *Link) forward(from, target net.Conn, stopped func(LinkCondition) bool) {
	buffer := make([]byte, 16<<10)
	for {
		size, err := from.Read(buffer)
		if err != nil {
			return
		}
		readAt := time.Now()
		condition, changed := l.current()
		for stopped(condition) {
			<-changed
			condition, changed = l.current()
		}
		time.Sleep(condition.delay(size))
		l.recordDelay(readAt, time.Now())
		if _, err := target.Write(buffer[:size]); err != nil {
			return
		}
	}
}

// recordDelay records how long bytes were in transit, if that was long.
func (l *Link) recordDelay(sentAt, arrivedAt time.Time) {
	if arrivedAt.Sub(sentAt) <= minRecordedDelay {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delayed = append(l.delayed, delayedSegment{sentAt: sentAt, arrivedAt: arrivedAt})
}
