// Package gossipsim is a network of gossip.Cores in virtual time, with loss, delay, partitions, pauses, deaths and
// liars. It is for tests and for the laboratory; nothing of it runs in a scheduler.
package gossipsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"calicohill/internal/fleet/gossip"
)

// Node is one member.
type Node struct {
	Name      string
	Addr      netip.AddrPort
	Core      *gossip.Core // nil while it is down
	Epoch     int64
	Paused    bool
	Partition int // those on different sides do not reach one another

	Sent  int
	Bytes int
	// Window is the most messages that it sent in any second so far.
	Window  int
	meter   gossip.RateMeter
	pending []gossip.Event // while it is paused
	wakeAt  time.Duration
}

// Network is the network. The zero figures are no loss and no delay.
type Network struct {
	Now   time.Duration
	Nodes []*Node
	Loss  float64
	Delay time.Duration // mean; each message takes half to one and a half of it
	// Heard is called for each statement and Changed for each change that a node finds. Both may be nil.
	Heard   func(n *Node, s gossip.Statement)
	Changed func(n *Node, m gossip.Member)
	// Corrupt may change or drop what a node sends; nil sends all.
	Corrupt func(n *Node, t *gossip.Transmit) bool

	rng    *rand.Rand
	byAddr map[netip.AddrPort]*Node
	queue  eventQueue
	seq    int
	config gossip.Config
}

// New returns a network of n nodes that are down. The configuration gives what all have in common.
func New(n int, seed uint64, base gossip.Config) *Network {
	net := &Network{
		Now: time.Second, rng: rand.New(rand.NewPCG(seed, 2)), byAddr: map[netip.AddrPort]*Node{}, config: base,
		Delay: 2 * time.Millisecond,
	}
	for i := range n {
		node := &Node{
			Name: fmt.Sprintf("n%d", i),
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i >> 16), byte(i >> 8), byte(i)}), 7946),
		}
		net.Nodes = append(net.Nodes, node)
		net.byAddr[node.Addr] = node
	}
	return net
}

// Start brings a node up with a new epoch and the given seeds.
func (n *Network) Start(node *Node, seeds ...*Node) {
	c := n.config
	c.Name, c.Addr, c.Seed = node.Name, node.Addr, n.rng.Uint64()
	for _, s := range seeds {
		c.Seeds = append(c.Seeds, s.Addr)
	}
	node.Epoch = max(node.Epoch+1, n.Now.Milliseconds())
	c.Epoch = node.Epoch
	node.Core, node.Paused, node.pending = gossip.New(c), false, nil
	node.meter = gossip.RateMeter{} // budgets start anew too
	n.step(node, nil)
}

// Meet makes all nodes that are up known to one another, as after a long time together.
func (n *Network) Meet() {
	for _, node := range n.Nodes {
		var all []gossip.Record
		for _, o := range n.Nodes {
			if o != node && o.Core != nil && node.Core != nil {
				all = append(all, gossip.Record{Name: o.Name, Addr: gossip.Addr{AddrPort: o.Addr}, Epoch: o.Epoch, Incarnation: 1})
			}
		}
		if node.Core != nil {
			node.Core.AddKnownMembers(n.Now, all)
		}
	}
}

// Kill takes a node down without a word.
func (n *Network) Kill(node *Node) { node.Core = nil }

// Pause stops a node; what comes meanwhile waits for it.
func (n *Network) Pause(node *Node) { node.Paused = true }

// Resume has a paused node go on.
func (n *Network) Resume(node *Node) {
	events := node.pending
	node.Paused, node.pending = false, nil
	n.step(node, events)
}

// Tell hands a node events.
func (n *Network) Tell(node *Node, events ...gossip.Event) { n.step(node, events) }

// Send puts a message on the network as if from a node.
func (n *Network) Send(from *Node, to netip.AddrPort, m *gossip.Message) {
	n.deliver(from, gossip.Transmit{Addr: to, Message: m})
}

// Run lets time pass.
func (n *Network) Run(d time.Duration) {
	end := n.Now + d
	for len(n.queue) > 0 && n.queue[0].at <= end {
		e := heap.Pop(&n.queue).(*event)
		n.Now = max(n.Now, e.at)
		node := e.node
		if node.Core == nil || e.epoch != node.Epoch && e.message == nil {
			continue
		}
		if e.message == nil {
			if !node.Paused && node.wakeAt == e.at {
				n.step(node, nil)
			}
			continue
		}
		if node.Paused {
			if len(node.pending) < 200 { // as much as a socket holds
				node.pending = append(node.pending, *e.message)
			}
			continue
		}
		n.step(node, []gossip.Event{*e.message})
	}
	n.Now = end
}

func (n *Network) step(node *Node, events []gossip.Event) {
	if node.Core == nil || node.Paused {
		return
	}
	for _, a := range node.Core.Step(n.Now, events) {
		switch a := a.(type) {
		case gossip.Transmit:
			node.Sent++
			node.meter.Record(n.Now)
			node.Window = max(node.Window, node.meter.Peak())
			n.deliver(node, a)
		case gossip.StatementReceived:
			if n.Heard != nil {
				n.Heard(node, a.Statement)
			}
		case gossip.MemberChanged:
			if n.Changed != nil {
				n.Changed(node, a.Member)
			}
		}
	}
	if next := node.Core.Next(); next < 1<<62 {
		node.wakeAt = max(next, n.Now+time.Millisecond)
		n.push(&event{at: node.wakeAt, node: node, epoch: node.Epoch})
	}
}

func (n *Network) deliver(from *Node, t gossip.Transmit) {
	if n.Corrupt != nil && !n.Corrupt(from, &t) {
		return
	}
	to := n.byAddr[t.Addr]
	if to == nil || to.Partition != from.Partition || n.rng.Float64() < n.Loss {
		return
	}
	size := t.Message.Size()
	from.Bytes += size
	took := time.Duration((0.5 + n.rng.Float64()) * float64(n.Delay))
	m := *t.Message
	n.push(&event{at: n.Now + took, node: to, message: &gossip.Received{
		From: from.Name, Addr: from.Addr,
		Epoch: from.Epoch, Message: &m, Trusted: true,
	}})
}

func (n *Network) push(e *event) {
	n.seq++
	e.seq = n.seq
	heap.Push(&n.queue, e)
}

// event is a message on its way, or a node's wish to be stepped.
type event struct {
	at      time.Duration
	seq     int
	node    *Node
	epoch   int64
	message *gossip.Received
}

type eventQueue []*event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
