package gossip

import (
	"crypto/ed25519"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/x509"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"calicohill/internal/fleet/pki"
	"calicohill/internal/stats/ratelimit"
)

// Why a datagram is dropped. Errors of Open are one of these, or one of package fleetkey, wrapped.
var (
	ErrBudget    = errors.New("gossip: the budget of signature checks is spent")
	ErrReplayed  = errors.New("gossip: replayed")
	ErrSignature = errors.New("gossip: the signature is not right")
	ErrUnknown   = errors.New("gossip: the sender is not known and brings no certificate")
	ErrClock     = errors.New("gossip: sent too long ago, or not yet")
	ErrNotForUs  = errors.New("gossip: for another member")
	ErrOwnName   = errors.New("gossip: from another member of this one's name")
)

// What a Guard lets its budget of checks be spent on. Those who have shown a cookie have a part each, so that
// neither forged addresses nor another member can take it from them.
const (
	peerCheckShare    = 0.2  // of the checks a second for each sender with a cookie
	knownCheckShare   = 0.25 // for all datagrams without one from addresses of members and seeds
	unknownCheckShare = 0.1  // for all others
	maxPeers          = 4096
	maxTransitTime    = 2 * time.Second // that a datagram may be on its way, on top of the skew
)

// Guard decides which datagrams are read, and seals those that are sent. It holds what is known of each member's
// key, start and latest numbers. It reads no clock and is not safe for concurrent use.
type Guard struct {
	fleet           string
	own             *pki.Member
	epoch           int64
	trust           *pki.Trust
	secret          []byte // of cookies; new with each start, so that what was recorded before shows none
	checksPerSecond float64
	clockSkew       time.Duration
	seq             uint64

	peers                                   map[string]*peer
	knownAddrs                              map[netip.AddrPort]bool // seeds and addresses of members
	totalBudget, knownBudget, unknownBudget ratelimit.TokenBucket
	SignaturesChecked                       uint64 // signatures checked so far
}

// peer is what a Guard knows of a member.
type peer struct {
	cert         *x509.Certificate
	epoch        int64
	highestSeq   uint64 // sequence number
	replayWindow uint64 // bit i: the number highest-i was seen
	cookie       Cookie // to be shown to it
	budget       ratelimit.TokenBucket
	lastSeen     time.Duration
	cookieSeen   bool // it has shown this member's cookie in its present life

	lastStatement     Statement // its latest
	recordEpoch       int64     // of its latest record
	recordIncarnation uint32
	recordGone        bool
}

// GuardConfig is what a Guard works with.
type GuardConfig struct {
	Fleet  string
	Own    *pki.Member
	Epoch  int64 // start of this member, Unix milliseconds
	Trust  *pki.Trust
	Secret []byte // random, new with each start
	Checks int    // signatures a second
	Skew   time.Duration
	Seeds  []netip.AddrPort
}

// NewGuard returns a Guard.
func NewGuard(c GuardConfig) *Guard {
	g := &Guard{
		fleet: c.Fleet, own: c.Own, epoch: c.Epoch, trust: c.Trust, secret: c.Secret, checksPerSecond: float64(c.Checks),
		clockSkew: c.Skew, peers: map[string]*peer{}, knownAddrs: map[netip.AddrPort]bool{},
	}
	for _, s := range c.Seeds {
		g.knownAddrs[s] = true
	}
	return g
}

// SetKnownAddresses takes in which addresses members and seeds have.
func (g *Guard) SetKnownAddresses(addrs []netip.AddrPort) {
	clear(g.knownAddrs)
	for _, a := range addrs {
		g.knownAddrs[a] = true
	}
}

// UpdateTrust takes up new keys. Members whose certificates no longer count are forgotten, and their names returned.
func (g *Guard) UpdateTrust(own *pki.Member, t *pki.Trust, wall time.Time) (gone []string) {
	g.own, g.trust = own, t
	for name, p := range g.peers {
		if p.cert != nil && t.Current(p.cert, wall) != nil {
			delete(g.peers, name)
			gone = append(gone, name)
		}
	}
	return gone
}

// Forget drops what is known of a member that is gone for good.
func (g *Guard) Forget(name string) { delete(g.peers, name) }

// Certified reports whether the key of a member is known.
func (g *Guard) Certified(name string) bool {
	p := g.peers[name]
	return p != nil && p.cert != nil
}

// Certificate is this member's own certificate.
func (g *Guard) Certificate() []byte { return g.own.Cert.Raw }

// cookieFor is the cookie that a member is to show. It needs no table: it is made from the secret.
func (g *Guard) cookieFor(name string) (c Cookie) {
	m := hmac.New(sha256.New, g.secret)
	m.Write([]byte(name))
	copy(c[:], m.Sum(nil))
	return c
}

// SignRecord signs this member's own record.
func (g *Guard) SignRecord(r *Record) { r.Sig = ed25519.Sign(g.own.Key, r.signed(g.fleet)) }

