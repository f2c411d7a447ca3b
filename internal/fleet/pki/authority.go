// Package pki implements the public-key infrastructure of a fleet of schedulers. A certificate authority signs a
// certificate for each member (X.509 with Ed25519 keys, RFC 5280 and RFC 8410) and a list of revoked certificates. The
// organization of a certificate is the name of the fleet, and the common name is the name of the member.
//
// Only the functions that read and write files do I/O. The package reads no clock: the caller passes the time.
package pki

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"slices"
	"time"
)

// MaxNameBytes is the maximum length of the name of a member or a fleet.
const MaxNameBytes = 64

const (
	serialNumberBits = 63

	// Revocation lists are issued manually. Each must remain valid until the next one is issued.
	revocationListYears = 100
)

// ValidName reports whether name is a valid name for a member or a fleet: 1 to MaxNameBytes letters, digits, '-', '_'
// and '.'.
func ValidName(name string) bool {
	for _, c := range []byte(name) {
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		isDigit := c >= '0' && c <= '9'
		if !isLetter && !isDigit && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return name != "" && len(name) <= MaxNameBytes
}

// Authority is the certificate authority of a fleet.
type Authority struct {
	Cert *x509.Certificate // self-signed
	Key  ed25519.PrivateKey
}

// Member is the certificate and private key of a member.
type Member struct {
	Cert *x509.Certificate
	Key  ed25519.PrivateKey
}

// Name returns the name of the member.
func (m *Member) Name() string { return m.Cert.Subject.CommonName }

// NewAuthority generates a key and a self-signed certificate for the authority of a fleet. The certificate is valid
// from now for the given duration. ValidName must accept the name of the fleet.
func NewAuthority(fleet string, now time.Time, validity time.Duration) (*Authority, error) {
	if !ValidName(fleet) {
		return nil, fmt.Errorf("invalid fleet name %q: must be 1 to %d letters, digits, '-', '_' or '.'", fleet, MaxNameBytes)
	}
	template := &x509.Certificate{
		Subject:               pkix.Name{Organization: []string{fleet}},
		NotBefore:             now,
		NotAfter:              now.Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	cert, key, err := newCertificate(template, nil)
	if err != nil {
		return nil, err
	}
	return &Authority{Cert: cert, Key: key}, nil
}

// Fleet returns the name of the fleet of the authority.
func (a *Authority) Fleet() string { return fleetOf(a.Cert) }

// Issue generates a key and a certificate for a member. The certificate is valid from now for the given duration.
// ValidName must accept the name of the member.
func (a *Authority) Issue(name string, now time.Time, validity time.Duration) (*Member, error) {
	if !ValidName(name) {
		return nil, fmt.Errorf("invalid member name %q: must be 1 to %d letters, digits, '-', '_' or '.'", name, MaxNameBytes)
	}
	template := &x509.Certificate{
		Subject:   pkix.Name{Organization: []string{a.Fleet()}, CommonName: name},
		NotBefore: now,
		NotAfter:  now.Add(validity),
		KeyUsage:  x509.KeyUsageDigitalSignature,
	}
	cert, key, err := newCertificate(template, a)
	if err != nil {
		return nil, err
	}
	return &Member{Cert: cert, Key: key}, nil
}

// Revoke returns a new revocation list with the entries of the previous list, which may be nil, and the given serial
// numbers.
func (a *Authority) Revoke(previous *x509.RevocationList, now time.Time, serials ...*big.Int) (*x509.RevocationList, error) {
	list := &x509.RevocationList{
		Number:     big.NewInt(1),
		ThisUpdate: now,
		NextUpdate: now.AddDate(revocationListYears, 0, 0),
	}
	if previous != nil {
		list.RevokedCertificateEntries = slices.Clone(previous.RevokedCertificateEntries)
		list.Number = new(big.Int).Add(previous.Number, big.NewInt(1))
	}
	for _, number := range serials {
		entry := x509.RevocationListEntry{SerialNumber: number, RevocationTime: now}
		list.RevokedCertificateEntries = append(list.RevokedCertificateEntries, entry)
	}
	der, err := x509.CreateRevocationList(rand.Reader, list, a.Cert, a.Key)
	if err != nil {
		return nil, fmt.Errorf("list of revoked certificates: %w", err)
	}
	return x509.ParseRevocationList(der)
}

// newCertificate generates a key and a certificate for it from a template, with a random serial number. The issuer
// signs the certificate. If issuer is nil, the certificate is self-signed.
func newCertificate(template *x509.Certificate, issuer *Authority) (*x509.Certificate, ed25519.PrivateKey, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	limit := new(big.Int).Lsh(big.NewInt(1), serialNumberBits)
	template.SerialNumber, err = rand.Int(rand.Reader, limit)
	if err != nil {
		return nil, nil, err
	}
	if issuer == nil {
		issuer = &Authority{Cert: template, Key: private}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, issuer.Cert, public, issuer.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("certificate: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, nil, err
	}
	return cert, private, nil
}

// fleetOf returns the fleet of a certificate, or an empty string unless the certificate names exactly one.
func fleetOf(cert *x509.Certificate) string {
	if len(cert.Subject.Organization) != 1 {
		return ""
	}
	return cert.Subject.Organization[0]
}
