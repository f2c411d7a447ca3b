package gossip

import (
	"crypto/x509"
	"time"

	"calicohill/internal/fleet/pki"
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

// peerTable holds what a Guard knows of other members: at most maxPeers.
type peerTable struct {
	byName map[string]*peer
}

func newPeerTable() *peerTable { return &peerTable{byName: map[string]*peer{}} }

// get returns a member, or nil.
func (t *peerTable) get(name string) *peer { return t.byName[name] }

// add adds a member that was not known. If the table is full, the member that was silent longest is dropped.
func (t *peerTable) add(name string, now time.Duration) *peer {
	if len(t.byName) >= maxPeers {
		oldest := ""
		for other, p := range t.byName {
			if oldest == "" || p.lastSeen < t.byName[oldest].lastSeen {
				oldest = other
			}
		}
		delete(t.byName, oldest)
	}
	added := &peer{lastSeen: now}
	t.byName[name] = added
	return added
}

// remove drops a member.
func (t *peerTable) remove(name string) { delete(t.byName, name) }

// removeUncertified drops the members whose certificates are not accepted any more, and returns their names.
func (t *peerTable) removeUncertified(trust *pki.Trust, wall time.Time) (removed []string) {
	for name, p := range t.byName {
		if p.cert != nil && trust.Recheck(p.cert, wall) != nil {
			delete(t.byName, name)
			removed = append(removed, name)
		}
	}
	return removed
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

// update applies the header and the cookie of an authenticated datagram.
func (p *peer) update(h *header, trusted bool, cookie Cookie) {
	if h.epoch > p.epoch {
		p.startEpoch(h.epoch)
	}
	p.cookieSeen = p.cookieSeen || trusted
	p.markSeen(h.seq)
	if cookie != (Cookie{}) {
		p.cookie = cookie
	}
}

// identify notes the certificate that a member has proved to own, and when that was.
func (p *peer) identify(cert *x509.Certificate, now time.Duration) {
	p.cert = cert
	p.lastSeen = now
}

// setRecord notes the latest record of a member.
func (p *peer) setRecord(record *Record) {
	p.recordEpoch = record.Epoch
	p.recordIncarnation = record.Incarnation
	p.recordGone = record.Gone
}

// setStatement notes the latest statement of a member.
func (p *peer) setStatement(statement Statement) { p.lastStatement = statement }
