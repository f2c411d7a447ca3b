package pki_test

import (
	"bytes"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"calicohill/internal/fleet/pki"
	"calicohill/internal/testbed/golden"
)

// Certificates must be accepted or rejected with these errors by a Trust in the golden authority and its second list.
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
	emptyTrust := &pki.Trust{Fleet: goldenFleet}
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
		{"no authority", emptyTrust, member.Raw, goldenNow, pki.ErrUnknownAuthority, "no authority of the fleet signed the certificate"},
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
	if want := `authority: the certificate is of another fleet: "gt-registros", not "other", or not an authority`; err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
	_, err = pki.NewTrust(goldenFleet, goldenSkew, nil, lists)
	if want := "list of revoked certificates: no authority of the fleet signed the certificate"; err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
}

// brokenFile is an invalid file with the error text that is expected after its path.
type brokenFile struct {
	name    string
	read    func(path string) error
	content []byte
	want    string
}

// brokenFiles returns files that lack a block, contain an invalid one or are too large.
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
		{"key without certificate", readKey, pem.EncodeToMemory(keyBlock), "must contain a private key and its certificate"},
		{"certificate without key", readKey, pem.EncodeToMemory(certBlock), "must contain a private key and its certificate"},
		{"cut off", readKey, member[:40], "must contain a private key and its certificate"},
		{
			"another's key", readKey, append(pem.EncodeToMemory(otherKey), pem.EncodeToMemory(certBlock)...),
			"the certificate does not match the private key",
		},
		{"broken key", readKey, broken("PRIVATE KEY"), "asn1: structure error: "},
		{"broken certificate", readKey, broken("CERTIFICATE"), "x509: malformed certificate"},
		{"too large", readKey, make([]byte, 1<<20+1), "not a regular file of at most 1048576 bytes"},
		{"no certificate", readCert, golden.Read(t, firstListFile), "no certificate found"},
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

// Invalid files must be rejected with these error texts, and existing key files must not be overwritten.
func TestGoldenFileErrors(t *testing.T) {
	for _, tt := range brokenFiles(t) {
		path := writePrivate(t, tt.content)
		err := tt.read(path)
		if err == nil {
			t.Errorf("%s: read, want an error", tt.name)
			continue
		}
		// The rest of the error comes from the standard library and may change with its version.
		exact := !strings.HasSuffix(tt.want, ": ")
		if want := path + ": " + tt.want; !strings.HasPrefix(err.Error(), want) || exact && err.Error() != want {
			t.Errorf("%s: error %v, want %s", tt.name, err, want)
		}
	}
	path := writePrivate(t, golden.Read(t, memberFile))
	if err := os.Chmod(path, 0o644); err != nil {
		t.Fatal(err)
	}
	if want := path + ": mode 0644 gives other users access to the key: 0600 is needed"; readKey(path) == nil || readKey(path).Error() != want {
		t.Errorf("error %v, want %s", readKey(path), want)
	}
	if list, err := pki.ReadRevocationListFile(filepath.Join(t.TempDir(), "none"), true); list != nil || err != nil {
		t.Errorf("reading a missing optional list: %v, %v", list, err)
	}
	key, cert := readKeyFile(t, memberFile)
	if err := pki.WriteKeyFile(path, key, cert); !errors.Is(err, os.ErrExist) {
		t.Errorf("writing to an existing file: %v", err)
	}
	if _, err := pki.NewAuthority("a b", goldenNow, time.Hour); err == nil ||
		err.Error() != `invalid fleet name "a b": must be 1 to 64 letters, digits, '-', '_' or '.'` {
		t.Errorf("error %v", err)
	}
	if _, err := readAuthority(t).Issue("", goldenNow, time.Hour); err == nil ||
		err.Error() != `invalid member name "": must be 1 to 64 letters, digits, '-', '_' or '.'` {
		t.Errorf("error %v", err)
	}
}
