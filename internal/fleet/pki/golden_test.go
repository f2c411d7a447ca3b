package pki_test

import (
	"bytes"
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"reflect"
	"strings"
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
	revokedFile       = "revoked.key" // of a member whose certificate is on the second revocation list
	firstListFile     = "first.crl"
	secondListFile    = "second.crl"
)

// The times of the golden files. The tests bring their own clock, so nothing expires with the calendar.
var (
	goldenNow     = time.Date(2026, 11, 1, 12, 0, 0, 0, time.UTC)
	goldenRevoked = goldenNow.Add(36 * time.Hour)
)

const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	memberValidity    = 90 * 24 * time.Hour
)

// goldenNumber is a serial number on both revocation lists.
var goldenNumber = big.NewInt(0x1234_5678_9abc)

// recordFiles makes an authority, two members and two revocation lists and writes them to the golden directory.
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
	first, err := authority.Revoke(nil, goldenNow, goldenNumber)
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

// writePrivate puts content in a new file of mode 0600, as key files need it: version control keeps no such mode.
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

// A golden key file is read, and what was read is written as the same bytes, with mode 0600. Under -record all golden
// files are made first, for the tests below too.
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
		t.Error("the authority's two files hold different certificates")
	}
}

// The golden authority is what it was made as, and a new one differs from it in key, number and signature only.
func TestGoldenAuthority(t *testing.T) {
	authority := readAuthority(t)
	if authority.Fleet() != goldenFleet {
		t.Errorf("fleet %q, want %q", authority.Fleet(), goldenFleet)
	}
	made, err := pki.NewAuthority(goldenFleet, goldenNow, authorityValidity)
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
	compareTemplates(t, made.Cert, cert)
	if len(made.Cert.Extensions) != len(cert.Extensions) {
		t.Fatalf("%d extensions, want %d", len(made.Cert.Extensions), len(cert.Extensions))
	}
	for i, got := range made.Cert.Extensions {
		want := cert.Extensions[i]
		if !got.Id.Equal(want.Id) || got.Critical != want.Critical || len(got.Value) != len(want.Value) {
			t.Errorf("extension %v, want %v", got, want)
		}
	}
}

// The golden member is what it was made as, and a new one of its name differs in key, number and signature only.
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
	made, err := authority.Issue(goldenMember, goldenNow, memberValidity)
	if err != nil {
		t.Fatal(err)
	}
	compareTemplates(t, made.Cert, cert)
	if !reflect.DeepEqual(made.Cert.Extensions, cert.Extensions) {
		t.Errorf("extensions %v, want %v", made.Cert.Extensions, cert.Extensions)
	}
}

// compareTemplates compares what is the same in all certificates of one subject, issuer and time.
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

// The golden revocation lists are read, and made again from the same keys and times as the same bytes.
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
		{firstListFile, first, 1, goldenNow, []*big.Int{goldenNumber}},
		{secondListFile, second, 2, goldenRevoked, []*big.Int{goldenNumber, revoked.SerialNumber}},
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
	madeFirst, err := authority.Revoke(nil, goldenNow, goldenNumber)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(madeFirst.Raw, first.Raw) {
		t.Errorf("first list made as %x, want %x", madeFirst.Raw, first.Raw)
	}
	madeSecond, err := authority.Revoke(first, goldenRevoked, revoked.SerialNumber)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(madeSecond.Raw, second.Raw) {
		t.Errorf("second list made as %x, want %x", madeSecond.Raw, second.Raw)
	}
}

// What trust in the golden authority and its second list says of certificates, and the error texts.
func TestGoldenVerify(t *testing.T) {
	authority := readAuthority(t)
	_, member := readKeyFile(t, memberFile)
	_, revoked := readKeyFile(t, revokedFile)
	lists := []*x509.RevocationList{readListFile(t, secondListFile)}
	trust, err := pki.NewTrust(goldenFleet, goldenSkew, []*x509.Certificate{authority.Cert}, lists)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := trust.Verify(member.Raw, goldenNow); err != nil {
		t.Errorf("a member: %v", err)
	}
	nobody := &pki.Trust{Fleet: goldenFleet}
	other := &pki.Trust{Fleet: "other"}
	forged := bytes.Clone(member.Raw)
	forged[len(forged)-1] ^= 1
	for _, tt := range []struct {
		name  string
		trust *pki.Trust
		der   []byte
		now   time.Time
		err   error
		want  string
	}{
		{
			"revoked", trust, revoked.Raw, goldenNow, pki.ErrRevoked,
			"the certificate was revoked: sched-2, number " + revoked.SerialNumber.String(),
		},
		{
			"expired", trust, member.Raw, goldenNow.Add(memberValidity + time.Minute), pki.ErrExpired,
			"the certificate is not valid now: it is valid from 2026-11-01 12:00:00 +0000 UTC to 2027-01-30 12:00:00 +0000 UTC",
		},
		{
			"early", trust, member.Raw, goldenNow.Add(-time.Minute), pki.ErrExpired,
			"the certificate is not valid now: it is valid from 2026-11-01 12:00:00 +0000 UTC to 2027-01-30 12:00:00 +0000 UTC",
		},
		{"no authority", nobody, member.Raw, goldenNow, pki.ErrUnknownAuthority, "no authority of the fleet signed the certificate"},
		{"forged", trust, forged, goldenNow, pki.ErrUnknownAuthority, "no authority of the fleet signed the certificate"},
		{"other fleet", other, member.Raw, goldenNow, pki.ErrWrongFleet, `the certificate is of another fleet: "gt-registros"`},
		{"an authority", trust, authority.Cert.Raw, goldenNow, pki.ErrNotAMember, "not the certificate of a member"},
		{
			"no certificate", trust, member.Raw[:20], goldenNow, pki.ErrNotAMember,
			"not the certificate of a member: x509: malformed certificate",
		},
	} {
		if _, err := tt.trust.Verify(tt.der, tt.now); err == nil || err.Error() != tt.want || !errors.Is(err, tt.err) {
			t.Errorf("%s: error %v, want %s", tt.name, err, tt.want)
		}
	}
	_, err = pki.NewTrust("other", goldenSkew, []*x509.Certificate{authority.Cert}, nil)
	if want := `authority: the certificate is of another fleet: "gt-registros", not "other", or no authority`; err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
	_, err = pki.NewTrust(goldenFleet, goldenSkew, nil, lists)
	if want := "list of revoked certificates: no authority of the fleet signed the certificate"; err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
}

