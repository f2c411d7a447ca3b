// Package gossipsim simulates a network of gossip.Cores in virtual time. It covers loss, delay, partitions, pauses,
// crashes and byzantine members. Only tests and the testbed use it.
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
	// maxPending is the maximum number of messages queued for a paused node, about the size of a socket buffer.
	maxPending = 200
	// minStepInterval is the minimum delay before a step that a node requests.
	minStepInterval = time.Millisecond
	// networkStream is the PCG stream of a Network. It must differ from the stream of a Core with the same seed.
	networkStream = 2
)

// Node is a member of a simulated network.
type Node struct {
	Name      string
	Addr      netip.AddrPort
	Core      *gossip.Core // nil while the node is down
	Epoch     int64
	Paused    bool
	Partition int // nodes of different partitions can't reach each other

	Sent  int // messages sent
	Bytes int // bytes of sent messages that were neither dropped nor lost
	// PeakMessageRate is the largest number of messages sent in any second.
	PeakMessageRate int

	sendRate   gossip.RateMeter // since the last start
	pending    []gossip.Event   // messages received while the node is paused
	nextStepAt time.Duration    // time of the last requested step
}

// Network is a simulated network in virtual time. Its exported settings may be changed between calls to Run.
type Network struct {
	Now   time.Duration
	Nodes []*Node
	Loss  float64       // probability that a message is lost
	Delay time.Duration // mean delay; the delay of a message is uniform in [0.5, 1.5) times the mean
	// OnStatement, if not nil, is called for each statement that a node receives. OnMemberChanged, if not nil, is
	// called for each member change that a node observes.
	OnStatement     func(receiver *Node, statement gossip.Statement)
	OnMemberChanged func(observer *Node, member gossip.Member)
	// Intercept, if not nil, may modify a message that a node sends, or drop it by returning false.
	Intercept func(sender *Node, message *gossip.Transmit) bool

	rng        *rand.Rand
	byAddr     map[netip.AddrPort]*Node
	queue      eventQueue
	lastSeq    int // sequence number of the last event pushed to the queue
	coreConfig gossip.Config
}

// New returns a network of nodes that are all down. Each Core uses the given config, with its name, address, epoch,
// seeds and random seed filled in at start.
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
	node.sendRate = gossip.RateMeter{} // the new Core starts with fresh budgets too
	n.step(node, nil)
}

// ConnectAll adds all running nodes to each other's member lists, as in a fleet that has converged.
func (n *Network) ConnectAll() {
	for _, node := range n.Nodes {
		if node.Core != nil {
			node.Core.AddKnownMembers(n.Now, n.runningPeers(node))
		}
	}
}

// runningPeers returns the records of all running nodes except the given one.
func (n *Network) runningPeers(node *Node) []gossip.Record {
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

// Kill stops a node without a leave message.
func (n *Network) Kill(node *Node) { node.Core = nil }

// Pause suspends a node. Messages that it receives meanwhile are queued.
func (n *Network) Pause(node *Node) { node.Paused = true }

// Resume resumes a paused node and delivers its queued messages.
func (n *Network) Resume(node *Node) {
	events := node.pending
	node.Paused = false
	node.pending = nil
	n.step(node, events)
}

// Deliver steps a node with the given events.
func (n *Network) Deliver(node *Node, events ...gossip.Event) { n.step(node, events) }

// Send sends a message on behalf of a node, bypassing its Core. It simulates a byzantine member.
func (n *Network) Send(from *Node, to netip.AddrPort, message *gossip.Message) {
	n.deliver(from, gossip.Transmit{Addr: to, Message: message})
}

// Run advances the virtual time by d and handles all events that become due, in order.
func (n *Network) Run(d time.Duration) {
	end := n.Now + d
	for len(n.queue) > 0 && n.queue[0].at <= end {
		next := n.pop()
		n.Now = max(n.Now, next.at)
		n.handle(next)
	}
	n.Now = end
}

// handle steps the node of an event. For a paused node it queues messages and discards timers.
func (n *Network) handle(next *event) {
	node := next.node
	switch {
	case node.Core == nil:
	case next.message == nil:
		current := next.epoch == node.Epoch && next.at == node.nextStepAt
		if current && !node.Paused {
			n.step(node, nil)
		}
	case !node.Paused:
		n.step(node, []gossip.Event{*next.message})
	case len(node.pending) < maxPending:
		node.pending = append(node.pending, *next.message)
	}
}

// step steps a node, performs the actions that its Core returns, and schedules the next step.
func (n *Network) step(node *Node, events []gossip.Event) {
	if node.Core == nil || node.Paused {
		return
	}
	for _, action := range node.Core.Step(n.Now, events) {
		n.perform(node, action)
	}
	next := node.Core.Next()
	if next == math.MaxInt64 {
		return // the Core has stopped
	}
	node.nextStepAt = max(next, n.Now+minStepInterval)
	n.push(&event{at: node.nextStepAt, node: node, epoch: node.Epoch})
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

// deliver queues a message for its receiver, unless Intercept drops it or it is lost.
func (n *Network) deliver(from *Node, transmit gossip.Transmit) {
	if n.Intercept != nil && !n.Intercept(from, &transmit) {
		return
	}
	to := n.byAddr[transmit.Addr]
	if to == nil || to.Partition != from.Partition || n.rng.Float64() < n.Loss {
		return
	}
	from.Bytes += transmit.Message.Size()
	const minDelayFactor = 0.5 // multiple of the mean
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
