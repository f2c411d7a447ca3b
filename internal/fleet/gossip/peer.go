package gossip

import (
	"crypto/x509"
	"time"

	"calicohill/internal/stats/ratelimit"
)

const (
	// maxPeers is how many members a Guard knows.
	maxPeers = 4096
	// replayWindowBits is by how much a sequence number may be below the highest one before it counts as replayed.
	replayWindowBits = 64
)

// peer is what a Guard knows of another member.
type peer struct {
	cert         *x509.Certificate
	epoch        int64
	highestSeq   uint64 // of its datagrams in this epoch
	replayWindow uint64 // bit i is set if highestSeq-i was received
	cookie       Cookie // to show to it
	cookieSeen   bool   // it has shown this member's cookie in this epoch
	checkBudget  ratelimit.TokenBucket
	lastSeen     time.Duration

	lastStatement Statement
	// Of its latest record:
	recordEpoch       int64
	recordIncarnation uint32
	recordGone        bool
}

// addPeer adds a member that was not known. If the table is full, the member that was silent longest is dropped.
func (g *Guard) addPeer(name string, now time.Duration) *peer {
	if len(g.peers) >= maxPeers {
		oldest := ""
		for other, p := range g.peers {
			if oldest == "" || p.lastSeen < g.peers[oldest].lastSeen {
				oldest = other
			}
		}
		delete(g.peers, oldest)
	}
	added := &peer{lastSeen: now}
	g.peers[name] = added
	return added
}

// replayed reports whether a datagram is of an earlier epoch, was received before, or is too old to tell.
func (p *peer) replayed(h *header) bool {
	return h.epoch < p.epoch || h.epoch == p.epoch && !p.isFresh(h.seq)
}

// isFresh reports whether a sequence number was not received yet and is not too old to tell.
func (p *peer) isFresh(seq uint64) bool {
	if seq > p.highestSeq {
		return true
	}
	age := p.highestSeq - seq
	return age < replayWindowBits && p.replayWindow>>age&1 == 0
}

// markSeen notes that a sequence number was received, which isFresh must have allowed.
func (p *peer) markSeen(seq uint64) {
	if seq > p.highestSeq {
		p.replayWindow <<= seq - p.highestSeq // by 64 and more it becomes 0
		p.highestSeq = seq
	}
	p.replayWindow |= 1 << (p.highestSeq - seq)
}

// startEpoch resets what belongs to the member's previous epoch.
func (p *peer) startEpoch(epoch int64) {
	p.epoch = epoch
	p.highestSeq = 0
	p.replayWindow = 0
	p.cookie = Cookie{}
	p.cookieSeen = false
}
