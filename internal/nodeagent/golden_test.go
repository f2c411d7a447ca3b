package nodeagent_test

import (
	"testing"
	"time"

	"calicohill/internal/nodeagent"
)

// TestGoldenCommands fails if the bytes of a command sent to a node agent change. The expected commands define the wire
// format and must not be adapted to the code.
func TestGoldenCommands(t *testing.T) {
	keyed := attempt(2, "a")
	keyed.IdempotencyKey, keyed.Timeout, keyed.Body = "k-1", 2500*time.Millisecond+999*time.Microsecond, []byte("two\r\nlines")
	short := attempt(3, "a")
	short.Timeout = 999 * time.Microsecond
	for _, tt := range []struct {
		name   string
		before func(*nodeagent.Pool) // before a connection is established
		after  func(*nodeagent.Pool) // after a connection is established; may be nil
		want   string
	}{
		{
			"attempt", func(p *nodeagent.Pool) { p.Send(attempt(1, "a")) }, nil,
			"go 0000000000000001 sort=consulta,asset=f,patience=1000 0\r\n\r\n",
		},
		{
			"attempt with key and body", func(p *nodeagent.Pool) { p.Send(keyed) }, nil,
			"go 0000000000000002 sort=consulta,asset=f,patience=2500,op=k-1 10\r\ntwo\r\nlines\r\n",
		},
		{
			"attempt with less than a millisecond", func(p *nodeagent.Pool) { p.Send(short) }, nil,
			"go 0000000000000003 sort=consulta,asset=f,patience=1 0\r\n\r\n",
		},
		{
			"attempt that is canceled", func(p *nodeagent.Pool) { p.Send(attempt(1, "a")) }, func(p *nodeagent.Pool) { p.Cancel(1) },
			"go 0000000000000001 sort=consulta,asset=f,patience=1000 0\r\n\r\nhalt 0000000000000001\r\n",
		},
		{"probe", func(p *nodeagent.Pool) { p.Probe("a") }, nil, "stat p1\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p, loop, _ := newPool(nodeagent.Options{MaxConns: 10, MaxDescriptors: 30}, "a")
			tt.before(p)
			connection := loop.completeDial()
			if tt.after != nil {
				tt.after(p)
			}
			if got := connection.sent.String(); got != tt.want {
				t.Errorf("sent %q, want %q", got, tt.want)
			}
		})
	}
}
