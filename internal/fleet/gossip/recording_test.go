package gossip_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"calicohill/internal/fleet/gossip"
)

// The schedule of a recording. One member each crashes and restarts, is partitioned, is paused, leaves, has its key
// revoked, and has its name used by a later member.
const (
	recordingMembers = 12
	recordingTick    = 10 * time.Millisecond
	recordingEnd     = 150 * time.Second
	recordingLoss    = 0.05 // message loss probability
	unsignedRecords  = 0.2  // probability that the records of a message arrive unsigned

	seedsUpdatedAt  = 5 * time.Second
	crashAt         = 10 * time.Second
	restartAt       = 35 * time.Second
	partitionFrom   = 20 * time.Second
	partitionTo     = 45 * time.Second
	pauseFrom       = 50 * time.Second
	pauseTo         = 54 * time.Second
	leaveAt         = 60 * time.Second
	removalAt       = 70 * time.Second
	nameConflictAt  = 80 * time.Second
	statementsEvery = 3 * time.Second
)

// recordedMember is a member of a recording.
type recordedMember struct {
	name    string
	addr    netip.AddrPort
	core    *gossip.Core // nil while it is down
	epoch   int64
	pending []gossip.Event
}

// recording runs a fleet in virtual time and records all actions in order.
type recording struct {
	config  gossip.Config
	rng     *rand.Rand
	members []*recordedMember
	byAddr  map[netip.AddrPort]*recordedMember
	lines   bytes.Buffer   // one line for each action and each step
	actions map[string]int // number of actions by type
}

func newRecording(config gossip.Config, seed uint64) *recording {
	fleet := &recording{
		config:  config,
		rng:     rand.New(rand.NewPCG(seed, 7)),
		byAddr:  map[netip.AddrPort]*recordedMember{},
		actions: map[string]int{},
	}
	for i := range recordingMembers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7946)
		m := &recordedMember{name: fmt.Sprintf("m%d", i), addr: addr}
		fleet.members = append(fleet.members, m)
		fleet.byAddr[addr] = m
		fleet.start(m, 0)
	}
	return fleet
}

// start starts a member with the first member as its seed.
func (r *recording) start(m *recordedMember, now time.Duration) {
	config := r.config
	config.Name, config.Addr, config.Seed = m.name, m.addr, r.rng.Uint64()
	config.Seeds = []netip.AddrPort{r.members[0].addr}
	m.epoch = 1000 + now.Milliseconds()
	config.Epoch = m.epoch
	m.core = gossip.New(config)
	m.pending = nil
}

// schedule applies the scheduled faults and events that are due at now.
func (r *recording) schedule(now time.Duration) {
	deliver := func(i int, event gossip.Event) { r.members[i].pending = append(r.members[i].pending, event) }
	switch now {
	case seedsUpdatedAt:
		deliver(2, gossip.UpdateSeeds{Seeds: []netip.AddrPort{r.members[0].addr, r.members[1].addr, netip.MustParseAddrPort("127.0.9.9:1")}})
	case crashAt:
		r.members[3].core = nil
	case restartAt:
		r.start(r.members[3], now)
	case leaveAt:
		deliver(4, gossip.Leave{})
	case removalAt:
		for i := range recordingMembers {
			deliver(i, gossip.RemoveMember{Name: "m5"})
		}
	case nameConflictAt:
		deliver(6, gossip.Received{From: "m6", Addr: r.members[6].addr, Epoch: 1 << 40, Message: &gossip.Message{Kind: gossip.Gossip}})
	default: // nothing is due
	}
	if now%statementsEvery == 0 {
		author := int(now/statementsEvery) % recordingMembers
		deliver(author, gossip.Broadcast{Statement: gossip.Statement{
			Name: r.members[author].name, Epoch: r.members[author].epoch, Seq: uint64(now), Body: make([]byte, 100),
		}})
	}
}

// step steps a member and records its actions, unless it is down, paused, or has neither events nor due timers.
func (r *recording) step(now time.Duration, i int) {
	stepped := r.members[i]
	paused := i == 7 && now >= pauseFrom && now < pauseTo
	if stepped.core == nil || paused || len(stepped.pending) == 0 && stepped.core.Next() > now {
		return
	}
	events := stepped.pending
	stepped.pending = nil
	for _, action := range stepped.core.Step(now, events) {
		r.actions[fmt.Sprintf("%T", action)]++
		if transmit, ok := action.(gossip.Transmit); ok {
			fmt.Fprintln(&r.lines, now, stepped.name, transmit.To, transmit.Addr, transmit.Incarnation, *transmit.Message)
			r.deliver(now, i, transmit)
			continue
		}
		fmt.Fprintf(&r.lines, "%v %s %T %v\n", now, stepped.name, action, action)
	}
	fmt.Fprintln(&r.lines, stepped.core.Next(), stepped.core.NumMembers())
}

// deliver queues a message for the next step of its receiver, unless it is lost or the two are partitioned.
func (r *recording) deliver(now time.Duration, from int, transmit gossip.Transmit) {
	receiver := r.byAddr[transmit.Addr]
	lost := r.rng.Float64() < recordingLoss
	unsigned := r.rng.Float64() < unsignedRecords
	if receiver == nil || lost {
		return
	}
	sender := r.members[from]
	cutOff := (sender == r.members[8]) != (receiver == r.members[8])
	if cutOff && now >= partitionFrom && now < partitionTo {
		return
	}
	message := *transmit.Message
	message.Records = append([]gossip.Record(nil), message.Records...)
	for i := range message.Records {
		if unsigned {
			message.Records[i].Sig = nil
		}
	}
	receiver.pending = append(receiver.pending, gossip.Received{
		From: sender.name, Addr: sender.addr, Epoch: sender.epoch, Message: &message, Trusted: r.rng.Float64() < 0.9,
	})
}

// TestRecordedActions guards against unintended changes of protocol behaviour. A fleet with fixed random seeds and
// faults of each type must produce exactly the recorded actions.
func TestRecordedActions(t *testing.T) {
	config := gossip.Config{
		ProbeInterval: 500 * time.Millisecond, ProbeTimeout: 150 * time.Millisecond, SuspicionTimeout: 3 * time.Second,
		MaxMessagesPerSecond: 30, MaxMembers: 4096,
	}
	signed := config
	signed.Sign = func(record *gossip.Record) { record.Sig = []byte(record.Name) }
	smallTable := signed
	smallTable.MaxMembers = 8
	lowRate := config
	lowRate.MaxMessagesPerSecond = 6
	for _, tt := range []struct {
		name   string
		config gossip.Config
		seed   uint64
		want   string // prefix of the hash of all actions
	}{
		{"unsigned records", config, 1, "e3763a90d4cf5299"},
		{"signed records", signed, 2, "9a9b765045c6f34f"},
		{"fewer slots than members", smallTable, 3, "f707a20d893bb6e3"},
		{"low message rate", lowRate, 4, "21a847e01133cb06"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			fleet := newRecording(tt.config, tt.seed)
			for now := time.Second; now < recordingEnd; now += recordingTick {
				fleet.schedule(now)
				for i := range fleet.members {
					fleet.step(now, i)
				}
			}
			if got := fmt.Sprintf("%x", sha256.Sum256(fleet.lines.Bytes()))[:16]; got != tt.want {
				t.Errorf("the actions hash to %s, want %s", got, tt.want)
			}
			if len(fleet.actions) != 5 {
				t.Errorf("actions %v, want all 5 types", fleet.actions)
			}
		})
	}
}
