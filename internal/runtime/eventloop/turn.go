package eventloop

import (
	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// In each pass over the connections that are ready, every one of them has a turn. A turn handles up to maxTurnBytes, but
// its handler may end it once it has done as much work as it grants a connection at a time. What a connection has sent
// beyond that stays in the system's buffer until its next turn, so that it delays the others by a turn only.
const (
	// MinTurnBytes is the number of bytes that are read from a connection first. The handler has to take them all. It is
	// the least that gnet can read at a time.
	MinTurnBytes = 1 << 10
	// maxTurnBytes is the maximum number of bytes that are handled in a turn.
	maxTurnBytes = 1 << 16
)

// takeTurn passes received bytes to the handler of a connection.
func (l *Loop) takeTurn(conn gnet.Conn, handler ConnHandler) error {
	started := l.Now()
	bytes := conn.InboundBuffered()
	mayHaveMore := bytes >= MinTurnBytes
	takesMore, err := handler.Readable(conn)
	if err == nil && mayHaveMore && takesMore {
		var handled int
		handled, err = l.receiveMore(conn, handler)
		bytes += handled
	}
	l.usage.addTurn(l.Now()-started, bytes)
	return err
}

// receiveMore passes bytes to the handler that were received besides those that gnet has read. Those that the handler
// leaves stay in the system's buffer. It returns the number of those that were handled.
func (l *Loop) receiveMore(conn gnet.Conn, handler ConnHandler) (handled int, err error) {
	if isClosed(conn) {
		return 0, nil
	}
	// gnet meets an error or the end of the stream in the next turn.
	received, _, _ := unix.Recvfrom(conn.Fd(), l.received[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if received <= 0 {
		return 0, nil
	}
	handled, err = handler.ReceiveMore(l.received[:received])
	if err != nil || handled == 0 || isClosed(conn) {
		return handled, err
	}
	// MSG_TRUNC drops the bytes without copying them. They were there a moment ago, so that it can't fail.
	_, _, _ = unix.Recvfrom(conn.Fd(), l.received[:handled], unix.MSG_TRUNC|unix.MSG_DONTWAIT)
	return handled, nil
}

// Unread returns the number of bytes that have been received and not been read in a turn of the connection yet.
func Unread(conn gnet.Conn) int {
	unread, err := unix.IoctlGetInt(conn.Fd(), unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return unread
}

// isClosed reports whether a handler has closed its connection. gnet then forgets the handler.
func isClosed(conn gnet.Conn) bool { return conn.Context() == nil }
