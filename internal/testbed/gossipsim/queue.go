package gossipsim

import (
	"container/heap"
	"time"

	"calicohill/internal/fleet/gossip"
)

// event is a message in transit to a node or, if message is nil, a step that the node requested.
type event struct {
	at      time.Duration
	seq     int // orders events with the same time
	node    *Node
	epoch   int64 // epoch of the node when it requested the step
	message *gossip.Received
}

func (n *Network) push(e *event) {
	n.lastSeq++
	e.seq = n.lastSeq
	heap.Push(&n.queue, e)
}

func (n *Network) pop() *event {
	first, _ := heap.Pop(&n.queue).(*event) // the queue contains only *event
	return first
}

// eventQueue is a min-heap of events, ordered by time.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if last, ok := x.(*event); ok { // always true: push passes only *event
		*q = append(*q, last)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
