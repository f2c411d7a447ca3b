package gossip

import (
	"bytes"
	"crypto/subtle"
	"crypto/x509"
	"net/netip"
	"time"
)

const (
	// maxTransitTime is how old a datagram may be, in addition to the clock skew.
	maxTransitTime = 2 * time.Second
	// maxStatementAge is how old a statement may be, in addition to the clock skew.
	maxStatementAge = 10 * maxTransitTime
)

// Opened is an authenticated datagram.
type Opened struct {
	From  string
	Epoch int64 // when its sender started, Unix milliseconds
	*Message
	Trusted bool // the sender has received a message of this member since both started, so it is not a replay
	// Equivocators are the members that have signed two different statements with one sequence number.
	Equivocators []string
}

// Open authenticates a datagram. Cheap checks come first, and no signature is verified unless the budget of the
// apparent sender allows it. Its records and statements are filtered: those that remain are new and signed by their
// author, but records of members whose certificate is not known remain without a signature.
func (g *Guard) Open(now time.Duration, wall time.Time, from netip.AddrPort, datagram []byte) (*Opened, error) {
	sealed, err := parseEnvelope(datagram)
	if err != nil {
		return nil, err
	}
	if sealed.to != "" && sealed.to != g.own.Name() {
		return nil, ErrNotForUs
	}
	sender := g.peers.get(sealed.from)
	if sender != nil && sender.replayed(&sealed.header) {
		return nil, ErrReplayed
	}
	trusted := sender != nil && g.showsCookie(&sealed.header)
	checks := g.checks.budgetFor(sender, trusted, from, now)
	if !checks.spend() {
		return nil, ErrBudget
	}
	message, cert, err := g.authenticate(sealed, sender, wall, checks)
	if err != nil {
		return nil, err
	}
	if sender == nil {
		sender = g.peers.add(sealed.from, now)
	}
	sender.update(&sealed.header, trusted, message.Cookie)
	sender.identify(cert, now)
	opened := &Opened{From: sealed.from, Epoch: sealed.epoch, Message: message, Trusted: trusted}
	g.filterRecords(opened, checks)
	g.filterStatements(opened, wall, checks)
	return opened, nil
}

// authenticate returns the message of a datagram and its sender's certificate, after it has verified the signature and
// that the message was sent lately, by another member or an earlier start of this one. The sender is nil if it is not
// known.
func (g *Guard) authenticate(
	sealed *envelope, sender *peer, wall time.Time, checks checkBudget,
) (*Message, *x509.Certificate, error) {
	message, err := decode(sealed.body)
	if err != nil {
		return nil, nil, err
	}
	cert, err := g.senderCert(sealed.from, sender, message.Cert, wall, checks)
	if err != nil {
		return nil, nil, err
	}
	if !g.verifySignature(cert, sealed.signed(g.fleet, sealed.body), sealed.signature) {
		return nil, nil, ErrSignature
	}
	if !g.isRecent(message.At, wall, maxTransitTime) {
		return nil, nil, ErrClock
	}
	if sealed.from == g.own.Name() && sealed.epoch == g.epoch {
		return nil, nil, ErrReplayed // this member's own, sent back
	}
	return message, cert, nil
}

// showsCookie reports whether a datagram shows the cookie that this member has handed to its sender.
func (g *Guard) showsCookie(h *header) bool {
	want := g.cookieFor(h.from)
	return subtle.ConstantTimeCompare(want[:], h.cookie[:]) == 1
}

// isRecent reports whether a time in Unix milliseconds by another member's clock is at most maxAge from now.
func (g *Guard) isRecent(unixMilli int64, wall time.Time, maxAge time.Duration) bool {
	return wall.Sub(time.UnixMilli(unixMilli)).Abs() <= g.clockSkew+maxAge
}

// senderCert returns the currently valid certificate of a datagram's sender: the one that is known, or one that the
// datagram carries.
func (g *Guard) senderCert(
	name string, sender *peer, carried []byte, wall time.Time, checks checkBudget,
) (*x509.Certificate, error) {
	var cert *x509.Certificate
	if sender != nil {
		cert = sender.cert
	}
	if len(carried) > 0 && (cert == nil || !bytes.Equal(cert.Raw, carried)) {
		if !checks.spend() {
			return nil, ErrBudget
		}
		var err error
		if cert, err = g.verifyCert(carried, name, wall); err != nil {
			return nil, err
		}
	}
	if cert == nil {
		return nil, ErrUnknown
	}
	if err := g.trust.Recheck(cert, wall); err != nil {
		return nil, err
	}
	return cert, nil
}

