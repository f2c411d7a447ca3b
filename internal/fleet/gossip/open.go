package gossip

import (
	"bytes"
	"crypto/subtle"
	"crypto/x509"
	"net/netip"
	"time"
)

const (
	// maxTransitTime is the maximum age of a datagram, in addition to the clock skew.
	maxTransitTime = 2 * time.Second
	// maxStatementAge is the maximum age of a statement, in addition to the clock skew.
	maxStatementAge = 10 * maxTransitTime
)

// Opened is an authenticated datagram.
type Opened struct {
	From  string
	Epoch int64 // start time of the sender, Unix milliseconds
	*Message
	Trusted bool // contains a cookie issued since this member started, so it is not a replay
	// Equivocators are members that signed two different statements with the same sequence number.
	Equivocators []string
}

// Open authenticates a datagram. Cheap checks come first, and each signature check needs budget of the apparent sender.
// Open then removes records and statements that are not new or not signed by their author. Records of members whose
// certificate is unknown are kept without their signature.
func (g *Guard) Open(now time.Duration, wall time.Time, from netip.AddrPort, datagram []byte) (*Opened, error) {
	sealed, err := parseEnvelope(datagram)
	if err != nil {
		return nil, err
	}
	if sealed.to != "" && sealed.to != g.own.Name() {
		return nil, ErrWrongReceiver
	}
	sender := g.peers.get(sealed.from)
	if sender != nil && sender.replayed(&sealed.header) {
		return nil, ErrReplayed
	}
	trusted := sender != nil && g.hasValidCookie(&sealed.header)
	checks := g.checks.budgetFor(sender, trusted, from, now)
	if !checks.spend() {
		return nil, ErrCheckBudget
	}
	message, cert, err := g.authenticate(sealed, sender, wall, checks)
	if err != nil {
		return nil, err
	}
	if sender == nil {
		sender = g.peers.add(sealed.from, now)
	}
	sender.update(&sealed.header, trusted, message.Cookie)
	sender.setCert(cert, now)
	opened := &Opened{From: sealed.from, Epoch: sealed.epoch, Message: message, Trusted: trusted}
	g.filterRecords(opened, checks)
	g.filterStatements(opened, wall, checks)
	return opened, nil
}

// authenticate returns the message of a datagram and its sender's certificate. It verifies the signature, that the
// message was sent recently, and that this member did not send it in its current epoch. sender is nil if it is unknown.
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
	if !g.verifySignature(cert, sealed.signedText(g.fleet, sealed.body), sealed.signature) {
		return nil, nil, ErrSignature
	}
	if !g.isRecent(message.At, wall, maxTransitTime) {
		return nil, nil, ErrClockSkew
	}
	if sealed.from == g.own.Name() && sealed.epoch == g.epoch {
		return nil, nil, ErrReplayed // own datagram sent back to this member
	}
	return message, cert, nil
}

// hasValidCookie reports whether a datagram contains the cookie that this member issued to its sender.
func (g *Guard) hasValidCookie(h *header) bool {
	want := g.cookieFor(h.from)
	return subtle.ConstantTimeCompare(want[:], h.cookie[:]) == 1
}

// isRecent reports whether a timestamp by another member's clock is within maxAge plus the clock skew of wall.
func (g *Guard) isRecent(unixMilli int64, wall time.Time, maxAge time.Duration) bool {
	return wall.Sub(time.UnixMilli(unixMilli)).Abs() <= g.clockSkew+maxAge
}

// senderCert returns the valid certificate of a datagram's sender. A certificate carried by the datagram takes
// precedence over the known one if they differ.
func (g *Guard) senderCert(
	name string, sender *peer, carried []byte, wall time.Time, checks checkBudget,
) (*x509.Certificate, error) {
	var cert *x509.Certificate
	if sender != nil {
		cert = sender.cert
	}
	if len(carried) > 0 && (cert == nil || !bytes.Equal(cert.Raw, carried)) {
		if !checks.spend() {
			return nil, ErrCheckBudget
		}
		var err error
		if cert, err = g.verifyCert(carried, name, wall); err != nil {
			return nil, err
		}
	}
	if cert == nil {
		return nil, ErrUnknownSender
	}
	if err := g.trust.Recheck(cert, wall); err != nil {
		return nil, err
	}
	return cert, nil
}

// filterRecords keeps the records that are new and signed by their author. Records of members whose certificate is
// unknown are kept without their signature: the Core uses them only as candidate addresses to ping.
func (g *Guard) filterRecords(opened *Opened, checks checkBudget) {
	accepted := opened.Records[:0]
	for _, record := range opened.Records {
		author := g.peers.get(record.Name)
		switch {
		case record.Name == g.own.Name():
			if !g.provesNameConflict(&record, checks) {
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

// provesNameConflict reports whether a record proves that another member with this member's name and key started later.
func (g *Guard) provesNameConflict(record *Record, checks checkBudget) bool {
	return record.Epoch > g.epoch && checks.spend() &&
		g.verifySignature(g.own.Cert, record.signedText(g.fleet), record.Sig)
}

// acceptRecord reports whether a record of a known member is new and signed by it, and stores it as the latest if so.
func (g *Guard) acceptRecord(author *peer, record *Record, checks checkBudget) bool {
	if !record.supersedes(author.recordEpoch, author.recordIncarnation, author.recordGone) || !checks.spend() {
		return false
	}
	if !g.verifySignature(author.cert, record.signedText(g.fleet), record.Sig) {
		return false
	}
	author.setRecord(record)
	return true
}

// filterStatements keeps the statements that are new and signed by their author, and records equivocators.
func (g *Guard) filterStatements(opened *Opened, wall time.Time, checks checkBudget) {
	accepted := opened.Statements[:0]
	for _, statement := range opened.Statements {
		author := g.authenticateStatement(&statement, wall, checks)
		if author == nil {
			continue
		}
		if statement.sameNumber(&author.lastStatement) {
			// Ed25519 is deterministic, so different signatures mean different statements.
			opened.Equivocators = append(opened.Equivocators, statement.Name)
			continue
		}
		author.setStatement(statement)
		accepted = append(accepted, statement)
	}
	opened.Statements = accepted
}

// authenticateStatement returns the author of a statement, or nil if the statement is outdated, a duplicate, or not
// signed by the author.
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
	if !g.verifySignature(cert, statement.signedText(g.fleet), statement.Sig) {
		return nil
	}
	if author == nil {
		author = g.peers.add(statement.Name, 0)
		author.setCert(cert, 0)
	}
	return author
}

// mayBeNew reports whether a statement is newer than the latest one of its author, or has the same number but a
// different signature.
func mayBeNew(statement, latest *Statement) bool {
	if statement.sameNumber(latest) {
		return !bytes.Equal(statement.Sig, latest.Sig)
	}
	return statement.supersedes(latest)
}

// statementCert returns the known certificate of a statement's author, or else the one carried by the statement. It
// returns nil if the carried certificate is invalid or the budget does not allow a check.
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
