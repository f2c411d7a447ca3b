package transport

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"calicohill/internal/fleet/gossip"
)

const (
	// maxReadsPerSlice is how many datagrams are read in a readSlice; the system drops those beyond its buffer. Reading
	// 10,000 datagrams per second takes some hundredths of a core.
	maxReadsPerSlice = 1000
	readSlice        = 100 * time.Millisecond
)

// datagram is a datagram that was received.
type datagram struct {
	from    netip.AddrPort
	content []byte
}

// readLimiter limits the rate of reads, by the number in each slice of time.
type readLimiter struct {
	reads      int
	sliceStart time.Time
}

// wait counts a read. After the last read that a slice allows it sleeps until the slice is over.
func (l *readLimiter) wait() {
	l.reads++
	elapsed := time.Since(l.sliceStart)
	if l.reads < maxReadsPerSlice && elapsed < readSlice {
		return
	}
	if l.reads >= maxReadsPerSlice && elapsed < readSlice {
		time.Sleep(readSlice - elapsed)
	}
	l.reads = 0
	l.sliceStart = time.Now()
}

// receive queues the datagrams that the socket receives until it is closed. If the queue is full, a datagram is
// dropped as if the network had lost it.
func (n *Node) receive() {
	buffer := make([]byte, gossip.MaxDatagram+1) // one byte more, to detect datagrams that are too long
	limiter := readLimiter{sliceStart: time.Now()}
	for {
		size, addr, err := n.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || size == 0 || size > gossip.MaxDatagram {
			continue
		}
		limiter.wait()
		content := make([]byte, size)
		copy(content, buffer)
		from := netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
		select {
		case n.datagrams <- datagram{from, content}:
		default:
		}
	}
}

// openQueued opens a datagram, and up to maxBatch more that are queued already, and returns their events.
func (n *Node) openQueued(first datagram) []gossip.Event {
	events := n.engine.openDatagram(nil, first)
	for range maxBatch {
		select {
		case next := <-n.datagrams:
			events = n.engine.openDatagram(events, next)
		default:
			return events
		}
	}
	return events
}
