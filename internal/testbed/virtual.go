package testbed

import (
	"math"
	"runtime"
	"slices"
	"time"

	"calicohill/internal/fleet/gossip"
	"calicohill/internal/testbed/gossipsim"
)

// VirtualResult is what fleets of growing size cost in virtual time.
type VirtualResult struct {
	Sizes  []VirtualSize `json:"sizes"`
	Spread float64       `json:"messages_largest_over_smallest"` // messages a second an instance, the largest fleet's over the smallest's
	Wall   float64       `json:"wall_seconds"`
}

// VirtualSize is what a fleet of one size cost.
type VirtualSize struct {
	Instances int     `json:"instances"`
	Messages  float64 `json:"messages_per_second"` // sent by an instance, the mean
	Worst     int     `json:"messages_peak"`       // the most of any second and instance
	Bytes     float64 `json:"bytes_per_second"`
	Death     float64 `json:"death_known_ms"`     // from a death until 99% of the others hold the member suspect, the median of five
	Statement float64 `json:"statement_known_ms"` // from a statement until 99% have it
	HeapKB    float64 `json:"heap_kb_per_instance"`
}

// Virtual plays fleets of these sizes: half a minute of nothing, then a death, then a statement.
func Virtual(sizes []int, seed uint64) VirtualResult {
	began := time.Now()
	var r VirtualResult
	for _, n := range sizes {
		r.Sizes = append(r.Sizes, virtual(n, seed))
	}
	if n := len(r.Sizes); n > 1 {
		r.Spread = r.Sizes[n-1].Messages / r.Sizes[0].Messages
	}
	r.Wall = time.Since(began).Seconds()
	return r
}

func virtual(n int, seed uint64) VirtualSize {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	net := gossipsim.New(n, seed, gossip.Config{
		ProbeEvery: time.Second, ProbeTimeout: 300 * time.Millisecond,
		SuspectFor: 5 * time.Second, Messages: messagesLimit, MaxMembers: maxVirtual,
	})
	for _, node := range net.Nodes {
		net.Start(node)
	}
	net.Meet()
	v := VirtualSize{Instances: n}
	const calm = 30 * time.Second
	net.Run(calm)
	runtime.GC()
	runtime.ReadMemStats(&after)
	v.HeapKB = float64(after.HeapAlloc-before.HeapAlloc) / 1024 / float64(n)
	for _, node := range net.Nodes {
		v.Messages += float64(node.Sent) / float64(n) / calm.Seconds()
		v.Bytes += float64(node.Bytes) / float64(n) / calm.Seconds()
		v.Worst = max(v.Worst, node.Window)
	}
	// first is when each node first knew of something.
	var first map[string]time.Duration
	note := func(node *gossipsim.Node) {
		if _, ok := first[node.Name]; !ok {
			first[node.Name] = net.Now
		}
	}
	known := func(of int, since time.Duration) float64 {
		if len(first) < int(math.Ceil(0.99*float64(of))) {
			return math.Inf(1)
		}
		var times []time.Duration
		for _, t := range first {
			times = append(times, t-since)
		}
		slices.Sort(times)
		return float64(times[int(math.Ceil(0.99*float64(of)))-1].Milliseconds())
	}
	// Several deaths at once: when one is noticed hangs on whose turn it is to be asked.
	byDead := map[string]map[string]time.Duration{}
	for _, node := range net.Nodes[n-deaths:] {
		byDead[node.Name] = map[string]time.Duration{}
		net.Kill(node)
	}
	net.Changed = func(node *gossipsim.Node, m gossip.Member) {
		if at := byDead[m.Name]; at != nil && m.State != gossip.Alive {
			first = at
			note(node)
		}
	}
	at := net.Now
	net.Run(15 * time.Second)
	var took []float64
	for _, first = range byDead {
		took = append(took, known(n-deaths, at))
	}
	slices.Sort(took)
	v.Death = took[deaths/2]
	net.Changed = nil
	first = map[string]time.Duration{}
	net.Heard = func(node *gossipsim.Node, _ gossip.Statement) { note(node) }
	net.Tell(net.Nodes[0], gossip.Say{Statement: gossip.Statement{
		Name: net.Nodes[0].Name, Epoch: 1, Seq: 1,
		Body: make([]byte, 100), Cert: make([]byte, 340), Sig: make([]byte, 64),
	}})
	at = net.Now
	net.Run(5 * time.Second)
	v.Statement = known(n-deaths-1, at)
	return v
}

const (
	maxVirtual = 8192
	deaths     = 5
)
