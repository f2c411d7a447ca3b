package testbed

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// A cut link gives no sign: what was sent comes once it is whole again, and a new connection does not come up.
func TestLinkCut(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go io.Copy(c, c)
		}
	}()
	k, err := NewLink(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	c, err := net.Dial("tcp", k.Addr)
	if err != nil {
		t.Fatal(err)
	}
	echo := func(within time.Duration) error {
		_ = c.SetReadDeadline(time.Now().Add(within))
		_, err := c.Read(make([]byte, 1))
		return err
	}
	if _, err := c.Write([]byte("a")); err != nil || echo(time.Minute) != nil {
		t.Fatalf("a link that is whole carries nothing: %v", err)
	}
	if err := k.Set(LinkCondition{CutForward: true, CutBackward: true}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("b")); err != nil {
		t.Errorf("the sender notices the cut: %v", err)
	}
	if err := echo(50 * time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("over a cut link comes %v", err)
	}
	if c, err := net.DialTimeout("tcp", k.Addr, 50*time.Millisecond); err == nil {
		c.Close()
		t.Error("a connection comes up over a cut link")
	}
	if err := k.Set(LinkCondition{}); err != nil {
		t.Fatal(err)
	}
	if err := echo(time.Minute); err != nil {
		t.Errorf("after the cut: %v", err)
	}
	k.Reset()
	if err := echo(time.Minute); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after a reset: %v", err)
	}
}

// A hub drops, doubles and cuts as it is told, and the receiver sees the sender's address there.
func TestHub(t *testing.T) {
	socket := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	a, b := socket(), socket()
	line := LinkCondition{}
	h, err := NewHub([]string{a.LocalAddr().String(), b.LocalAddr().String()}, func(string, string) LinkCondition { return line })
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	to, _ := net.ResolveUDPAddr("udp", h.Addr(b.LocalAddr().String()))
	buf := make([]byte, 8)
	for _, c := range []struct {
		line LinkCondition
		want string
	}{{LinkCondition{}, "1"}, {LinkCondition{CutForward: true}, ""}, {LinkCondition{Loss: 1}, ""}, {LinkCondition{Delay: time.Millisecond}, "4"}} {
		h.mu.Lock()
		line = c.line
		h.mu.Unlock()
		n := byte('x')
		if c.want != "" {
			n = c.want[0]
		}
		if _, err := a.WriteToUDP([]byte{n}, to); err != nil {
			t.Fatal(err)
		}
		if c.want == "" {
			_ = b.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
			if n, _, err := b.ReadFromUDP(buf); err == nil {
				t.Errorf("%+v: %q comes", c.line, buf[:n])
			}
			continue
		}
		_ = b.SetReadDeadline(time.Now().Add(time.Minute))
		k, from, err := b.ReadFromUDP(buf)
		if err != nil || string(buf[:k]) != c.want || from.String() != h.Addr(a.LocalAddr().String()) {
			t.Errorf("%+v: %q from %v, %v", c.line, buf[:k], from, err)
		}
	}
}
