package eventloop

import (
	"context"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
)

const (
	// tickInterval is the pause between ticks after the first, which is the only one that does anything.
	tickInterval = 24 * time.Hour
	// shutdownTick is the pause reported with a shutdown; no tick follows it.
	shutdownTick = time.Hour
)

// OnBoot implements gnet.EventHandler. It keeps the engine for Stop and enrollSelf.
func (l *Loop) OnBoot(engine gnet.Engine) gnet.Action {
	l.engine = engine
	return gnet.None
}

// OnTick implements gnet.EventHandler. gnet calls it once the engine has started, on a goroutine of its own.
//
// gnet reveals its event loop only to a connection, so the program registers a socket of its own. Doing so earlier, in
// OnBoot, would race with the start of the engine.
func (l *Loop) OnTick() (time.Duration, gnet.Action) {
	if !l.enrolled {
		l.enrolled = true
		if err := l.enrollSelf(); err != nil {
			l.enrollErr = err
			return shutdownTick, gnet.Shutdown
		}
	}
	return tickInterval, gnet.None
}

// enrollSelf registers a UDP socket, whose connection gives OnOpen access to gnet's event loop. The socket is closed at
// once: nothing is ever sent or read there. A pair of Unix sockets would need no address, but the platform knows TCP and UDP
// alone.
func (l *Loop) enrollSelf() error {
	conn, err := net.Dial("udp", l.listenAddr)
	if err != nil {
		return err
	}
	ctx := gnet.NewNetConnContext(gnet.NewContext(context.Background(), selfHandler{}), conn)
	registered, err := l.engine.Register(ctx)
	if err != nil {
		return err
	}
	return (<-registered).Err
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
