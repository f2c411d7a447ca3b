// Package pki holds who may speak in a fleet of schedulers: an authority signs a certificate for each member
// (X.509 with Ed25519 keys, RFC 5280 and 8410), and a list of those that it takes back. The organization of a
// certificate is the fleet, its common name the member.
//
// Nothing here reads a clock; whoever calls says what time it is.
package pki

import (
	"bytes"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"slices"
	"time"
)

// Errors of Verify, wrapped with more.
var (
	ErrUnknownAuthority = errors.New("no authority of the fleet signed the certificate")
	ErrExpired          = errors.New("the certificate does not hold now")
	ErrRevoked          = errors.New("the certificate was revoked")
	ErrWrongFleet       = errors.New("the certificate is of another fleet")
	ErrNotAMember       = errors.New("not the certificate of a member")
)

// MaxName is the longest name of a member or a fleet, in bytes.
const MaxName = 64

// ValidName reports whether a member or a fleet may have this name: 1 to MaxName letters, digits, '-', '_' and '.'.
func ValidName(name string) bool {
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return name != "" && len(name) <= MaxName
}

// Authority signs certificates of a fleet's members.
type Authority struct {
	Cert *x509.Certificate // its own
	Key  ed25519.PrivateKey
}

// Member is a member that holds its own key.
type Member struct {
	Cert *x509.Certificate
	Key  ed25519.PrivateKey
}

// Name is the member's name.
func (m *Member) Name() string { return m.Cert.Subject.CommonName }

func newSerialNumber() (*big.Int, error) {
	return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 63))
}

func signCertificate(template, parent *x509.Certificate, public ed25519.PublicKey, signer ed25519.PrivateKey) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, signer)
	if err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	return x509.ParseCertificate(der)
}

