package gossip

import (
	"crypto/x509"
	"testing"
	"time"

	"calicohill/internal/fleet/pki"
)

// testFleet is the authority of a fleet. It creates Guards for members.
type testFleet struct {
	tb        testing.TB
	authority *pki.Authority
}

func newTestFleet(tb testing.TB) *testFleet {
	tb.Helper()
	authority, err := pki.NewAuthority("f", noon.Add(-time.Hour), 24*time.Hour)
	if err != nil {
		tb.Fatal(err)
	}
	return &testFleet{tb, authority}
}

func (f *testFleet) trust(lists ...*x509.RevocationList) *pki.Trust {
	t, err := pki.NewTrust("f", 5*time.Second, []*x509.Certificate{f.authority.Cert}, lists)
	if err != nil {
		f.tb.Fatal(err)
	}
	return t
}

func (f *testFleet) member(name string) *pki.Member {
	m, err := f.authority.Issue(name, noon.Add(-time.Hour), 12*time.Hour)
	if err != nil {
		f.tb.Fatal(err)
	}
	return m
}

func (f *testFleet) guard(name string, epoch int64) *Guard { return f.guardFor(f.member(name), epoch) }

func (f *testFleet) guardFor(m *pki.Member, epoch int64) *Guard {
	return NewGuard(GuardConfig{
		Fleet: "f", Own: m, Epoch: epoch, Trust: f.trust(), Secret: []byte(m.Name() + "secret"),
		MaxChecksPerSecond: 400, MaxClockSkew: 5 * time.Second,
	})
}

func (f *testFleet) seal(g *Guard, to string, wall time.Time, m Message) []byte {
	f.tb.Helper()
	b, err := g.Seal(to, 1, wall, &m)
	if err != nil {
		f.tb.Fatal(err)
	}
	return b
}

// exchangeCookies lets two guards exchange certificates and cookies.
func (f *testFleet) exchangeCookies(a, b *Guard) {
	f.tb.Helper()
	for range 2 {
		for _, p := range [][2]*Guard{{a, b}, {b, a}} {
			d := f.seal(p[0], p[1].own.Name(), noon, Message{Kind: Ping, Nonce: 1})
			if _, err := p[1].Open(time.Hour, noon, testAddr, d); err != nil {
				f.tb.Fatal(err)
			}
		}
	}
}

// newOtherFleetMember returns a member of the fleet g.
func newOtherFleetMember(t *testing.T, name string) *pki.Member {
	t.Helper()
	authority, err := pki.NewAuthority("g", noon.Add(-time.Hour), time.Hour*9)
	if err != nil {
		t.Fatal(err)
	}
	m, err := authority.Issue(name, noon.Add(-time.Hour), time.Hour*5)
	if err != nil {
		t.Fatal(err)
	}
	return m
}
