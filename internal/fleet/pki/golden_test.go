package pki_test

import (
	"bytes"
	"crypto/ed25519"
	"crypto/x509"
	"math/big"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"calicohill/internal/fleet/pki"
	"calicohill/internal/testbed/golden"
)

const (
	goldenFleet  = "gt-registros"
	goldenMember = "sched-1"
	goldenSkew   = 5 * time.Second

	authorityKeyFile  = "authority.key"
	authorityCertFile = "authority.crt"
	memberFile        = "member.key"
	revokedFile       = "revoked.key" // key of a member whose certificate is on the second revocation list
	firstListFile     = "first.crl"
	secondListFile    = "second.crl"
)

// Times in the golden files. The tests pass these times explicitly, so the certificates do not expire in real time.
var (
	goldenNow     = time.Date(2026, 11, 1, 12, 0, 0, 0, time.UTC)
	goldenRevoked = goldenNow.Add(36 * time.Hour)
)

const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	memberValidity    = 90 * 24 * time.Hour
)

// goldenSerial is a serial number on both revocation lists.
var goldenSerial = big.NewInt(0x1234_5678_9abc)

// recordFiles creates an authority, two members and two revocation lists and writes them to the golden directory.
func recordFiles(t *testing.T) {
	t.Helper()
	if err := os.MkdirAll(golden.Path(""), 0o755); err != nil {
		t.Fatal(err)
	}
	authority, err := pki.NewAuthority(goldenFleet, goldenNow, authorityValidity)
	if err != nil {
		t.Fatal(err)
	}
	if err := pki.WriteKeyFile(golden.Path(authorityKeyFile), authority.Key, authority.Cert); err != nil {
		t.Fatal(err)
	}
	golden.Record(t, authorityCertFile, pki.EncodeCertificate(authority.Cert))
	for file, name := range map[string]string{memberFile: goldenMember, revokedFile: "sched-2"} {
		member, err := authority.Issue(name, goldenNow, memberValidity)
		if err != nil {
			t.Fatal(err)
		}
		if err := pki.WriteKeyFile(golden.Path(file), member.Key, member.Cert); err != nil {
			t.Fatal(err)
		}
	}
	first, err := authority.Revoke(nil, goldenNow, goldenSerial)
	if err != nil {
		t.Fatal(err)
	}
	golden.Record(t, firstListFile, pki.EncodeRevocationList(first))
	_, revoked := readKeyFile(t, revokedFile)
	second, err := authority.Revoke(first, goldenRevoked, revoked.SerialNumber)
	if err != nil {
		t.Fatal(err)
	}
	golden.Record(t, secondListFile, pki.EncodeRevocationList(second))
}