// State makes a statement of this member's.
func (g *Guard) State(seq uint64, wall time.Time, body []byte) Statement {
	s := Statement{Name: g.own.Name(), Epoch: g.epoch, Seq: seq, At: wall.UnixMilli(), Body: body, Cert: g.own.Cert.Raw}
	s.Sig = ed25519.Sign(g.own.Key, s.signed(g.fleet))
	return s
}

// Seal makes the datagram of a message to a member, or, with the name "", to whoever is at an address. Whoever may
// not know this member is sent its certificate too.
func (g *Guard) Seal(to string, inc uint32, wall time.Time, m *Message) ([]byte, error) {
	g.seq++
	h := header{from: g.own.Name(), to: to, epoch: g.epoch, incarnation: inc, seq: g.seq}
	m.At, m.Cert = wall.UnixMilli(), nil
	if to != "" {
		m.Cookie = g.cookieFor(to)
	}
	if p := g.peers[to]; p != nil {
		h.cookie = p.cookie
	}
	// Whoever has shown a cookie has read a message with the certificate; it may have started anew since.
	if p := g.peers[to]; p == nil || !p.cookieSeen || len(m.Summaries) > 0 {
		m.Cert = g.own.Cert.Raw
	}
	body, err := encode(m)
	if err == nil && len(m.Statements) > 0 && len(body) > MaxDatagram-signatureBytes-len(h.appendTo(nil)) {
		// A certificate that was not reckoned with takes the room: statements are told again by others.
		m.Statements = nil
		body, err = encode(m)
	}
	if err != nil {
		return nil, fmt.Errorf("gossip: sealing a message: %w", err)
	}
	sig := ed25519.Sign(g.own.Key, h.signed(g.fleet, body))
	b := append(append(h.appendTo(make([]byte, 0, MaxDatagram)), sig...), body...)
	if len(b) > MaxDatagram {
		return nil, fmt.Errorf("gossip: a message of %d bytes", len(b))
	}
	return b, nil
}

// Opened is a datagram that was read.
type Opened struct {
	From  string
	Epoch int64 // the start of its sender
	*Message
	Trusted bool // its sender has heard from this member since both started: no replay
	// Equivocators is a statement that contradicts another of the same number, signed by the same member.
	Equivocators []string
}

// Open reads a datagram, or says why it is dropped. What costs little is looked at first, and no signature is
// checked unless the budget of whoever seems to have sent it allows.
func (g *Guard) Open(now time.Duration, wall time.Time, from netip.AddrPort, datagram []byte) (*Opened, error) {
	h, sig, body, err := parseHeader(datagram)
	if err != nil {
		return nil, err
	}
	if h.to != "" && h.to != g.own.Name() {
		return nil, ErrNotForUs
	}
	p := g.peers[h.from]
	if p != nil && (h.epoch < p.epoch || h.epoch == p.epoch && !p.isFresh(h.seq)) {
		return nil, ErrReplayed
	}
	want := g.cookieFor(h.from)
	trusted := p != nil && subtle.ConstantTimeCompare(want[:], h.cookie[:]) == 1
	pay := func() bool { return g.spendCheck(now, p, trusted, from) }
	if !pay() {
		return nil, ErrBudget
	}
	m, err := decode(body)
	if err != nil {
		return nil, err
	}
	cert := (*x509.Certificate)(nil)
	if p != nil {
		cert = p.cert
	}
	if len(m.Cert) > 0 && (cert == nil || string(cert.Raw) != string(m.Cert)) {
		if !pay() {
			return nil, ErrBudget
		}
		if cert, err = g.verifyCert(m.Cert, h.from, wall); err != nil {
			return nil, err
		}
	}
	if cert == nil {
		return nil, ErrUnknown
	}
	if err := g.trust.Current(cert, wall); err != nil {
		return nil, err
	}
	if !g.verifySignature(cert, h.signed(g.fleet, body), sig) {
		return nil, ErrSignature
	}
	if d := wall.Sub(time.UnixMilli(m.At)).Abs(); d > g.clockSkew+maxTransitTime {
		return nil, ErrClock
	}
	if h.from == g.own.Name() && h.epoch == g.epoch {
		return nil, ErrReplayed // its own, sent back
	}
	if p == nil {
		if p = g.addPeer(h.from, now); p == nil {
			return nil, ErrBudget
		}
	}
	if h.epoch > p.epoch {
		p.epoch, p.highestSeq, p.replayWindow = h.epoch, 0, 0
		p.cookie, p.cookieSeen = Cookie{}, false
	}
	p.cookieSeen = p.cookieSeen || trusted
	p.cert, p.lastSeen = cert, now
	p.markSeen(h.seq)
	if m.Cookie != (Cookie{}) {
		p.cookie = m.Cookie
	}
	o := &Opened{From: h.from, Epoch: h.epoch, Message: m, Trusted: trusted}
	g.filterRecords(o, pay)
	g.filterStatements(o, wall, pay)
	return o, nil
}

// verifyCert reads a certificate that a datagram brings, and holds it to the name that it comes under.
func (g *Guard) verifyCert(der []byte, name string, wall time.Time) (*x509.Certificate, error) {
	g.SignaturesChecked++
	c, err := g.trust.Verify(der, wall)
	if err != nil {
		return nil, err
	}
	if c.Subject.CommonName != name {
		return nil, fmt.Errorf("%w: of %s, not of %s", pki.ErrNotAMember, c.Subject.CommonName, name)
	}
	return c, nil
}

