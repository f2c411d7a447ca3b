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

// Errors of Open, which state why a datagram is dropped. Open may also return ErrMalformed or an error of package pki.
// Any of them may be wrapped.
var (
	ErrCheckBudget   = errors.New("gossip: signature check budget exhausted")
	ErrReplayed      = errors.New("gossip: replayed datagram")
	ErrSignature     = errors.New("gossip: invalid signature")
	ErrUnknownSender = errors.New("gossip: unknown sender without a certificate")
	ErrClockSkew     = errors.New("gossip: send time too far from the local clock")
	ErrWrongReceiver = errors.New("gossip: addressed to another member")
)

// Guard authenticates received datagrams and seals outgoing ones. It stores each member's certificate, epoch and latest
// sequence numbers. It never reads a clock and is not safe for concurrent use.
type Guard struct {
	fleet        string
	own          *pki.Member
	epoch        int64
	trust        *pki.Trust
	cookieSecret []byte // regenerated at each start, which invalidates cookies of earlier datagrams
	clockSkew    time.Duration
	seq          uint64 // sequence number of the last sealed datagram
	peers        *peerTable
	checks       *checkLimits

	// SignaturesChecked is the number of signature verifications since the start.
	SignaturesChecked uint64
}

// GuardConfig configures a Guard.
type GuardConfig struct {
	Fleet              string
	Own                *pki.Member
	Epoch              int64 // start time of this member, Unix milliseconds
	Trust              *pki.Trust
	Secret             []byte           // random key for cookies, regenerated at each start
	MaxChecksPerSecond int              // limit of signature verifications per second
	MaxClockSkew       time.Duration    // maximum difference between the clocks of two members
	Seeds              []netip.AddrPort // initial known addresses
}

// NewGuard returns a Guard without state about other members.
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

// SetKnownAddresses replaces the set of seed and member addresses.
func (g *Guard) SetKnownAddresses(addrs []netip.AddrPort) { g.checks.setKnownAddrs(addrs) }

// UpdateTrust replaces this member's key and the trusted authorities. It drops members whose certificates are no longer
// valid and returns their names.
func (g *Guard) UpdateTrust(own *pki.Member, trust *pki.Trust, wall time.Time) (removed []string) {
	g.own = own
	g.trust = trust
	return g.peers.removeInvalid(trust, wall)
}

// Forget drops the state about a member.
func (g *Guard) Forget(name string) { g.peers.remove(name) }

// HasCertificate reports whether the certificate of a member is known.
func (g *Guard) HasCertificate(name string) bool {
	p := g.peers.get(name)
	return p != nil && p.cert != nil
}

// Certificate returns this member's own certificate in DER.
func (g *Guard) Certificate() []byte { return g.own.Cert.Raw }

// SignRecord signs this member's own record.
func (g *Guard) SignRecord(r *Record) { r.Sig = ed25519.Sign(g.own.Key, r.signedText(g.fleet)) }

// SignStatement returns a signed statement of this member. Sequence numbers must increase within an epoch.
func (g *Guard) SignStatement(seq uint64, wall time.Time, body []byte) Statement {
	statement := Statement{
		Name:  g.own.Name(),
		Epoch: g.epoch,
		Seq:   seq,
		At:    wall.UnixMilli(),
		Body:  body,
		Cert:  g.own.Cert.Raw,
	}
	statement.Sig = ed25519.Sign(g.own.Key, statement.signedText(g.fleet))
	return statement
}

// Seal returns the signed datagram for a message. to is the receiver's name, or empty if only its address is known.
// Seal sets the message's At, Cookie and Cert; Cert is set only if the receiver may not have this member's certificate.
// If the message is then too long, its Statements are dropped. Seal fails if it is still too long.
func (g *Guard) Seal(to string, ownIncarnation uint32, wall time.Time, message *Message) ([]byte, error) {
	g.seq++
	head := header{from: g.own.Name(), to: to, epoch: g.epoch, incarnation: ownIncarnation, seq: g.seq}
	receiver := g.peers.get(to)
	if receiver != nil {
		head.cookie = receiver.cookie
	}
	message.At = wall.UnixMilli()
	if to != "" {
		message.Cookie = g.cookieFor(to)
	}
	message.Cert = nil
	// A receiver that has shown a valid cookie already has the certificate. It may have restarted since, so messages
	// with summaries carry the certificate as well.
	if receiver == nil || !receiver.cookieConfirmed || len(message.Summaries) > 0 {
		message.Cert = g.own.Cert.Raw
	}
	datagram := head.appendTo(make([]byte, 0, MaxDatagram))
	body, err := encodeWithin(message, MaxDatagram-signatureBytes-len(datagram))
	if err != nil {
		return nil, fmt.Errorf("gossip: encode message: %w", err)
	}
	datagram = append(datagram, ed25519.Sign(g.own.Key, head.signedText(g.fleet, body))...)
	datagram = append(datagram, body...)
	if len(datagram) > MaxDatagram {
		return nil, fmt.Errorf("gossip: sealed datagram too long: %d bytes", len(datagram))
	}
	return datagram, nil
}

// encodeWithin encodes a message and drops its Statements if the result exceeds limit bytes. This happens if Seal added
// a certificate for which the sender reserved no space. Dropping them is safe because other members retransmit them.
func encodeWithin(message *Message, limit int) ([]byte, error) {
	body, err := encode(message)
	if err != nil || len(body) <= limit || len(message.Statements) == 0 {
		return body, err
	}
	message.Statements = nil
	return encode(message)
}

// cookieFor returns the cookie issued to a member. It is derived from the secret, so issued cookies need not be stored.
func (g *Guard) cookieFor(name string) (cookie Cookie) {
	mac := hmac.New(sha256.New, g.cookieSecret)
	mac.Write([]byte(name))
	copy(cookie[:], mac.Sum(nil))
	return cookie
}

// verifyCert parses a certificate carried by a datagram and checks that it is valid and issued to the named member.
func (g *Guard) verifyCert(der []byte, name string, wall time.Time) (*x509.Certificate, error) {
	g.SignaturesChecked++
	cert, err := g.trust.Verify(der, wall)
	if err != nil {
		return nil, err
	}
	if cert.Subject.CommonName != name {
		return nil, fmt.Errorf("%w: issued to %s, not to %s", pki.ErrNotAMember, cert.Subject.CommonName, name)
	}
	return cert, nil
}

func (g *Guard) verifySignature(cert *x509.Certificate, text, sig []byte) bool {
	g.SignaturesChecked++
	key, ok := cert.PublicKey.(ed25519.PublicKey)
	return ok && ed25519.Verify(key, text, sig)
}
