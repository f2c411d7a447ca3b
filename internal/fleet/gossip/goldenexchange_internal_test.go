package gossip

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"calicohill/internal/testbed/golden"
)

// goldenNode is a member of the exchange in TestGoldenExchange.
type goldenNode struct {
	name    string
	core    *Core
	guard   *Guard
	pending []Event
}

func newGoldenNode(t *testing.T, name string, seed uint64) *goldenNode {
	t.Helper()
	n := &goldenNode{name: name, guard: goldenGuard(t, name)}
	n.core = New(Config{
		Name: name, Addr: goldenAddrs[name], Epoch: goldenEpochs[name],
		Seeds:         []netip.AddrPort{goldenAddrs["a"]},
		ProbeInterval: 500 * time.Millisecond, ProbeTimeout: 100 * time.Millisecond, SuspicionTimeout: 2 * time.Second,
		MaxMessagesPerSecond: 200, MaxMembers: 10, Seed: seed, Sign: n.guard.SignRecord,
	})
	return n
}

// The schedule of TestGoldenExchange, as uptime of the members.
const (
	exchangeTick    = 10 * time.Millisecond
	exchangeStart   = 100 * time.Millisecond // by then the signature check budgets are no longer empty
	exchangeEnd     = 16 * time.Second
	statementAt     = time.Second     // a publishes a statement
	partitionStart  = 4 * time.Second // partitionedNode is unreachable from now on
	partitionEnd    = 9 * time.Second
	leaveAt         = 14 * time.Second
	partitionedNode = "c"
)

// goldenExchange records the datagrams and actions of its members.
type goldenExchange struct {
	byAddr map[netip.AddrPort]*goldenNode
	lines  bytes.Buffer
	kinds  map[Kind]int
}

// step steps a member with its pending events and performs the resulting actions.
func (x *goldenExchange) step(t *testing.T, now time.Duration, node *goldenNode) {
	t.Helper()
	events := node.pending
	node.pending = nil
	if now == statementAt && node.name == "a" {
		events = append(events, Broadcast{node.guard.SignStatement(1, goldenNow.Add(now), []byte("statement"))})
	}
	if now == leaveAt && node.name == "c" {
		events = append(events, Leave{})
	}
	if len(events) == 0 && node.core.Next() > now {
		return
	}
	for _, action := range node.core.Step(now, events) {
		switch action := action.(type) {
		case Transmit:
			x.transmit(t, now, node, action)
		case MemberChanged:
			m := action.Member
			fmt.Fprintf(&x.lines, "%v %s holds %s of %d.%d to be state %d\n", now, node.name, m.Name, m.Epoch, m.Incarnation, m.State)
		case StatementReceived:
			fmt.Fprintf(&x.lines, "%v %s hears %s say %q\n", now, node.name, action.Statement.Name, action.Statement.Body)
		case MemberForgotten:
			fmt.Fprintf(&x.lines, "%v %s forgets %s\n", now, node.name, action.Name)
		case NameConflict:
			t.Errorf("%s has a name conflict", node.name)
		}
	}
}

// transmit seals a message and opens it at its receiver, unless the two are partitioned.
func (x *goldenExchange) transmit(t *testing.T, now time.Duration, sender *goldenNode, action Transmit) {
	t.Helper()
	wall := goldenNow.Add(now)
	datagram, err := sender.guard.Seal(action.To, action.Incarnation, wall, action.Message)
	if err != nil {
		t.Fatal(err)
	}
	x.kinds[action.Message.Kind]++
	fmt.Fprintf(&x.lines, "%v %s to %q at %v kind %d length %d sha256 %x\n", now, sender.name, action.To, action.Addr,
		action.Message.Kind, len(datagram), sha256.Sum256(datagram))
	receiver := x.byAddr[action.Addr]
	partitioned := now >= partitionStart && now < partitionEnd
	if partitioned && (sender.name == partitionedNode || receiver.name == partitionedNode) {
		return
	}
	opened, err := receiver.guard.Open(now, wall, goldenAddrs[sender.name], datagram)
	if err != nil {
		fmt.Fprintf(&x.lines, "%v %s drops: %v\n", now, receiver.name, err)
		return
	}
	receiver.pending = append(receiver.pending, Received{
		From: opened.From, Addr: goldenAddrs[sender.name],
		Epoch: opened.Epoch, Message: opened.Message, Trusted: opened.Trusted,
	})
}

// TestGoldenExchange guards against unintended changes of protocol behaviour. Three members with fixed keys and random
// seeds must produce the recorded datagrams and actions in the recorded order: they join, one publishes a statement,
// one is partitioned and returns, and one leaves.
func TestGoldenExchange(t *testing.T) {
	exchange := &goldenExchange{byAddr: map[netip.AddrPort]*goldenNode{}, kinds: map[Kind]int{}}
	var nodes []*goldenNode
	for i, name := range goldenNames {
		node := newGoldenNode(t, name, uint64(i)+1)
		nodes = append(nodes, node)
		exchange.byAddr[goldenAddrs[name]] = node
	}
	for now := exchangeStart; now < exchangeEnd; now += exchangeTick {
		for _, node := range nodes {
			exchange.step(t, now, node)
		}
	}
	golden.Compare(t, "exchange.txt", exchange.lines.Bytes())
	for k := Ping; k <= lastKind; k++ {
		if exchange.kinds[k] == 0 {
			t.Errorf("no datagram of kind %d in the exchange", k)
		}
	}
}