// writePrivate writes content to a new file with mode 0600, which key files require. Version control does not preserve
// this mode.
func writePrivate(t *testing.T, content []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func readKeyFile(t *testing.T, name string) (ed25519.PrivateKey, *x509.Certificate) {
	t.Helper()
	key, cert, err := pki.ReadKeyFile(writePrivate(t, golden.Read(t, name)))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return key, cert
}

func readAuthority(t *testing.T) *pki.Authority {
	t.Helper()
	key, cert := readKeyFile(t, authorityKeyFile)
	return &pki.Authority{Cert: cert, Key: key}
}

func readListFile(t *testing.T, name string) *x509.RevocationList {
	t.Helper()
	list, err := pki.ReadRevocationListFile(golden.Path(name), false)
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// The format of key files must not change: reading a golden key file and writing it again gives the same bytes, with
// mode 0600. With -record, this test first creates the golden files of all tests in this file.
func TestGoldenKeyFiles(t *testing.T) {
	if golden.Recording() {
		recordFiles(t)
	}
	for _, name := range []string{authorityKeyFile, memberFile, revokedFile} {
		key, cert := readKeyFile(t, name)
		path := filepath.Join(t.TempDir(), name)
		if err := pki.WriteKeyFile(path, key, cert); err != nil {
			t.Fatal(err)
		}
		got, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if want := golden.Read(t, name); !bytes.Equal(got, want) {
			t.Errorf("%s: written as\n%s\nwant\n%s", name, got, want)
		}
		info, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		if info.Mode() != 0o600 {
			t.Errorf("%s: mode %v, want 0600", name, info.Mode())
		}
	}
	cert, err := pki.ReadCertificateFile(golden.Path(authorityCertFile))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := pki.EncodeCertificate(cert), golden.Read(t, authorityCertFile); !bytes.Equal(got, want) {
		t.Errorf("certificate written as\n%s\nwant\n%s", got, want)
	}
	if !cert.Equal(readAuthority(t).Cert) {
		t.Error("the key file and the certificate file of the authority contain different certificates")
	}
}

// The certificate of an authority must not change: a new one differs from the golden one only in its key, serial number
// and signature.
func TestGoldenAuthority(t *testing.T) {
	authority := readAuthority(t)
	if authority.Fleet() != goldenFleet {
		t.Errorf("fleet %q, want %q", authority.Fleet(), goldenFleet)
	}
	created, err := pki.NewAuthority(goldenFleet, goldenNow, authorityValidity)
	if err != nil {
		t.Fatal(err)
	}
	cert := authority.Cert
	if !cert.IsCA || cert.KeyUsage != x509.KeyUsageCertSign|x509.KeyUsageCRLSign || cert.MaxPathLen != 0 || !cert.MaxPathLenZero {
		t.Errorf("authority %t, usage %b, path length %d, %t", cert.IsCA, cert.KeyUsage, cert.MaxPathLen, cert.MaxPathLenZero)
	}
	if !cert.NotBefore.Equal(goldenNow) || !cert.NotAfter.Equal(goldenNow.Add(authorityValidity)) {
		t.Errorf("valid from %v to %v", cert.NotBefore, cert.NotAfter)
	}
	compareTemplates(t, created.Cert, cert)
	if len(created.Cert.Extensions) != len(cert.Extensions) {
		t.Fatalf("%d extensions, want %d", len(created.Cert.Extensions), len(cert.Extensions))
	}
	for i, got := range created.Cert.Extensions {
		want := cert.Extensions[i]
		if !got.Id.Equal(want.Id) || got.Critical != want.Critical || len(got.Value) != len(want.Value) {
			t.Errorf("extension %v, want %v", got, want)
		}
	}
}

// The certificate of a member must not change: a new one differs from the golden one only in its key, serial number and
// signature.
func TestGoldenMember(t *testing.T) {
	authority := readAuthority(t)
	key, cert := readKeyFile(t, memberFile)
	member := &pki.Member{Cert: cert, Key: key}
	if member.Name() != goldenMember {
		t.Errorf("name %q, want %q", member.Name(), goldenMember)
	}
	if cert.IsCA || cert.KeyUsage != x509.KeyUsageDigitalSignature {
		t.Errorf("authority %t, usage %b", cert.IsCA, cert.KeyUsage)
	}
	if !cert.NotBefore.Equal(goldenNow) || !cert.NotAfter.Equal(goldenNow.Add(memberValidity)) {
		t.Errorf("valid from %v to %v", cert.NotBefore, cert.NotAfter)
	}
	created, err := authority.Issue(goldenMember, goldenNow, memberValidity)
	if err != nil {
		t.Fatal(err)
	}
	compareTemplates(t, created.Cert, cert)
	if !reflect.DeepEqual(created.Cert.Extensions, cert.Extensions) {
		t.Errorf("extensions %v, want %v", created.Cert.Extensions, cert.Extensions)
	}
}

// compareTemplates compares the fields that all certificates with the same subject, issuer and validity have in common.
func compareTemplates(t *testing.T, got, want *x509.Certificate) {
	t.Helper()
	if !bytes.Equal(got.RawSubject, want.RawSubject) || !bytes.Equal(got.RawIssuer, want.RawIssuer) {
		t.Errorf("subject %x of issuer %x, want %x of %x", got.RawSubject, got.RawIssuer, want.RawSubject, want.RawIssuer)
	}
	if got.Version != want.Version || got.SignatureAlgorithm != want.SignatureAlgorithm || got.KeyUsage != want.KeyUsage ||
		!got.NotBefore.Equal(want.NotBefore) || !got.NotAfter.Equal(want.NotAfter) {
		t.Errorf("certificate %+v, want %+v", got, want)
	}
}

// The encoding of revocation lists must not change: the golden lists are read, and creating them again from the same
// keys and times gives the same bytes.
func TestGoldenRevocationLists(t *testing.T) {
	authority := readAuthority(t)
	_, revoked := readKeyFile(t, revokedFile)
	first, second := readListFile(t, firstListFile), readListFile(t, secondListFile)
	for _, tt := range []struct {
		name    string
		list    *x509.RevocationList
		number  int64
		at      time.Time
		entries []*big.Int
	}{
		{firstListFile, first, 1, goldenNow, []*big.Int{goldenSerial}},
		{secondListFile, second, 2, goldenRevoked, []*big.Int{goldenSerial, revoked.SerialNumber}},
	} {
		if tt.list.Number.Cmp(big.NewInt(tt.number)) != 0 || !tt.list.ThisUpdate.Equal(tt.at) ||
			!tt.list.NextUpdate.Equal(tt.at.AddDate(100, 0, 0)) {
			t.Errorf("%s: number %v of %v until %v", tt.name, tt.list.Number, tt.list.ThisUpdate, tt.list.NextUpdate)
		}
		var entries []*big.Int
		for _, e := range tt.list.RevokedCertificateEntries {
			entries = append(entries, e.SerialNumber)
		}
		if !reflect.DeepEqual(entries, tt.entries) {
			t.Errorf("%s: entries %v, want %v", tt.name, entries, tt.entries)
		}
		if got, want := pki.EncodeRevocationList(tt.list), golden.Read(t, tt.name); !bytes.Equal(got, want) {
			t.Errorf("%s: written as\n%s\nwant\n%s", tt.name, got, want)
		}
	}
	createdFirst, err := authority.Revoke(nil, goldenNow, goldenSerial)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(createdFirst.Raw, first.Raw) {
		t.Errorf("first list created as %x, want %x", createdFirst.Raw, first.Raw)
	}
	createdSecond, err := authority.Revoke(first, goldenRevoked, revoked.SerialNumber)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(createdSecond.Raw, second.Raw) {
		t.Errorf("second list created as %x, want %x", createdSecond.Raw, second.Raw)
	}
}
