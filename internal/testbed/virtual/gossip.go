package virtual

import (
	"crypto/ed25519"
	"math"
	"runtime"
	"slices"
	"time"

	"calicohill/internal/fleet/gossip"
	"calicohill/internal/testbed/gossipsim"
	"calicohill/internal/testbed/platform"
	"calicohill/internal/testbed/report"
)

// Parameters of a gossip simulation.
const (
	maxVirtualMembers = 8192
	deathCount        = 5 // several simultaneous deaths, because the detection time of one depends on the order of the probes
	idleDuration      = 30 * time.Second
	deathDuration     = 15 * time.Second
	statementDuration = 5 * time.Second
	bytesPerKB        = 1024
	informedFraction  = 0.99 // fraction of the members that must be informed
)

// SimulateGossip simulates fleets of the given sizes: an idle phase, then simultaneous deaths, then a statement.
func SimulateGossip(sizes []int, seed uint64) report.VirtualGossipResult {
	began := time.Now()
	var result report.VirtualGossipResult
	for _, size := range sizes {
		result.Sizes = append(result.Sizes, simulateGossip(size, seed))
	}
	if last := len(result.Sizes) - 1; last > 0 {
		result.MessagesGrowth = result.Sizes[last].Messages / result.Sizes[0].Messages
	}
	result.WallSeconds = time.Since(began).Seconds()
	return result
}

// simulateGossip simulates a fleet of one size.
func simulateGossip(instances int, seed uint64) report.VirtualGossipSize {
	size := report.VirtualGossipSize{Instances: instances}
	before := heapBytes()
	net := gossipsim.New(instances, seed, gossip.Config{
		ProbeInterval:        time.Second,
		ProbeTimeout:         300 * time.Millisecond,
		SuspicionTimeout:     5 * time.Second,
		MaxMessagesPerSecond: platform.MaxGossipMessagesPerSecond,
		MaxMembers:           maxVirtualMembers,
	})
	for _, node := range net.Nodes {
		net.Start(node)
	}
	net.ConnectAll()
	net.Run(idleDuration)
	size.HeapKB = float64(heapBytes()-before) / bytesPerKB / float64(instances)
	for _, node := range net.Nodes {
		size.Messages += float64(node.Sent) / float64(instances) / idleDuration.Seconds()
		size.Bytes += float64(node.Bytes) / float64(instances) / idleDuration.Seconds()
		size.MessagesPeak = max(size.MessagesPeak, node.PeakMessageRate)
	}
	size.DeathKnownMillis = measureDeaths(net)
	size.StatementKnownMillis = measureStatement(net)
	return size
}

// heapBytes returns the size of the live objects on the heap.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// informedTimes maps node names to the times at which the nodes were first informed.
type informedTimes map[string]time.Duration

// record marks a node as informed at the current time.
func (t informedTimes) record(net *gossipsim.Network, node *gossipsim.Node) {
	if _, ok := t[node.Name]; !ok {
		t[node.Name] = net.Now
	}
}

// millisUntilInformed returns the milliseconds from since until informedFraction of the nodes were informed, or +Inf if they
// never were.
func (t informedTimes) millisUntilInformed(nodes int, since time.Duration) float64 {
	needed := int(math.Ceil(informedFraction * float64(nodes)))
	if len(t) < needed {
		return math.Inf(1)
	}
	var times []time.Duration
	for _, at := range t {
		times = append(times, at-since)
	}
	slices.Sort(times)
	return float64(times[needed-1].Milliseconds())
}

// measureDeaths kills deathCount nodes and returns the median of their detection times in milliseconds.
func measureDeaths(net *gossipsim.Network) float64 {
	survivors := len(net.Nodes) - deathCount
	knownByDead := map[string]informedTimes{}
	for _, node := range net.Nodes[survivors:] {
		knownByDead[node.Name] = informedTimes{}
		net.Kill(node)
	}
	net.OnMemberChanged = func(node *gossipsim.Node, member gossip.Member) {
		known := knownByDead[member.Name]
		if known != nil && member.State != gossip.Alive {
			known.record(net, node)
		}
	}
	killedAt := net.Now
	net.Run(deathDuration)
	net.OnMemberChanged = nil
	var millis []float64
	for _, known := range knownByDead {
		millis = append(millis, known.millisUntilInformed(survivors, killedAt))
	}
	slices.Sort(millis)
	return millis[deathCount/2]
}

// measureStatement broadcasts a statement and returns the milliseconds until the other nodes have it.
func measureStatement(net *gossipsim.Network) float64 {
	const bodyBytes, certificateBytes = 100, 340
	known := informedTimes{}
	net.OnStatement = func(node *gossipsim.Node, _ gossip.Statement) { known.record(net, node) }
	sender := net.Nodes[0]
	net.Deliver(sender, gossip.Broadcast{Statement: gossip.Statement{
		Name: sender.Name, Epoch: 1, Seq: 1,
		Body: make([]byte, bodyBytes), Cert: make([]byte, certificateBytes), Sig: make([]byte, ed25519.SignatureSize),
	}})
	broadcastAt := net.Now
	net.Run(statementDuration)
	receivers := len(net.Nodes) - deathCount - 1
	return known.millisUntilInformed(receivers, broadcastAt)
}
