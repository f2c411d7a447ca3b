// Package gossipsim simulates a network of gossip.Cores in virtual time, with loss, delay, partitions, pauses, crashes
// and byzantine members. It is for tests and for the testbed; no scheduler uses it.
package gossipsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"calicohill/internal/fleet/gossip"
)

const (
	nodePort     = 7946
	defaultDelay = 2 * time.Millisecond
	// maxPending is how many messages wait for a paused node: about as many as the buffer of a socket holds.
	maxPending = 200
	// minStepInterval is the minimum time until a step that a node requests.
	minStepInterval = time.Millisecond
	// networkStream is the stream of random numbers of a Network. It differs from that of a Core with the same seed.
	networkStream = 2
)

// Node is a member in the network.
type Node struct {
	Name      string
	Addr      netip.AddrPort
	Core      *gossip.Core // nil while the node is down
	Epoch     int64
	Paused    bool
	Partition int // nodes of different partitions can't reach each other

	Sent  int // messages
	Bytes int // of the messages that left the node
	// PeakMessageRate is the largest number of messages that it has sent in any second.
	PeakMessageRate int

	sendRate gossip.RateMeter // since the last start
	pending  []gossip.Event   // received while it is paused
	wakeAt   time.Duration    // the step that it requested last
}

// Network is a network in virtual time. Its exported settings may be changed between calls of Run.
type Network struct {
	Now   time.Duration
	Nodes []*Node
	Loss  float64       // probability that a message is lost
	Delay time.Duration // mean delay; that of a message is half to one and a half times as long
	// OnStatement is called for each statement that a node receives, and OnMemberChanged for each change of a member.
	// Both may be nil.
	OnStatement     func(receiver *Node, statement gossip.Statement)
	OnMemberChanged func(observer *Node, member gossip.Member)
	// Intercept may change a message that a node sends, or drop it by returning false. It may be nil.
	Intercept func(sender *Node, message *gossip.Transmit) bool

	rng        *rand.Rand
	byAddr     map[netip.AddrPort]*Node
	queue      eventQueue
	lastSeq    int // of the events pushed to the queue
	coreConfig gossip.Config
}

// New returns a network of nodes that are all down. The config is that of each Core, whose own name, address, epoch,
// seeds and random seed are filled in when it starts.
func New(nodes int, seed uint64, config gossip.Config) *Network {
	network := &Network{
		Now:        time.Second,
		Delay:      defaultDelay,
		rng:        rand.New(rand.NewPCG(seed, networkStream)),
		byAddr:     map[netip.AddrPort]*Node{},
		coreConfig: config,
	}
	for i := range nodes {
		ip := netip.AddrFrom4([4]byte{127, byte(i >> 16), byte(i >> 8), byte(i)})
		node := &Node{Name: fmt.Sprintf("n%d", i), Addr: netip.AddrPortFrom(ip, nodePort)}
		network.Nodes = append(network.Nodes, node)
		network.byAddr[node.Addr] = node
	}
	return network
}

// Start starts a node with a new epoch and the given seeds.
func (n *Network) Start(node *Node, seeds ...*Node) {
	node.Epoch = max(node.Epoch+1, n.Now.Milliseconds())
	config := n.coreConfig
	config.Name = node.Name
	config.Addr = node.Addr
	config.Epoch = node.Epoch
	config.Seed = n.rng.Uint64()
	for _, seed := range seeds {
		config.Seeds = append(config.Seeds, seed.Addr)
	}
	node.Core = gossip.New(config)
	node.Paused = false
	node.pending = nil
	node.sendRate = gossip.RateMeter{} // as the new Core's budgets are
	n.step(node, nil)
}

// ConnectAll makes all nodes that are up known to each other, as if they had been together for long.
func (n *Network) ConnectAll() {
	for _, node := range n.Nodes {
		if node.Core != nil {
			node.Core.AddKnownMembers(n.Now, n.othersUp(node))
		}
	}
}