func (g *Guard) verifySignature(c *x509.Certificate, text, sig []byte) bool {
	g.SignaturesChecked++
	key, ok := c.PublicKey.(ed25519.PublicKey)
	return ok && ed25519.Verify(key, text, sig)
}

// pay takes one check from the budget of whoever seems to have sent a datagram.
func (g *Guard) spendCheck(now time.Duration, p *peer, trusted bool, from netip.AddrPort) bool {
	own, part := &g.unknownBudget, unknownCheckShare
	switch {
	case trusted:
		own, part = &p.budget, peerCheckShare
	case g.knownAddrs[from]:
		own, part = &g.knownBudget, knownCheckShare
	}
	// A second of budget may be spent at once.
	rate := max(part*g.checksPerSecond, 1)
	return own.Take(now, 1, rate, rate) && g.totalBudget.Take(now, 1, g.checksPerSecond, g.checksPerSecond)
}

// admit makes room for a member that was not known. With the table full the one that was silent longest goes.
func (g *Guard) addPeer(name string, now time.Duration) *peer {
	if len(g.peers) >= maxPeers {
		oldest := ""
		for n, p := range g.peers {
			if oldest == "" || p.lastSeen < g.peers[oldest].lastSeen {
				oldest = n
			}
		}
		delete(g.peers, oldest)
	}
	p := &peer{lastSeen: now}
	g.peers[name] = p
	return p
}

// fresh reports whether a number was not seen and is not too old to tell.
func (p *peer) isFresh(seq uint64) bool {
	return seq > p.highestSeq || p.highestSeq-seq < 64 && p.replayWindow>>(p.highestSeq-seq)&1 == 0
}

func (p *peer) markSeen(seq uint64) {
	if seq > p.highestSeq {
		if n := seq - p.highestSeq; n < 64 {
			p.replayWindow <<= n
		} else {
			p.replayWindow = 0
		}
		p.highestSeq = seq
	}
	p.replayWindow |= 1 << (p.highestSeq - seq)
}

// records keeps the records of a message that are signed by whom they are of and newer than what is known. Those
// of members whose key is not known stay without a signature: they only say where somebody may be found.
func (g *Guard) filterRecords(o *Opened, pay func() bool) {
	kept := o.Records[:0]
	for _, r := range o.Records {
		if r.Name == g.own.Name() {
			// Only one of this name that started later is news, and only with this member's own key.
			if r.Epoch > g.epoch && pay() && g.verifySignature(g.own.Cert, r.signed(g.fleet), r.Sig) {
				kept = append(kept, r)
			}
			continue
		}
		p := g.peers[r.Name]
		if p == nil || p.cert == nil {
			r.Sig = nil
			kept = append(kept, r)
			continue
		}
		newer := r.Epoch > p.recordEpoch || r.Epoch == p.recordEpoch && (r.Incarnation > p.recordIncarnation || r.Incarnation == p.recordIncarnation && r.Gone && !p.recordGone)
		if !newer || !pay() || !g.verifySignature(p.cert, r.signed(g.fleet), r.Sig) {
			continue
		}
		p.recordEpoch, p.recordIncarnation, p.recordGone = r.Epoch, r.Incarnation, r.Gone
		kept = append(kept, r)
	}
	o.Records = kept
}

// statements keeps the statements of a message that are new and signed by whom they are of.
func (g *Guard) filterStatements(o *Opened, wall time.Time, pay func() bool) {
	kept := o.Statements[:0]
	for _, s := range o.Statements {
		if s.Name == g.own.Name() || wall.Sub(time.UnixMilli(s.At)).Abs() > g.clockSkew+10*maxTransitTime {
			continue
		}
		p := g.peers[s.Name]
		var cert *x509.Certificate
		if p != nil {
			cert = p.cert
			old := s.Epoch < p.lastStatement.Epoch || s.Epoch == p.lastStatement.Epoch && s.Seq < p.lastStatement.Seq
			same := s.Epoch == p.lastStatement.Epoch && s.Seq == p.lastStatement.Seq
			if old || same && string(s.Sig) == string(p.lastStatement.Sig) {
				continue
			}
		}
		if cert == nil {
			if !pay() {
				continue
			}
			c, err := g.verifyCert(s.Cert, s.Name, wall)
			if err != nil {
				continue
			}
			cert = c
		}
		if g.trust.Current(cert, wall) != nil || !pay() || !g.verifySignature(cert, s.signed(g.fleet), s.Sig) {
			continue
		}
		if p == nil {
			if p = g.addPeer(s.Name, 0); p == nil {
				continue
			}
			p.cert = cert
		}
		if s.Epoch == p.lastStatement.Epoch && s.Seq == p.lastStatement.Seq {
			// Ed25519 signs the same text in the same way: these are two texts under one number.
			o.Equivocators = append(o.Equivocators, s.Name)
			continue
		}
		p.lastStatement = s
		kept = append(kept, s)
	}
	o.Statements = kept
}
