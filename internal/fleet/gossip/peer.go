package gossip

import (
	"crypto/x509"
	"time"

	"calicohill/internal/fleet/pki"
	"calicohill/internal/stats/ratelimit"
)

const (
	// maxPeers is the maximum number of members in a peerTable.
	maxPeers = 4096
	// replayWindowBits is the size of the replay window. Sequence numbers below the window count as replayed.
	replayWindowBits = 64
)

// peer is the state of a Guard about another member.
type peer struct {
	cert            *x509.Certificate
	epoch           int64
	highestSeq      uint64 // highest sequence number received in this epoch
	replayWindow    uint64 // bit i is set if highestSeq-i was received
	cookie          Cookie // issued by the peer, sent back in datagrams to it
	cookieConfirmed bool   // the peer has sent back this member's cookie in this epoch
	checkBudget     ratelimit.TokenBucket
	lastSeen        time.Duration

	lastStatement Statement
	// Fields of the latest record:
	recordEpoch       int64
	recordIncarnation uint32
	recordGone        bool
}

// peerTable stores the state about at most maxPeers other members.
type peerTable struct {
	byName map[string]*peer
}

func newPeerTable() *peerTable { return &peerTable{byName: map[string]*peer{}} }

// get returns a member, or nil if it is unknown.
func (t *peerTable) get(name string) *peer { return t.byName[name] }

// add adds an unknown member. If the table is full, it evicts the least recently seen member.
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

func (t *peerTable) remove(name string) { delete(t.byName, name) }

// removeInvalid drops the members whose certificates are no longer valid and returns their names.
func (t *peerTable) removeInvalid(trust *pki.Trust, wall time.Time) (removed []string) {
	for name, p := range t.byName {
		if p.cert != nil && trust.Recheck(p.cert, wall) != nil {
			delete(t.byName, name)
			removed = append(removed, name)
		}
	}
	return removed
}

// replayed reports whether a datagram belongs to an earlier epoch or is not fresh.
func (p *peer) replayed(h *header) bool {
	return h.epoch < p.epoch || h.epoch == p.epoch && !p.isFresh(h.seq)
}

// isFresh reports whether a sequence number was not received yet and is not below the replay window.
func (p *peer) isFresh(seq uint64) bool {
	if seq > p.highestSeq {
		return true
	}
	age := p.highestSeq - seq
	return age < replayWindowBits && p.replayWindow>>age&1 == 0
}

// markSeen marks a fresh sequence number as received.
func (p *peer) markSeen(seq uint64) {
	if seq > p.highestSeq {
		p.replayWindow <<= seq - p.highestSeq // shifts of 64 and more give 0
		p.highestSeq = seq
	}
	p.replayWindow |= 1 << (p.highestSeq - seq)
}

// startEpoch resets the state of the member's previous epoch.
func (p *peer) startEpoch(epoch int64) {
	p.epoch = epoch
	p.highestSeq = 0
	p.replayWindow = 0
	p.cookie = Cookie{}
	p.cookieConfirmed = false
}

// update applies the header and the cookie of an authenticated datagram. trusted is true if the datagram contained a
// valid cookie.
func (p *peer) update(h *header, trusted bool, cookie Cookie) {
	if h.epoch > p.epoch {
		p.startEpoch(h.epoch)
	}
	p.cookieConfirmed = p.cookieConfirmed || trusted
	p.markSeen(h.seq)
	if cookie != (Cookie{}) {
		p.cookie = cookie
	}
}

// setCert stores the certificate for which a member has proved ownership, and the time of the proof.
func (p *peer) setCert(cert *x509.Certificate, now time.Duration) {
	p.cert = cert
	p.lastSeen = now
}

func (p *peer) setRecord(record *Record) {
	p.recordEpoch = record.Epoch
	p.recordIncarnation = record.Incarnation
	p.recordGone = record.Gone
}

func (p *peer) setStatement(statement Statement) { p.lastStatement = statement }