// othersUp returns the records of the nodes that are up besides one.
func (n *Network) othersUp(node *Node) []gossip.Record {
	var records []gossip.Record
	for _, other := range n.Nodes {
		if other == node || other.Core == nil {
			continue
		}
		records = append(records, gossip.Record{
			Name: other.Name, Addr: gossip.Addr{AddrPort: other.Addr}, Epoch: other.Epoch, Incarnation: 1,
		})
	}
	return records
}

// Kill takes a node down without its leaving the fleet.
func (n *Network) Kill(node *Node) { node.Core = nil }

// Pause stops a node. What it receives meanwhile is kept for it.
func (n *Network) Pause(node *Node) { node.Paused = true }

// Resume continues a paused node.
func (n *Network) Resume(node *Node) {
	events := node.pending
	node.Paused = false
	node.pending = nil
	n.step(node, events)
}

// Deliver steps a node with events.
func (n *Network) Deliver(node *Node, events ...gossip.Event) { n.step(node, events) }

// Send sends a message that a node's Core did not return, as a byzantine member would.
func (n *Network) Send(from *Node, to netip.AddrPort, message *gossip.Message) {
	n.deliver(from, gossip.Transmit{Addr: to, Message: message})
}

// Run advances the time and handles the events that are due by then, in order.
func (n *Network) Run(d time.Duration) {
	end := n.Now + d
	for len(n.queue) > 0 && n.queue[0].at <= end {
		next := n.pop()
		n.Now = max(n.Now, next.at)
		n.handle(next)
	}
	n.Now = end
}

// handle steps the node of an event. A paused node keeps messages, and its timers are lost.
func (n *Network) handle(next *event) {
	node := next.node
	switch {
	case node.Core == nil:
	case next.message == nil:
		current := next.epoch == node.Epoch && next.at == node.wakeAt
		if current && !node.Paused {
			n.step(node, nil)
		}
	case !node.Paused:
		n.step(node, []gossip.Event{*next.message})
	case len(node.pending) < maxPending:
		node.pending = append(node.pending, *next.message)
	}
}

// step steps a node and performs the actions of its Core.
func (n *Network) step(node *Node, events []gossip.Event) {
	if node.Core == nil || node.Paused {
		return
	}
	for _, action := range node.Core.Step(n.Now, events) {
		n.perform(node, action)
	}
	next := node.Core.Next()
	if next == math.MaxInt64 {
		return // it has stopped
	}
	node.wakeAt = max(next, n.Now+minStepInterval)
	n.push(&event{at: node.wakeAt, node: node, epoch: node.Epoch})
}

func (n *Network) perform(node *Node, action gossip.Action) {
	switch action := action.(type) {
	case gossip.Transmit:
		node.Sent++
		node.sendRate.Record(n.Now)
		node.PeakMessageRate = max(node.PeakMessageRate, node.sendRate.Peak())
		n.deliver(node, action)
	case gossip.StatementReceived:
		if n.OnStatement != nil {
			n.OnStatement(node, action.Statement)
		}
	case gossip.MemberChanged:
		if n.OnMemberChanged != nil {
			n.OnMemberChanged(node, action.Member)
		}
	}
}

// deliver queues a message for its receiver, unless it is dropped or lost.
func (n *Network) deliver(from *Node, transmit gossip.Transmit) {
	if n.Intercept != nil && !n.Intercept(from, &transmit) {
		return
	}
	to := n.byAddr[transmit.Addr]
	if to == nil || to.Partition != from.Partition || n.rng.Float64() < n.Loss {
		return
	}
	from.Bytes += transmit.Message.Size()
	const minDelayFactor = 0.5 // times the mean
	delay := time.Duration((minDelayFactor + n.rng.Float64()) * float64(n.Delay))
	message := *transmit.Message
	n.push(&event{at: n.Now + delay, node: to, message: &gossip.Received{
		From:    from.Name,
		Addr:    from.Addr,
		Epoch:   from.Epoch,
		Message: &message,
		Trusted: true,
	}})
}
