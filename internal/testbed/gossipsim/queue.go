package gossipsim

import (
	"container/heap"
	"time"

	"calicohill/internal/fleet/gossip"
)

// event is a message on its way to a node, or, without a message, the time at which a node requested a step.
type event struct {
	at      time.Duration
	seq     int // orders events of the same time
	node    *Node
	epoch   int64 // of the node that requested the step
	message *gossip.Received
}

func (n *Network) push(e *event) {
	n.lastSeq++
	e.seq = n.lastSeq
	heap.Push(&n.queue, e)
}

func (n *Network) pop() *event {
	first, _ := heap.Pop(&n.queue).(*event) // it holds nothing else
	return first
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

// Push appends an event; it is for package heap.
func (q *eventQueue) Push(x any) {
	if last, ok := x.(*event); ok { // as push gives it nothing else
		*q = append(*q, last)
	}
}

// Pop removes the last event; it is for package heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
