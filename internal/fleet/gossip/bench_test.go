package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"calicohill/internal/fleet/gossip"
)

const (
	benchMembers = 300
	benchTick    = 10 * time.Millisecond // virtual time between steps
)

// benchFleet generates the events that a fleet member receives.
type benchFleet struct {
	rng     *rand.Rand
	records []gossip.Record
	unacked []gossip.Transmit // pings sent by the member and not answered yet
}

func newBenchFleet(seed uint64) *benchFleet {
	fleet := &benchFleet{rng: rand.New(rand.NewPCG(seed, 3))}
	for i := range benchMembers {
		ip := netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)})
		fleet.records = append(fleet.records, gossip.Record{
			Name: fmt.Sprintf("scheduler-%d", i), Addr: gossip.Addr{AddrPort: netip.AddrPortFrom(ip, 7946)}, Epoch: 1, Incarnation: 1,
		})
	}
	return fleet
}

func (f *benchFleet) randomRecord() *gossip.Record { return &f.records[f.rng.IntN(len(f.records))] }

// receive returns the Received event for a message from a member.
func (f *benchFleet) receive(from *gossip.Record, message *gossip.Message) gossip.Event {
	return gossip.Received{From: from.Name, Addr: from.Addr.AddrPort, Epoch: from.Epoch, Message: message, Trusted: true}
}

// events returns the events for step i: a ping of one member, which carries summaries in every fifth step; Acks to 90 %
// of the outstanding pings; and in every fourth step a gossip message with a refutation and a claim.
func (f *benchFleet) events(i int) []gossip.Event {
	ping := &gossip.Message{Kind: gossip.Ping, Nonce: uint64(i)}
	if i%5 == 0 {
		for range 16 {
			known := f.randomRecord()
			ping.Summaries = append(ping.Summaries, gossip.Claim{Name: known.Name, Epoch: known.Epoch, Incarnation: known.Incarnation})
		}
	}
	events := []gossip.Event{f.receive(f.randomRecord(), ping)}
	for _, sent := range f.unacked {
		if f.rng.IntN(10) > 0 {
			target := gossip.Record{Name: sent.To, Addr: gossip.Addr{AddrPort: sent.Addr}, Epoch: 1}
			events = append(events, f.receive(&target, &gossip.Message{Kind: gossip.Ack, Nonce: sent.Message.Nonce}))
		}
	}
	f.unacked = f.unacked[:0]
	if i%4 == 0 {
		refuting, accused := f.randomRecord(), f.randomRecord()
		refuting.Incarnation++
		events = append(events, f.receive(f.randomRecord(), &gossip.Message{
			Kind:    gossip.Gossip,
			Records: []gossip.Record{*refuting},
			Claims:  []gossip.Claim{{Name: accused.Name, Epoch: accused.Epoch, Incarnation: accused.Incarnation, State: gossip.Suspect}},
		}))
	}
	return events
}

// BenchmarkStep measures Core.Step in a fleet of 300 other members, with pings, acks, gossip and timers.
func BenchmarkStep(b *testing.B) {
	fleet := newBenchFleet(1)
	core := gossip.New(gossip.Config{
		Name: "self", Addr: netip.MustParseAddrPort("127.0.0.1:7946"), Epoch: 1,
		ProbeInterval: time.Second, ProbeTimeout: 300 * time.Millisecond, SuspicionTimeout: 5 * time.Second,
		MaxMessagesPerSecond: 200, MaxMembers: 4096, Seed: 1,
	})
	now := time.Minute
	core.AddKnownMembers(now, fleet.records)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		for _, action := range core.Step(now, fleet.events(i)) {
			if sent, ok := action.(gossip.Transmit); ok && sent.Message.Kind == gossip.Ping {
				fleet.unacked = append(fleet.unacked, sent)
			}
		}
		now += benchTick
	}
}