// NewAuthority makes an authority for a fleet, good for a time from now.
func NewAuthority(fleet string, now time.Time, good time.Duration) (*Authority, error) {
	if !ValidName(fleet) {
		return nil, fmt.Errorf("fleet %q: letters, digits, '-', '_' and '.' are allowed, %d at most", fleet, MaxName)
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	number, err := newSerialNumber()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: number, Subject: pkix.Name{Organization: []string{fleet}},
		NotBefore: now, NotAfter: now.Add(good), IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	cert, err := signCertificate(template, template, public, private)
	if err != nil {
		return nil, err
	}
	return &Authority{cert, private}, nil
}

// Fleet is the fleet that an authority signs for.
func (a *Authority) Fleet() string { return fleetOf(a.Cert) }

// Issue makes a member's key and certificate, good for a time from now.
func (a *Authority) Issue(name string, now time.Time, good time.Duration) (*Member, error) {
	if !ValidName(name) {
		return nil, fmt.Errorf("name %q: letters, digits, '-', '_' and '.' are allowed, %d at most", name, MaxName)
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	number, err := newSerialNumber()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: number, NotBefore: now, NotAfter: now.Add(good),
		Subject:  pkix.Name{Organization: []string{a.Fleet()}, CommonName: name},
		KeyUsage: x509.KeyUsageDigitalSignature,
	}
	cert, err := signCertificate(template, a.Cert, public, a.Key)
	if err != nil {
		return nil, err
	}
	return &Member{cert, private}, nil
}

// Revoke makes the list of revoked certificates: those of an earlier list, nil if there is none, and more.
func (a *Authority) Revoke(before *x509.RevocationList, now time.Time, more ...*big.Int) (*x509.RevocationList, error) {
	list := &x509.RevocationList{Number: big.NewInt(1), ThisUpdate: now, NextUpdate: now.AddDate(100, 0, 0)}
	if before != nil {
		list.RevokedCertificateEntries = slices.Clone(before.RevokedCertificateEntries)
		list.Number = new(big.Int).Add(before.Number, big.NewInt(1))
	}
	for _, n := range more {
		list.RevokedCertificateEntries = append(list.RevokedCertificateEntries,
			x509.RevocationListEntry{SerialNumber: n, RevocationTime: now})
	}
	der, err := x509.CreateRevocationList(rand.Reader, list, a.Cert, a.Key)
	if err != nil {
		return nil, fmt.Errorf("list of revoked certificates: %w", err)
	}
	return x509.ParseRevocationList(der)
}

// Trust is whose certificates count. The zero Trust trusts nobody.
type Trust struct {
	Fleet   string
	Skew    time.Duration // how far clocks may be apart
	roots   []trustedRoot
	revoked map[string]bool // serial numbers, with the key of their authority
}

type trustedRoot struct {
	cert         *x509.Certificate
	trustedUntil time.Time // it is no longer named, and counts until then; zero means for good
}

// NewTrust returns the trust in authorities and their lists. A list that none of them signed, and an authority of
// another fleet, are errors.
func NewTrust(fleet string, skew time.Duration, authorities []*x509.Certificate, lists []*x509.RevocationList) (*Trust, error) {
	t := &Trust{Fleet: fleet, Skew: skew, revoked: map[string]bool{}}
	for _, a := range authorities {
		if !a.IsCA || fleetOf(a) != fleet || a.PublicKeyAlgorithm != x509.Ed25519 {
			return nil, fmt.Errorf("authority: %w: %q, not %q, or no authority", ErrWrongFleet, fleetOf(a), fleet)
		}
		t.roots = append(t.roots, trustedRoot{cert: a})
	}
	for _, l := range lists {
		i := slices.IndexFunc(authorities, func(a *x509.Certificate) bool { return l.CheckSignatureFrom(a) == nil })
		if i < 0 {
			return nil, fmt.Errorf("list of revoked certificates: %w", ErrUnknownAuthority)
		}
		for _, e := range l.RevokedCertificateEntries {
			t.revoked[revocationKey(authorities[i], e.SerialNumber)] = true
		}
	}
	return t, nil
}

func revocationKey(authority *x509.Certificate, serial *big.Int) string {
	return string(authority.RawSubjectPublicKeyInfo) + serial.String()
}

// After returns this trust for the time after a reload: the authorities of before that it does not name count for
// overlap more. Revocations of before stay.
func (t *Trust) After(before *Trust, now time.Time, overlap time.Duration) *Trust {
	next := &Trust{Fleet: t.Fleet, Skew: t.Skew, roots: slices.Clone(t.roots), revoked: map[string]bool{}}
	for k := range t.revoked {
		next.revoked[k] = true
	}
	for k := range before.revoked {
		next.revoked[k] = true
	}
	for _, old := range before.roots {
		named := slices.ContainsFunc(t.roots, func(r trustedRoot) bool { return r.cert.Equal(old.cert) })
		if named || !old.trustedUntil.IsZero() && now.After(old.trustedUntil) {
			continue
		}
		if old.trustedUntil.IsZero() {
			old.trustedUntil = now.Add(overlap)
		}
		next.roots = append(next.roots, old)
	}
	return next
}

// Verify reads a member's certificate and says whether it counts now. It costs a check of a signature for each
// authority that is tried; Current costs none.
func (t *Trust) Verify(der []byte, now time.Time) (*x509.Certificate, error) {
	c, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotAMember, err)
	}
	if c.IsCA || c.PublicKeyAlgorithm != x509.Ed25519 || !ValidName(c.Subject.CommonName) ||
		len(c.UnhandledCriticalExtensions) > 0 || c.KeyUsage&x509.KeyUsageDigitalSignature == 0 {
		return nil, ErrNotAMember
	}
	return c, t.checkCurrent(c, now, true)
}

// Current reports whether a certificate that Verify has passed still counts.
func (t *Trust) Current(c *x509.Certificate, now time.Time) error {
	return t.checkCurrent(c, now, false)
}

func (t *Trust) checkCurrent(c *x509.Certificate, now time.Time, check bool) error {
	if fleetOf(c) != t.Fleet {
		return fmt.Errorf("%w: %q", ErrWrongFleet, fleetOf(c))
	}
	if now.Add(t.Skew).Before(c.NotBefore) || now.Add(-t.Skew).After(c.NotAfter) {
		return fmt.Errorf("%w: it is good from %v to %v", ErrExpired, c.NotBefore, c.NotAfter)
	}
	for _, r := range t.roots {
		if !bytes.Equal(c.RawIssuer, r.cert.RawSubject) || !bytes.Equal(c.AuthorityKeyId, r.cert.SubjectKeyId) ||
			!r.trustedUntil.IsZero() && now.After(r.trustedUntil) || now.Add(-t.Skew).After(r.cert.NotAfter) {
			continue
		}
		if check && c.CheckSignatureFrom(r.cert) != nil {
			continue
		}
		if t.revoked[revocationKey(r.cert, c.SerialNumber)] {
			return fmt.Errorf("%w: %s, number %v", ErrRevoked, c.Subject.CommonName, c.SerialNumber)
		}
		return nil
	}
	return ErrUnknownAuthority
}

func fleetOf(c *x509.Certificate) string {
	if len(c.Subject.Organization) != 1 {
		return ""
	}
	return c.Subject.Organization[0]
}
