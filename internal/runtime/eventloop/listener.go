package eventloop

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxSkippedAccepts is the maximum number of connections that one call of acceptOpen skips.
const maxSkippedAccepts = 256

// listenTCP listens on a TCP address. SO_REUSEADDR, set by package net, lets a restarted process listen while
// connections of the previous one are still closing. SO_REUSEPORT lets it listen while the previous process itself is
// still exiting.
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
	inner, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp, ok := inner.(*net.TCPListener)
	if !ok {
		return nil, errors.New("not a TCP listener")
	}
	return tcp, nil
}

// acceptOpen accepts waiting connections until it finds one that its client has not closed. It returns nil if there is
// none among the first maxSkippedAccepts. It takes much less time for each than package net.
func acceptOpen(listener Listener) (open net.Conn) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	_ = raw.Control(func(fd uintptr) {
		for range maxSkippedAccepts {
			socket, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return // the next call of Accept meets it again
			}
			if closedByPeer(socket) {
				_ = unix.Close(socket)
				continue
			}
			open = connOf(socket)
			return
		}
	})
	return open
}

// connOf returns the connection of an accepted socket, or nil if there are no descriptors for it.
func connOf(socket int) net.Conn {
	file := os.NewFile(uintptr(socket), "")
	defer func() { _ = file.Close() }() // FileConn copies the descriptor
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return conn
}

// isClosedByPeer is like closedByPeer.
func isClosedByPeer(conn net.Conn) (closed bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	if raw, err := socket.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { closed = closedByPeer(int(fd)) })
	}
	return closed
}

// closedByPeer reports whether the peer is known to have closed or reset a connection.
func closedByPeer(socket int) bool {
	info, err := unix.GetsockoptTCPInfo(socket, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
}