// filterRecords keeps the records that are new and signed by their author. Those of members whose certificate is not
// known are accepted without their signature: they are only used as addresses at which a member may be found.
func (g *Guard) filterRecords(opened *Opened, checks checkBudget) {
	accepted := opened.Records[:0]
	for _, record := range opened.Records {
		author := g.peers.get(record.Name)
		switch {
		case record.Name == g.own.Name():
			if !g.acceptOwnRecord(&record, checks) {
				continue
			}
		case author == nil || author.cert == nil:
			record.Sig = nil
		case !g.acceptRecord(author, &record, checks):
			continue
		}
		accepted = append(accepted, record)
	}
	opened.Records = accepted
}

// acceptOwnRecord reports whether a record shows that another member with this member's name and key started later.
func (g *Guard) acceptOwnRecord(record *Record, checks checkBudget) bool {
	return record.Epoch > g.epoch && checks.spend() &&
		g.verifySignature(g.own.Cert, record.signed(g.fleet), record.Sig)
}

// acceptRecord reports whether a record of a known member is new and signed by it, and notes it as the latest.
func (g *Guard) acceptRecord(author *peer, record *Record, checks checkBudget) bool {
	if !record.supersedes(author.recordEpoch, author.recordIncarnation, author.recordGone) || !checks.spend() {
		return false
	}
	if !g.verifySignature(author.cert, record.signed(g.fleet), record.Sig) {
		return false
	}
	author.setRecord(record)
	return true
}

// filterStatements keeps the statements that are new and signed by their author, and notes equivocators.
func (g *Guard) filterStatements(opened *Opened, wall time.Time, checks checkBudget) {
	accepted := opened.Statements[:0]
	for _, statement := range opened.Statements {
		author := g.authenticateStatement(&statement, wall, checks)
		if author == nil {
			continue
		}
		if statement.sameNumber(&author.lastStatement) {
			// Ed25519 signs the same text in the same way, and the signatures differ: these are two texts.
			opened.Equivocators = append(opened.Equivocators, statement.Name)
			continue
		}
		author.setStatement(statement)
		accepted = append(accepted, statement)
	}
	opened.Statements = accepted
}

// authenticateStatement returns the author of a statement that is not older than its latest, nor the same, and carries
// its signature. It returns nil for others.
func (g *Guard) authenticateStatement(statement *Statement, wall time.Time, checks checkBudget) *peer {
	if statement.Name == g.own.Name() || !g.isRecent(statement.At, wall, maxStatementAge) {
		return nil
	}
	author := g.peers.get(statement.Name)
	if author != nil && !mayBeNew(statement, &author.lastStatement) {
		return nil
	}
	cert := g.statementCert(author, statement, wall, checks)
	if cert == nil || g.trust.Recheck(cert, wall) != nil || !checks.spend() {
		return nil
	}
	if !g.verifySignature(cert, statement.signed(g.fleet), statement.Sig) {
		return nil
	}
	if author == nil {
		author = g.peers.add(statement.Name, 0)
		author.identify(cert, 0)
	}
	return author
}

// mayBeNew reports whether a statement is newer than the latest of its author, or has its number but another signature.
func mayBeNew(statement, latest *Statement) bool {
	if statement.sameNumber(latest) {
		return !bytes.Equal(statement.Sig, latest.Sig)
	}
	return statement.supersedes(latest)
}

// statementCert returns the known certificate of a statement's author, or the one that the statement carries. It
// returns nil if there is none that is valid, or the budget does not allow to verify it.
func (g *Guard) statementCert(author *peer, statement *Statement, wall time.Time, checks checkBudget) *x509.Certificate {
	if author != nil && author.cert != nil {
		return author.cert
	}
	if !checks.spend() {
		return nil
	}
	cert, err := g.verifyCert(statement.Cert, statement.Name, wall)
	if err != nil {
		return nil
	}
	return cert
}