// A brokenFile is a file that can't be read, and the error text behind its path.
type brokenFile struct {
	name    string
	read    func(path string) error
	content []byte
	want    string
}

// brokenFiles are files that miss a block, or hold a broken one.
func brokenFiles(t *testing.T) []brokenFile {
	t.Helper()
	member, other := golden.Read(t, memberFile), golden.Read(t, revokedFile)
	keyBlock, rest := pem.Decode(member)
	certBlock, _ := pem.Decode(rest)
	otherKey, _ := pem.Decode(other)
	broken := func(kind string) []byte { return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: []byte{1, 2, 3}}) }
	readCert := func(path string) error { _, err := pki.ReadCertificateFile(path); return err }
	readList := func(path string) error { _, err := pki.ReadRevocationListFile(path, true); return err }
	return []brokenFile{
		{"key without certificate", readKey, pem.EncodeToMemory(keyBlock), "a key and its certificate are needed"},
		{"certificate without key", readKey, pem.EncodeToMemory(certBlock), "a key and its certificate are needed"},
		{"cut off", readKey, member[:40], "a key and its certificate are needed"},
		{
			"another's key", readKey, append(pem.EncodeToMemory(otherKey), pem.EncodeToMemory(certBlock)...),
			"the certificate is not that of the key",
		},
		{"broken key", readKey, broken("PRIVATE KEY"), "asn1: structure error: "},
		{"broken certificate", readKey, broken("CERTIFICATE"), "x509: malformed certificate"},
		{"too large", readKey, make([]byte, 1<<20+1), "not a file of up to 1048576 bytes"},
		{"no certificate", readCert, golden.Read(t, firstListFile), "no certificate in it"},
		{"broken certificate alone", readCert, broken("CERTIFICATE"), "x509: malformed certificate"},
		{"no list", readList, member, "not a list of revoked certificates"},
		{"empty list", readList, nil, "not a list of revoked certificates"},
		{"broken list", readList, broken("X509 CRL"), "x509: malformed crl"},
	}
}

func readKey(path string) error {
	_, _, err := pki.ReadKeyFile(path)
	return err
}

// The error texts of broken files, behind the file's path.
func TestGoldenFileErrors(t *testing.T) {
	for _, tt := range brokenFiles(t) {
		path := writePrivate(t, tt.content)
		err := tt.read(path)
		if err == nil {
			t.Errorf("%s: read, want an error", tt.name)
			continue
		}
		// Behind a text that ends so, the standard library says more, which may change with its version.
		exact := !strings.HasSuffix(tt.want, ": ")
		if want := path + ": " + tt.want; !strings.HasPrefix(err.Error(), want) || exact && err.Error() != want {
			t.Errorf("%s: error %v, want %s", tt.name, err, want)
		}
	}
	path := writePrivate(t, golden.Read(t, memberFile))
	if err := os.Chmod(path, 0o644); err != nil {
		t.Fatal(err)
	}
	if want := path + ": mode 0644 lets others at the key: 0600 is needed"; readKey(path) == nil || readKey(path).Error() != want {
		t.Errorf("error %v, want %s", readKey(path), want)
	}
	if list, err := pki.ReadRevocationListFile(filepath.Join(t.TempDir(), "none"), true); list != nil || err != nil {
		t.Errorf("a missing list that may be: %v, %v", list, err)
	}
	key, cert := readKeyFile(t, memberFile)
	if err := pki.WriteKeyFile(path, key, cert); !errors.Is(err, os.ErrExist) {
		t.Errorf("writing over a file: %v", err)
	}
	if _, err := pki.NewAuthority("a b", goldenNow, time.Hour); err == nil ||
		err.Error() != `fleet "a b": letters, digits, '-', '_' and '.' are allowed, 64 at most` {
		t.Errorf("error %v", err)
	}
	if _, err := readAuthority(t).Issue("", goldenNow, time.Hour); err == nil ||
		err.Error() != `name "": letters, digits, '-', '_' and '.' are allowed, 64 at most` {
		t.Errorf("error %v", err)
	}
}
