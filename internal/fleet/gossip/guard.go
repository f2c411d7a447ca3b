package gossip

import (
	"crypto/ed25519"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/x509"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"calicohill/internal/fleet/pki"
)

// Why a datagram is dropped. Open returns ErrMalformed, one of these, or an error of package pki, possibly wrapped.
var (
	ErrBudget    = errors.New("gossip: signature check budget exhausted")
	ErrReplayed  = errors.New("gossip: replayed")
	ErrSignature = errors.New("gossip: invalid signature")
	ErrUnknown   = errors.New("gossip: unknown sender without a certificate")
	ErrClock     = errors.New("gossip: sent too long ago or in the future")
	ErrNotForUs  = errors.New("gossip: for another member")
)

// Guard authenticates the datagrams that are received and seals those that are sent. It holds each member's
// certificate, epoch and latest sequence numbers. It reads no clock and is not safe for concurrent use.
type Guard struct {
	fleet        string
	own          *pki.Member
	epoch        int64
	trust        *pki.Trust
	cookieSecret []byte // new with each start, so that no datagram from before it shows a valid cookie
	clockSkew    time.Duration
	seq          uint64 // of the last datagram sealed
	peers        *peerTable
	checks       *checkLimits

	// SignaturesChecked counts the signatures verified since the start.
	SignaturesChecked uint64
}

// GuardConfig configures a Guard.
type GuardConfig struct {
	Fleet              string
	Own                *pki.Member
	Epoch              int64 // when this member started, Unix milliseconds
	Trust              *pki.Trust
	Secret             []byte           // random, new with each start
	MaxChecksPerSecond int              // maximum number of signatures verified per second
	MaxClockSkew       time.Duration    // maximum difference between the clocks of two members
	Seeds              []netip.AddrPort // known addresses at the start
}

// NewGuard returns a Guard that knows no other member.
func NewGuard(c GuardConfig) *Guard {
	return &Guard{
		fleet:        c.Fleet,
		own:          c.Own,
		epoch:        c.Epoch,
		trust:        c.Trust,
		cookieSecret: c.Secret,
		clockSkew:    c.MaxClockSkew,
		peers:        newPeerTable(),
		checks:       newCheckLimits(c.MaxChecksPerSecond, c.Seeds),
	}
}

// SetKnownAddresses replaces the addresses of seeds and members.
func (g *Guard) SetKnownAddresses(addrs []netip.AddrPort) { g.checks.setKnownAddrs(addrs) }

// UpdateTrust replaces this member's key and the trusted authorities. It forgets the members whose certificates are no
// longer valid and returns their names.
func (g *Guard) UpdateTrust(own *pki.Member, trust *pki.Trust, wall time.Time) (removed []string) {
	g.own = own
	g.trust = trust
	return g.peers.removeUncertified(trust, wall)
}

// Forget drops what is known of a member.
func (g *Guard) Forget(name string) { g.peers.remove(name) }

// Certified reports whether the certificate of a member is known.
func (g *Guard) Certified(name string) bool {
	p := g.peers.get(name)
	return p != nil && p.cert != nil
}

// Certificate returns this member's own certificate in DER.
func (g *Guard) Certificate() []byte { return g.own.Cert.Raw }

// SignRecord signs this member's own record.
func (g *Guard) SignRecord(r *Record) { r.Sig = ed25519.Sign(g.own.Key, r.signed(g.fleet)) }

// SignStatement returns a signed statement of this member. Sequence numbers must grow within an epoch.
func (g *Guard) SignStatement(seq uint64, wall time.Time, body []byte) Statement {
	statement := Statement{
		Name:  g.own.Name(),
		Epoch: g.epoch,
		Seq:   seq,
		At:    wall.UnixMilli(),
		Body:  body,
		Cert:  g.own.Cert.Raw,
	}
	statement.Sig = ed25519.Sign(g.own.Key, statement.signed(g.fleet))
	return statement
}

// Seal returns the datagram with a message to a member, or to whoever is at an address if the name is empty. It sets
// the message's At, Cookie and Cert; a receiver that may not know this member is sent the certificate. If the message
// does not fit with it, its Statements are dropped. A message that is still too long is an error.
func (g *Guard) Seal(to string, inc uint32, wall time.Time, message *Message) ([]byte, error) {
	g.seq++
	head := header{from: g.own.Name(), to: to, epoch: g.epoch, incarnation: inc, seq: g.seq}
	receiver := g.peers.get(to)
	if receiver != nil {
		head.cookie = receiver.cookie
	}
	message.At = wall.UnixMilli()
	if to != "" {
		message.Cookie = g.cookieFor(to)
	}
	message.Cert = nil
	// A receiver that has shown a cookie has read a message with the certificate. It may have restarted since, so the
	// certificate goes along with summaries too.
	if receiver == nil || !receiver.cookieSeen || len(message.Summaries) > 0 {
		message.Cert = g.own.Cert.Raw
	}
	datagram := head.appendTo(make([]byte, 0, MaxDatagram))
	body, err := encodeWithin(message, MaxDatagram-signatureBytes-len(datagram))
	if err != nil {
		return nil, fmt.Errorf("gossip: sealing a message: %w", err)
	}
	datagram = append(datagram, ed25519.Sign(g.own.Key, head.signed(g.fleet, body))...)
	datagram = append(datagram, body...)
	if len(datagram) > MaxDatagram {
		return nil, fmt.Errorf("gossip: a message of %d bytes", len(datagram))
	}
	return datagram, nil
}

// encodeWithin encodes a message, without its Statements if it is longer than limit bytes with them: a certificate that
// was not accounted for has taken their space, and other members send them again.
func encodeWithin(message *Message, limit int) ([]byte, error) {
	body, err := encode(message)
	if err != nil || len(body) <= limit || len(message.Statements) == 0 {
		return body, err
	}
	message.Statements = nil
	return encode(message)
}

// cookieFor returns the cookie that a member is to show. It is derived from the secret, so no table is needed.
func (g *Guard) cookieFor(name string) (cookie Cookie) {
	mac := hmac.New(sha256.New, g.cookieSecret)
	mac.Write([]byte(name))
	copy(cookie[:], mac.Sum(nil))
	return cookie
}

// verifyCert parses a certificate that a datagram carries, and checks that it is valid and of the member it names.
func (g *Guard) verifyCert(der []byte, name string, wall time.Time) (*x509.Certificate, error) {
	g.SignaturesChecked++
	cert, err := g.trust.Verify(der, wall)
	if err != nil {
		return nil, err
	}
	if cert.Subject.CommonName != name {
		return nil, fmt.Errorf("%w: of %s, not of %s", pki.ErrNotAMember, cert.Subject.CommonName, name)
	}
	return cert, nil
}

func (g *Guard) verifySignature(cert *x509.Certificate, text, sig []byte) bool {
	g.SignaturesChecked++
	key, ok := cert.PublicKey.(ed25519.PublicKey)
	return ok && ed25519.Verify(key, text, sig)
}
