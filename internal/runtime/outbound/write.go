// Package outbound writes to sockets so that the memory for unsent bytes follows from their number, and tracks the
// connections that have any.
//
// gnet keeps what the system does not take at once in a buffer for each write, whose capacity is a power of two, and a
// few of them in a ring buffer that never shrinks and is reused by other connections. Writes of limited length keep
// these buffers small.
package outbound

import (
	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	// PieceSize is the maximum length of what is buffered at a time, in bytes. It must not be less than the capacity
	// of gnet's ring buffers (gnet.WithWriteBufferCap).
	PieceSize = 1 << 10
	// maxOverhead is the maximum memory of a connection with unsent bytes besides the pieces, in bytes: the ring buffer
	// with up to two pieces, in a slice of up to twice that length.
	maxOverhead = 4 * PieceSize
)

// Write writes data to a connection and returns how much of it was written or buffered. After an error, gnet closes the
// connection and calls its handler.
func Write(socket gnet.Conn, data []byte) (written int, err error) {
	if len(data) > PieceSize && socket.OutboundBuffered() == 0 {
		// An error, such as EAGAIN, occurs again when gnet writes the rest, and is handled there.
		sent, _ := unix.Write(socket.Fd(), data)
		written = max(sent, 0)
	}
	for written < len(data) {
		piece := data[written:min(written+PieceSize, len(data))]
		if _, err := socket.Write(piece); err != nil {
			return written, err
		}
		written += len(piece)
	}
	return written, nil
}

// SystemRoom returns the number of bytes that the system accepts for a connection at once, at least. It is 0 if that is
// unknown.
func SystemRoom(socket gnet.Conn) int {
	size, err := unix.GetsockoptInt(socket.Fd(), unix.SOL_SOCKET, unix.SO_SNDBUF)
	if err != nil {
		return 0
	}
	queued, err := unix.IoctlGetInt(socket.Fd(), unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	// The system counts its records of the bytes as well, which take at most as much as the bytes.
	return max(size/2-queued, 0)
}
