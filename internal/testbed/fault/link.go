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

// minRecordedDelay is the delay above which a link records a delayed segment.
const minRecordedDelay = 20 * time.Millisecond

// linkListenAddress is the listen address of links. No client on loopback uses it as its source address.
var linkListenAddress = net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.1.1:0"))

const (
	linkBacklog        = 1024 // listen backlog while the link is not cut
	maxBacklogFillers  = 8    // maximum connections to fill the backlog of 0 while the link is cut
	backlogDialTimeout = 200 * time.Millisecond
)

// Link is a TCP proxy on loopback that applies a LinkCondition to the connections it forwards.
type Link struct {
	Addr string

	target      *net.TCPAddr
	mu          sync.Mutex
	condition   LinkCondition
	changed     chan struct{} // closed at each change of condition
	listener    *net.TCPListener
	connections map[*net.TCPConn]bool
	// backlogFillers keep the listen backlog full while the link is cut.
	backlogFillers []net.Conn
	closed         bool
	delayed        []delayedSegment
	acceptPaused   chan struct{} // the accepting goroutine signals that it waits for acceptResumed
	acceptResumed  chan struct{}
}

// delayedSegment records when data was sent and arrived that was in transit for longer than minRecordedDelay.
type delayedSegment struct {
	sentAt    time.Time
	arrivedAt time.Time
}

// NewLink opens a link to the target address.
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

// SentAt returns the time at which data that arrived at the given time was sent.
func (l *Link) SentAt(arrivedAt time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	earliest := arrivedAt
	for _, segment := range l.delayed {
		elapsed := arrivedAt.Sub(segment.arrivedAt)
		if elapsed >= 0 && elapsed < 5*minRecordedDelay && segment.sentAt.Before(earliest) {
			earliest = segment.sentAt
		}
	}
	return earliest
}

// Set replaces the link's condition.
func (l *Link) Set(condition LinkCondition) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasCut := l.condition.CutForward
	l.condition = condition
	defer close(l.changed) // after every change below is made
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

// blockNewConnections stops accepting and fills the listen backlog, so that the kernel drops further SYNs silently.
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
	return fmt.Errorf("link %s: new connections are still accepted", l.Addr)
}

// addBacklogFiller adds a connection to the listen backlog and reports whether there was space for it.
func (l *Link) addBacklogFiller() bool {
	conn, err := net.DialTimeout("tcp", l.Addr, backlogDialTimeout)
	if err != nil {
		return false
	}
	l.backlogFillers = append(l.backlogFillers, conn)
	return true
}

// admitNewConnections reverts blockNewConnections.
func (l *Link) admitNewConnections() error {
	for _, conn := range l.backlogFillers {
		conn.Close()
	}
	l.backlogFillers = nil
	err := errors.Join(l.setBacklog(linkBacklog), l.listener.SetDeadline(time.Time{}))
	l.acceptResumed <- struct{}{}
	return err
}

// setBacklog sets the listen backlog.
func (l *Link) setBacklog(connections int) error {
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), connections) })
	return errors.Join(err, failed)
}

// Reset resets all connections at once, including those with data in transit.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.connections {
		reset(conn)
	}
}

// reset closes a connection with a TCP RST.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only if the connection is already closed
	_ = conn.Close()
}

// Close closes the listener and resets all connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	_ = l.listener.Close() // best effort
	if l.condition.CutForward {
		l.acceptResumed <- struct{}{}
	}
	l.mu.Unlock()
	l.Reset()
	_ = l.Set(LinkCondition{}) // wakes goroutines that wait for a change; returns nil for a closed link
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

// connect connects to the target and forwards data in both directions until either end closes.
func (l *Link) connect(conn *net.TCPConn) {
	defer l.track(conn)()
	target, err := net.DialTCP("tcp", nil, l.target)
	if err != nil {
		_ = conn.SetLinger(0) // the client sees a reset, which stands for the refused connection
		return
	}
	defer l.track(target)()
	const directions = 2
	ended := make(chan bool, directions)
	go func() {
		l.forward(conn, target, LinkCondition.blocksForward)
		ended <- true
	}()
	go func() {
		l.forward(target, conn, LinkCondition.blocksBackward)
		ended <- true
	}()
	<-ended
}

// track registers a connection. The returned function closes and unregisters it.
func (l *Link) track(conn *net.TCPConn) (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[conn] = true
	return func() {
		_ = conn.Close() // may already be closed
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.connections, conn)
	}
}

// current returns the condition and a channel that is closed when it changes.
func (l *Link) current() (LinkCondition, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.condition, l.changed
}

// forward copies data in order, subject to the link's condition, until either end closes.
func (l *Link) forward(from, target net.Conn, blocked func(LinkCondition) bool) {
	buffer := make([]byte, 16<<10)
	for {
		size, err := from.Read(buffer)
		if err != nil {
			return
		}
		readAt := time.Now()
		condition, changed := l.current()
		for blocked(condition) {
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

// recordDelay records a segment that was in transit for longer than minRecordedDelay.
func (l *Link) recordDelay(sentAt, arrivedAt time.Time) {
	if arrivedAt.Sub(sentAt) <= minRecordedDelay {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delayed = append(l.delayed, delayedSegment{sentAt: sentAt, arrivedAt: arrivedAt})
}
