package eventloop

import (
	"net"

	"github.com/panjf2000/gnet/v2"
)

// registerBootstrapSocket registers a UDP socket with gnet, so that OnOpen is called and can obtain gnet's event loop,
// which gnet exposes only through a connection. No data is exchanged, and the socket is closed as soon as it is open. A
// pair of Unix sockets would need no address, but the platform supports only TCP and UDP.
func registerBootstrapSocket(client *gnet.Client, listenAddr string) error {
	conn, err := net.Dial("udp", listenAddr)
	if err != nil {
		return err
	}
	_, err = client.EnrollContext(conn, bootstrapHandler{})
	return err
}

// bootstrapHandler handles the socket registered by registerBootstrapSocket.
type bootstrapHandler struct{}

func (bootstrapHandler) Opened(c gnet.Conn)               { _ = c.Close() }
func (bootstrapHandler) Readable(gnet.Conn) (bool, error) { return false, nil }
func (bootstrapHandler) ReceiveMore([]byte) (int, error)  { return 0, nil }
func (bootstrapHandler) Closed(gnet.Conn, error)          {}

// OnOpen implements gnet.EventHandler. The first connection, opened by registerBootstrapSocket, provides gnet's event
// loop, on which Started is then called. Accept returns the handler of an incoming connection.
func (l *Loop) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	if l.gnetLoop == nil {
		l.gnetLoop = conn.EventLoop()
		l.startWakeupTimer()
		l.Started()
	}
	l.beforeCallback()
	handler, ok := conn.Context().(ConnHandler)
	if !ok {
		handler = l.Accept(conn)
		if handler == nil {
			return nil, gnet.Close
		}
		conn.SetContext(handler)
	}
	handler.Opened(conn)
	l.afterCallback()
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler. It is a turn of the connection: it passes received bytes to its handler.
func (l *Loop) OnTraffic(conn gnet.Conn) gnet.Action {
	l.beforeCallback()
	handler, ok := conn.Context().(ConnHandler)
	if !ok {
		return gnet.Close
	}
	err := l.takeTurn(conn, handler)
	l.afterCallback()
	if err != nil {
		return gnet.Close
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler. It notifies the connection's handler that the connection has ended.
func (l *Loop) OnClose(conn gnet.Conn, err error) gnet.Action {
	if handler, ok := conn.Context().(ConnHandler); ok {
		handler.Closed(conn, err)
	}
	return gnet.None
}
