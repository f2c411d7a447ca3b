package fault_test

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"calicohill/internal/testbed/fault"
)

// Guards against a cut link that either end notices. Writes must succeed, data must arrive after the cut ends, and new
// connections must time out.
func TestLinkCut(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	go func() {
		for {
			accepted, err := target.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(accepted, accepted) }() // until either end closes
		}
	}()
	link, err := fault.NewLink(target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	conn, err := net.Dial("tcp", link.Addr)
	if err != nil {
		t.Fatal(err)
	}
	echo := func(within time.Duration) error {
		_ = conn.SetReadDeadline(time.Now().Add(within))
		_, err := conn.Read(make([]byte, 1))
		return err
	}
	if _, err := conn.Write([]byte("a")); err != nil || echo(time.Minute) != nil {
		t.Fatalf("no echo over a link without faults: %v", err)
	}
	if err := link.Set(fault.LinkCondition{CutForward: true, CutBackward: true}); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("b")); err != nil {
		t.Errorf("write to a cut link failed: %v", err)
	}
	if err := echo(50 * time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read over a cut link: %v, want a timeout", err)
	}
	if another, err := net.DialTimeout("tcp", link.Addr, 50*time.Millisecond); err == nil {
		another.Close()
		t.Error("a new connection was established over a cut link")
	}
	if err := link.Set(fault.LinkCondition{}); err != nil {
		t.Fatal(err)
	}
	if err := echo(time.Minute); err != nil {
		t.Errorf("no echo after the cut: %v", err)
	}
	link.Reset()
	if err := echo(time.Minute); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read after a reset: %v, want a connection error", err)
	}
}

// Guards against a hub that ignores its conditions, or that forwards datagrams from another address than the sender's
// hub address.
func TestHub(t *testing.T) {
	sender := listenUDP(t)
	receiver := listenUDP(t)
	var conditionMutex sync.Mutex
	condition := fault.LinkCondition{} // guarded by conditionMutex
	hub, err := fault.NewHub(
		[]string{sender.LocalAddr().String(), receiver.LocalAddr().String()},
		func(string, string) fault.LinkCondition {
			conditionMutex.Lock()
			defer conditionMutex.Unlock()
			return condition
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	defer hub.Close()
	receiverAddr, _ := net.ResolveUDPAddr("udp", hub.Addr(receiver.LocalAddr().String()))
	buf := make([]byte, 8)
	for _, tt := range []struct {
		condition fault.LinkCondition
		want      string
	}{
		{fault.LinkCondition{}, "1"},
		{fault.LinkCondition{CutForward: true}, ""},
		{fault.LinkCondition{Loss: 1}, ""},
		{fault.LinkCondition{Delay: time.Millisecond}, "4"},
	} {
		conditionMutex.Lock()
		condition = tt.condition
		conditionMutex.Unlock()
		payload := byte('x')
		if tt.want != "" {
			payload = tt.want[0]
		}
		if _, err := sender.WriteToUDP([]byte{payload}, receiverAddr); err != nil {
			t.Fatal(err)
		}
		if tt.want == "" {
			_ = receiver.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
			if size, _, err := receiver.ReadFromUDP(buf); err == nil {
				t.Errorf("%+v: received %q", tt.condition, buf[:size])
			}
			continue
		}
		_ = receiver.SetReadDeadline(time.Now().Add(time.Minute))
		size, from, err := receiver.ReadFromUDP(buf)
		if err != nil || string(buf[:size]) != tt.want || from.String() != hub.Addr(sender.LocalAddr().String()) {
			t.Errorf("%+v: %q from %v, %v", tt.condition, buf[:size], from, err)
		}
	}
}

// listenUDP opens a socket on loopback and closes it at the end of the test.
func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}
