package transport

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"calicohill/internal/fleet/gossip"
)

const (
	// maxReadsPerSlice is the maximum number of datagrams read per readSlice; the kernel drops further ones once its
	// buffer is full. Reading 10,000 datagrams per second takes a few hundredths of a core.
	maxReadsPerSlice = 1000
	readSlice        = 100 * time.Millisecond
)

// datagram is a received datagram.
type datagram struct {
	from    netip.AddrPort
	content []byte
}

// readLimiter limits the rate of reads to maxReadsPerSlice per readSlice.
type readLimiter struct {
	reads      int
	sliceStart time.Time
}

// wait counts a read. After the last read allowed in a slice it sleeps until the slice ends.
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

// receive reads datagrams from the socket and queues them until the socket is closed. Datagrams that do not fit into
// the queue are dropped, like a loss in the network.
func (n *Node) receive() {
	buffer := make([]byte, gossip.MaxDatagram+1) // one extra byte to detect oversized datagrams
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

// openBatch opens a datagram and up to maxBatch further ones from the queue, and returns their events.
func (n *Node) openBatch(first datagram) []gossip.Event {
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
