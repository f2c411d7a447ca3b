package eventloop

import (
	"net"

	"github.com/panjf2000/gnet/v2"
)

// enrollSelf registers a UDP socket, whose connection gives OnOpen access to gnet's event loop: gnet reveals it only to a
// connection. The socket is closed at once: nothing is ever sent or read there. A pair of Unix sockets would need no
// address, but the platform knows TCP and UDP alone.
func enrollSelf(client *gnet.Client, listenAddr string) error {
	conn, err := net.Dial("udp", listenAddr)
	if err != nil {
		return err
	}
	_, err = client.EnrollContext(conn, selfHandler{})
	return err
}

// selfHandler handles the socket that enrollSelf registers.
type selfHandler struct{}

func (selfHandler) Opened(c gnet.Conn)       { _ = c.Close() }
func (selfHandler) Readable(gnet.Conn) error { return nil }
func (selfHandler) Closed(gnet.Conn, error)  {}

// OnOpen implements gnet.EventHandler. The first connection, the one of enrollSelf, gives access to gnet's event loop, and
// the program is started on it. A connection that was accepted gets its handler from Accept.
func (l *Loop) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	if l.gnetLoop == nil {
		l.gnetLoop = conn.EventLoop()
		l.startWakeupTimer()
		l.Started()
	}
	l.beginTurn()
	handler, ok := conn.Context().(ConnHandler)
	if !ok {
		handler = l.Accept(conn)
		if handler == nil {
			return nil, gnet.Close
		}
		conn.SetContext(handler)
	}
	handler.Opened(conn)
	l.endTurn()
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler. It passes received bytes on to the connection's handler.
func (l *Loop) OnTraffic(conn gnet.Conn) gnet.Action {
	l.beginTurn()
	handler, ok := conn.Context().(ConnHandler)
	if !ok {
		return gnet.Close
	}
	err := handler.Readable(conn)
	l.endTurn()
	if err != nil {
		return gnet.Close
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler. It notifies the connection's handler.
func (l *Loop) OnClose(conn gnet.Conn, err error) gnet.Action {
	if handler, ok := conn.Context().(ConnHandler); ok {
		handler.Closed(conn, err)
	}
	return gnet.None
}
