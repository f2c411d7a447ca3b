package gossip

import (
	"bytes"
	"crypto/x509"
	"errors"
	"math/big"
	"net/netip"
	"testing"
	"time"

	"calicohill/internal/fleet/pki"
)

var (
	noon        = time.Date(2026, 11, 1, 12, 0, 0, 0, time.UTC)
	testAddr    = netip.MustParseAddrPort("127.0.0.1:7946")
	unknownAddr = netip.MustParseAddrPort("127.0.0.9:9")
)

// camp is an authority and what it takes to make guards of its fleet.
type testFleet struct {
	t         testing.TB
	authority *pki.Authority
}

func newTestFleet(t testing.TB) *testFleet {
	t.Helper()
	a, err := pki.NewAuthority("f", noon.Add(-time.Hour), 24*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return &testFleet{t, a}
}

func (c *testFleet) trust(lists ...*x509.RevocationList) *pki.Trust {
	t, err := pki.NewTrust("f", 5*time.Second, []*x509.Certificate{c.authority.Cert}, lists)
	if err != nil {
		c.t.Fatal(err)
	}
	return t
}

func (c *testFleet) member(name string) *pki.Member {
	m, err := c.authority.Issue(name, noon.Add(-time.Hour), 12*time.Hour)
	if err != nil {
		c.t.Fatal(err)
	}
	return m
}

func (c *testFleet) guard(name string, epoch int64) *Guard { return c.guardOf(c.member(name), epoch) }

func (c *testFleet) guardOf(m *pki.Member, epoch int64) *Guard {
	return NewGuard(GuardConfig{
		Fleet: "f", Own: m, Epoch: epoch, Trust: c.trust(), Secret: []byte(m.Name() + "secret"),
		Checks: 400, Skew: 5 * time.Second,
	})
}

func (c *testFleet) seal(g *Guard, to string, wall time.Time, m Message) []byte {
	c.t.Helper()
	b, err := g.Seal(to, 1, wall, &m)
	if err != nil {
		c.t.Fatal(err)
	}
	return b
}

// acquaint has two guards know each other, cookies included.
func (c *testFleet) acquaint(a, b *Guard) {
	c.t.Helper()
	for range 2 {
		for _, p := range [][2]*Guard{{a, b}, {b, a}} {
			d := c.seal(p[0], p[1].own.Name(), noon, Message{Kind: Ping, Nonce: 1})
			if _, err := p[1].Open(time.Hour, noon, testAddr, d); err != nil {
				c.t.Fatal(err)
			}
		}
	}
}

func TestOpen(t *testing.T) {
	c := newTestFleet(t)
	a, b := c.guard("a", 100), c.guard("b", 200)
	// A first message brings the certificate; from then on cookies are shown.
	first := c.seal(a, "", noon, Message{Kind: Ping, Nonce: 7})
	o, err := b.Open(time.Hour, noon, testAddr, first)
	if err != nil || o.From != "a" || o.Nonce != 7 || o.Trusted {
		t.Fatalf("first message: %+v, %v", o, err)
	}
	c.acquaint(a, b)
	known := c.seal(a, "b", noon, Message{Kind: Gossip})
	if o, err := b.Open(time.Hour, noon, testAddr, known); err != nil || !o.Trusted || len(o.Cert) > 0 {
		t.Fatalf("a known sender: %+v, %v", o, err)
	}
	stranger := newTestFleet(t).guard("a", 300)
	other, err := pki.NewAuthority("g", noon.Add(-time.Hour), time.Hour*9)
	if err != nil {
		t.Fatal(err)
	}
	wrongFleet, err := other.Issue("a", noon.Add(-time.Hour), time.Hour*5)
	if err != nil {
		t.Fatal(err)
	}
	expired, err := c.authority.Issue("x", noon.Add(-2*time.Hour), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	forged := c.guard("m", 400) // a member that speaks under another's name
	forged.own = &pki.Member{Cert: a.own.Cert, Key: forged.own.Key}
	flip := func(d []byte, i int) []byte {
		d = bytes.Clone(d)
		d[i] ^= 1
		return d
	}
	new1 := c.seal(a, "b", noon, Message{Kind: Gossip, Claims: []Claim{{Name: "z", State: Dead}}})
	for _, k := range []struct {
		name string
		d    []byte
		want error
	}{
		{"replayed", known, ErrReplayed},
		{"nothing", nil, ErrMalformed},
		{"junk", bytes.Repeat([]byte{0x5a}, 900), ErrMalformed},
		{"too long", append(bytes.Clone(new1), make([]byte, MaxDatagram)...), ErrMalformed},
		{"cut in the header", new1[:20], ErrMalformed},
		{"cut in the message", new1[:len(new1)-3], ErrMalformed},
		{"a bit of the message", flip(new1, len(new1)-1), ErrSignature},
		{"a bit of the number", flip(new1, 2+cookieBytes+8+4+6), ErrSignature},
		{"to another", c.seal(a, "c", noon, Message{Kind: Gossip}), ErrNotForUs},
		{"a name of another's key", c.seal(forged, "b", noon, Message{Kind: Gossip}), ErrSignature},
		{"another authority", c.seal(stranger, "b", noon, Message{Kind: Gossip}), pki.ErrUnknownAuthority},
		{"another fleet", c.seal(c.guardOf(wrongFleet, 500), "b", noon, Message{Kind: Gossip}), pki.ErrWrongFleet},
		{"expired", c.seal(c.guardOf(expired, 500), "b", noon, Message{Kind: Gossip}), pki.ErrExpired},
		{"sent long ago", c.seal(a, "b", noon.Add(-8*time.Second), Message{Kind: Gossip}), ErrClock},
		{"not yet sent", c.seal(a, "b", noon.Add(8*time.Second), Message{Kind: Gossip}), ErrClock},
		{"an earlier life", c.seal(c.guardOf(a.own, 99), "b", noon, Message{Kind: Gossip}), ErrReplayed},
		{"clocks 5 s apart", c.seal(a, "b", noon.Add(-5*time.Second), Message{Kind: Gossip}), nil},
		{"a later life", c.seal(c.guardOf(a.own, 101), "b", noon, Message{Kind: Gossip}), nil},
		{"what the later life ends", c.seal(a, "b", noon, Message{Kind: Gossip}), ErrReplayed},
	} {
		if _, err := b.Open(time.Hour, noon, testAddr, k.d); !errors.Is(err, k.want) {
			t.Errorf("%s: error %v, want %v", k.name, err, k.want)
		}
	}
}

// What was recorded before a restart is of no use after it: neither side's cookies hold any more.
func TestReplayAcrossRestart(t *testing.T) {
	c := newTestFleet(t)
	a, b := c.guard("a", 100), c.guard("b", 200)
	c.acquaint(a, b)
	old := c.seal(a, "b", noon, Message{Kind: Gossip, Claims: []Claim{{Name: "z", State: Dead}}})
	again := c.guardOf(b.own, 300)
	again.cookieSecret = []byte("another")
	if o, err := again.Open(time.Hour, noon, testAddr, old); err == nil && o.Trusted {
		t.Error("a message to an earlier life is trusted")
	}
	if _, err := again.Open(time.Hour, noon.Add(9*time.Second), testAddr, old); err == nil {
		t.Error("a message of an earlier life is read when it is old")
	}
}

// A flood buys no more checks than its budget, and a member that has shown a cookie is still read.
func TestFlood(t *testing.T) {
	c := newTestFleet(t)
	a, b := c.guard("a", 100), c.guard("b", 200)
	c.acquaint(a, b)
	d := c.guard("d", 300)
	c.acquaint(d, b)
	b.SetKnownAddresses([]netip.AddrPort{testAddr})
	fake := c.seal(a, "b", noon, Message{Kind: Gossip})
	for n, from := range []netip.AddrPort{unknownAddr, testAddr} {
		before, start := b.SignaturesChecked, time.Duration(n+2)*time.Hour
		for i := range 50000 { // 10 s of 5,000 a second
			d := bytes.Clone(fake)
			d[2] ^= byte(i)%255 + 1                  // no cookie
			d[len(d)-1] ^= 1                         // nor the signature
			d[2+cookieBytes+8+4+4] = byte(i>>16) + 1 // numbers never seen
			d[2+cookieBytes+8+4+5], d[2+cookieBytes+8+4+6] = byte(i>>8), byte(i)
			now := start + time.Duration(i)*200*time.Microsecond
			if _, err := b.Open(now, noon, from, d); err == nil {
				t.Fatal("a forged message was read")
			}
		}
		spent, part := b.SignaturesChecked-before, unknownCheckShare
		if from == testAddr {
			part = knownCheckShare
		}
		if most := uint64(part * 400 * 11); spent > most || spent == 0 {
			t.Errorf("from %v: %d signatures checked, at most %d are allowed", from, spent, most)
		}
		if _, err := b.Open(start+10*time.Second, noon, testAddr, c.seal(a, "b", noon, Message{Kind: Gossip})); err != nil {
			t.Errorf("a member is not read beside the flood: %v", err)
		}
	}
	// An insider that floods with its own cookie takes nothing from others.
	for range 3000 {
		_, _ = b.Open(9*time.Hour, noon, unknownAddr, c.seal(d, "b", noon, Message{Kind: Gossip}))
	}
	if _, err := b.Open(9*time.Hour, noon, testAddr, c.seal(a, "b", noon, Message{Kind: Gossip})); err != nil {
		t.Errorf("a member is not read beside another that floods: %v", err)
	}
}

// Records and statements count only with the signature of whom they are of, and two stories are noticed.
func TestSignedBySelf(t *testing.T) {
	c := newTestFleet(t)
	a, b, d := c.guard("a", 100), c.guard("b", 200), c.guard("d", 300)
	c.acquaint(a, b)
	c.acquaint(a, d)
	c.acquaint(d, b)
	own := Record{Name: "d", Addr: Addr{testAddr}, Epoch: 300, Incarnation: 4}
	lie := own
	d.SignRecord(&own)
	lie.Incarnation, lie.Sig = 9, own.Sig
	said := d.State(1, noon, []byte("one"))
	wrong := said
	wrong.Seq = 2
	o, err := b.Open(time.Hour, noon, testAddr, c.seal(a, "b", noon, Message{
		Kind: Gossip, Records: []Record{lie, own},
		Statements: []Statement{wrong, said},
	}))
	if err != nil || len(o.Records) != 1 || o.Records[0].Incarnation != 4 || len(o.Statements) != 1 || o.Statements[0].Seq != 1 {
		t.Fatalf("kept %+v, %v", o, err)
	}
	o, err = b.Open(time.Hour, noon, testAddr, c.seal(a, "b", noon, Message{Kind: Gossip, Records: []Record{own}, Statements: []Statement{said}}))
	if err != nil || len(o.Records)+len(o.Statements)+len(o.Equivocators) != 0 {
		t.Errorf("told again: %+v, %v", o, err)
	}
	o, err = b.Open(time.Hour, noon, testAddr, c.seal(a, "b", noon, Message{Kind: Gossip, Statements: []Statement{d.State(1, noon, []byte("two"))}}))
	if err != nil || len(o.Statements) != 0 || len(o.Equivocators) != 1 || o.Equivocators[0] != "d" {
		t.Errorf("two stories: %+v, %v", o, err)
	}
}

// A revoked key and an authority that is no longer named end a member; an overlap keeps it for a while.
func TestTrustChanges(t *testing.T) {
	c := newTestFleet(t)
	a, b := c.guard("a", 100), c.guard("b", 200)
	c.acquaint(a, b)
	list, err := c.authority.Revoke(nil, noon, a.own.Cert.SerialNumber)
	if err != nil {
		t.Fatal(err)
	}
	if list, err = c.authority.Revoke(list, noon, big.NewInt(5)); err != nil || len(list.RevokedCertificateEntries) != 2 {
		t.Fatalf("list %v, %v", list, err)
	}
	if gone := b.UpdateTrust(b.own, c.trust(list), noon); len(gone) != 1 || gone[0] != "a" {
		t.Errorf("gone %v, want a", gone)
	}
	if _, err := b.Open(time.Hour, noon, testAddr, c.seal(c.guardOf(a.own, 500), "b", noon, Message{Kind: Ping})); !errors.Is(err, pki.ErrRevoked) {
		t.Errorf("revoked: error %v", err)
	}

	next := newTestFleet(t)
	d := c.guard("d", 300)
	c.acquaint(d, b)
	trust := next.trust().After(b.trust, noon, time.Minute)
	if gone := b.UpdateTrust(b.own, trust, noon); len(gone) != 0 {
		t.Errorf("gone %v within the overlap", gone)
	}
	if _, err := b.Open(time.Hour, noon, testAddr, c.seal(d, "b", noon, Message{Kind: Ping})); err != nil {
		t.Errorf("within the overlap: %v", err)
	}
	late := noon.Add(2 * time.Minute)
	if _, err := b.Open(time.Hour, late, testAddr, c.seal(d, "b", late, Message{Kind: Ping})); !errors.Is(err, pki.ErrUnknownAuthority) {
		t.Errorf("after the overlap: error %v", err)
	}
	if _, err := b.Open(time.Hour, late, testAddr, c.seal(next.guard("e", 1), "b", late, Message{Kind: Ping})); err != nil {
		t.Errorf("of the new authority: %v", err)
	}
	if _, err := pki.NewTrust("f", 0, []*x509.Certificate{next.authority.Cert}, []*x509.RevocationList{list}); !errors.Is(err, pki.ErrUnknownAuthority) {
		t.Errorf("a list that no authority signed: error %v", err)
	}
}

// Every message that a Core may send fits a datagram, its certificate included.
func TestFits(t *testing.T) {
	c := newTestFleet(t)
	a := c.guard("a-scheduler-with-quite-a-long-name-1", 100)
	if n := len(a.Certificate()); n > maxCertBytes {
		t.Errorf("a certificate of %d bytes, at most %d are allowed", n, maxCertBytes)
	}
	m := Message{Kind: Ping, Statements: []Statement{a.State(1, noon, make([]byte, maxStatementBytes))}}
	b := c.seal(a, "", noon, m)
	if len(b) > MaxDatagram {
		t.Errorf("%d bytes", len(b))
	}
}

func FuzzOpen(f *testing.F) {
	c := newTestFleet(f)
	a, b := c.guard("a", 100), c.guard("b", 200)
	c.acquaint(a, b)
	f.Add(c.seal(a, "b", noon, Message{Kind: Gossip, Claims: []Claim{{Name: "z", State: Dead}}, Want: []string{"q"}}))
	f.Add(c.seal(a, "", noon, Message{Kind: Ping, Records: []Record{{Name: "a", Addr: Addr{testAddr}}}}))
	f.Add(bytes.Repeat([]byte{0x9f}, 700)) // deep nesting
	f.Fuzz(func(t *testing.T, d []byte) {
		if _, err := b.Open(time.Hour, noon, testAddr, d); err == nil && len(d) > MaxDatagram {
			t.Error("a datagram that is too long was read")
		}
		// The message alone too, past the signature.
		if m, err := decode(d); err == nil {
			if _, err := encode(m); err != nil {
				t.Errorf("what was read can't be written: %v", err)
			}
		}
	})
}
