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
