package nodeagent_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/internal/nodeagent"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"
)

// bodySink records the bodies of attempts in addition to the outcomes.
type bodySink struct {
	recordingSink
	bodies map[slotmap.Ref]string
}

func (s bodySink) AttemptEnded(ref slotmap.Ref, result dispatch.AttemptResult) {
	s.recordingSink.AttemptEnded(ref, result)
	s.bodies[ref] = string(result.Body)
}

// TestLongResponseInPieces fails if a 1 MB response that arrives in pieces within 250 ms is truncated or lost, or if a
// response that takes longer does not end the attempt with ConnectionReset.
func TestLongResponseInPieces(t *testing.T) {
	body := strings.Repeat("0123456789", 100_000)
	for _, delivery := range []struct {
		name  string
		pause time.Duration // before each piece except the first
		want  routing.Outcome
	}{
		{"all within 250 ms", 15 * time.Millisecond, routing.Served}, // the last of 16 pieces arrives after 225 ms
		{"the last piece late", 17 * time.Millisecond, routing.ConnectionReset},
	} {
		t.Run(delivery.name, func(t *testing.T) {
			sink := bodySink{recordingSink{}, map[slotmap.Ref]string{}}
			pool, loop := newPoolWithSink(nodeagent.Options{MaxConns: 10, MaxDescriptors: 30}, sink, "a")
			sent := attempt(1, "a")
			pool.Send(sent)
			conn := loop.completeDial()
			const pieceSize = 1 << 16
			rest := fmt.Sprintf("%s OK - %d\r\n%s\r\n", sent.ID, len(body), body)
			for first := true; rest != "" && !conn.closed; first = false {
				if !first {
					loop.advance(delivery.pause)
				}
				size := min(pieceSize, len(rest))
				if !conn.closed {
					if err := conn.receive(rest[:size]); err != nil {
						t.Fatal(err)
					}
				}
				rest = rest[size:]
			}
			if got, ok := sink.recordingSink[sent.Ref]; !ok || got != delivery.want {
				t.Fatalf("outcome %v (ended: %v), want %v", got, ok, delivery.want)
			}
			if delivery.want == routing.Served && sink.bodies[sent.Ref] != body {
				t.Errorf("got a body of %d bytes, want the %d bytes that were sent", len(sink.bodies[sent.Ref]), len(body))
			}
		})
	}
}
