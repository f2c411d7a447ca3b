package pki

import (
	"bytes"
	"crypto/x509"
	"errors"
	"fmt"
	"maps"
	"math/big"
	"slices"
	"time"
)

// Errors that Trust.Verify and Trust.Recheck wrap with details. NewTrust wraps ErrWrongFleet and ErrUnknownAuthority.
var (
	ErrUnknownAuthority = errors.New("no authority of the fleet signed the certificate")
	ErrExpired          = errors.New("the certificate is not valid now")
	ErrRevoked          = errors.New("the certificate was revoked")
	ErrWrongFleet       = errors.New("the certificate is of another fleet")
	ErrNotAMember       = errors.New("not the certificate of a member")
)

// Trust verifies certificates against a set of authorities and their revocation lists. The zero value accepts none.
type Trust struct {
	Fleet     string
	ClockSkew time.Duration // maximum difference between clocks
	roots     []trustedRoot
	revoked   map[string]bool // by revocationKey
}

// trustedRoot is the certificate of a trusted authority.
type trustedRoot struct {
	cert         *x509.Certificate
	trustedUntil time.Time // end of trust in an authority removed from the configuration; zero if it is configured
}

// isTrusted reports whether the authority is configured, or was removed less than the overlap ago.
func (r trustedRoot) isTrusted(now time.Time) bool {
	return r.trustedUntil.IsZero() || !now.After(r.trustedUntil)
}

// issued reports whether the certificate names this authority as its issuer. It does not check the signature.
func (r trustedRoot) issued(cert *x509.Certificate) bool {
	return bytes.Equal(cert.RawIssuer, r.cert.RawSubject) && bytes.Equal(cert.AuthorityKeyId, r.cert.SubjectKeyId)
}

// NewTrust returns a Trust in the given authorities and their revocation lists. It returns an error if one of the
// authorities is not a certificate authority of the fleet, or if none of them signed one of the lists.
func NewTrust(
	fleet string, skew time.Duration, authorities []*x509.Certificate, lists []*x509.RevocationList,
) (*Trust, error) {
	trust := &Trust{Fleet: fleet, ClockSkew: skew, revoked: map[string]bool{}}
	for _, authority := range authorities {
		if !authority.IsCA || fleetOf(authority) != fleet || authority.PublicKeyAlgorithm != x509.Ed25519 {
			return nil, fmt.Errorf("authority: %w: %q, not %q, or not an authority", ErrWrongFleet, fleetOf(authority), fleet)
		}
		trust.roots = append(trust.roots, trustedRoot{cert: authority})
	}
	for _, list := range lists {
		signer := slices.IndexFunc(authorities, func(authority *x509.Certificate) bool {
			return list.CheckSignatureFrom(authority) == nil
		})
		if signer < 0 {
			return nil, fmt.Errorf("list of revoked certificates: %w", ErrUnknownAuthority)
		}
		for _, entry := range list.RevokedCertificateEntries {
			trust.revoked[revocationKey(authorities[signer], entry.SerialNumber)] = true
		}
	}
	return trust, nil
}

// revocationKey identifies a certificate by the public key of its authority and its serial number.
func revocationKey(authority *x509.Certificate, serial *big.Int) string {
	return string(authority.RawSubjectPublicKeyInfo) + serial.String()
}

// MergePrevious returns this Trust merged with the Trust before a reload. Authorities that are no longer configured
// stay trusted for the overlap, and revoked certificates stay revoked.
func (t *Trust) MergePrevious(before *Trust, now time.Time, overlap time.Duration) *Trust {
	merged := &Trust{Fleet: t.Fleet, ClockSkew: t.ClockSkew, roots: slices.Clone(t.roots), revoked: map[string]bool{}}
	maps.Copy(merged.revoked, t.revoked)
	maps.Copy(merged.revoked, before.revoked)
	for _, old := range before.roots {
		isConfigured := slices.ContainsFunc(t.roots, func(r trustedRoot) bool { return r.cert.Equal(old.cert) })
		if isConfigured || !old.isTrusted(now) {
			continue
		}
		if old.trustedUntil.IsZero() {
			old.trustedUntil = now.Add(overlap)
		}
		merged.roots = append(merged.roots, old)
	}
	return merged
}

// Verify parses a DER-encoded member certificate and verifies it. It checks one signature for each authority that the
// certificate may name as its issuer.
func (t *Trust) Verify(der []byte, now time.Time) (*x509.Certificate, error) {
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotAMember, err)
	}
	if !isMemberCertificate(cert) {
		return nil, ErrNotAMember
	}
	return cert, t.check(cert, now, true)
}

// isMemberCertificate reports whether the fields of a certificate are valid for a member certificate.
func isMemberCertificate(cert *x509.Certificate) bool {
	canSign := cert.KeyUsage&x509.KeyUsageDigitalSignature != 0
	isSupported := cert.PublicKeyAlgorithm == x509.Ed25519 && len(cert.UnhandledCriticalExtensions) == 0
	return !cert.IsCA && canSign && isSupported && ValidName(cert.Subject.CommonName)
}

// Recheck verifies that a certificate accepted by Verify is still valid. It does not check signatures again.
func (t *Trust) Recheck(cert *x509.Certificate, now time.Time) error {
	return t.check(cert, now, false)
}

// check checks the fleet, the validity period, the issuer and the revocation of a certificate, and optionally its
// signature.
func (t *Trust) check(cert *x509.Certificate, now time.Time, checkSignature bool) error {
	if fleetOf(cert) != t.Fleet {
		return fmt.Errorf("%w: %q", ErrWrongFleet, fleetOf(cert))
	}
	if now.Add(t.ClockSkew).Before(cert.NotBefore) || now.Add(-t.ClockSkew).After(cert.NotAfter) {
		return fmt.Errorf("%w: it is valid from %v to %v", ErrExpired, cert.NotBefore, cert.NotAfter)
	}
	for _, root := range t.roots {
		isExpired := now.Add(-t.ClockSkew).After(root.cert.NotAfter)
		if !root.issued(cert) || !root.isTrusted(now) || isExpired {
			continue
		}
		if checkSignature && cert.CheckSignatureFrom(root.cert) != nil {
			continue
		}
		if t.revoked[revocationKey(root.cert, cert.SerialNumber)] {
			return fmt.Errorf("%w: %s, number %v", ErrRevoked, cert.Subject.CommonName, cert.SerialNumber)
		}
		return nil
	}
	return ErrUnknownAuthority
}
