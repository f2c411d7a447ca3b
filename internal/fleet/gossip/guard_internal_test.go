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

// seqOffset is the offset of the sequence number in a datagram.
const seqOffset = versionBytes + cookieBytes + epochBytes + incarnationBytes

// TestOpen guards against accepting datagrams that are replayed, malformed, forged, misaddressed or outside the clock
// skew, and against rejecting valid ones.
func TestOpen(t *testing.T) {
	fleet := newTestFleet(t)
	sender, receiver := fleet.guard("a", 100), fleet.guard("b", 200)
	// The first message carries the certificate; later ones contain a cookie instead.
	first := fleet.seal(sender, "", noon, Message{Kind: Ping, Nonce: 7})
	opened, err := receiver.Open(time.Hour, noon, testAddr, first)
	if err != nil || opened.From != "a" || opened.Nonce != 7 || opened.Trusted {
		t.Fatalf("first message: %+v, %v", opened, err)
	}
	fleet.exchangeCookies(sender, receiver)
	known := fleet.seal(sender, "b", noon, Message{Kind: Gossip})
	if opened, err := receiver.Open(time.Hour, noon, testAddr, known); err != nil || !opened.Trusted || len(opened.Cert) > 0 {
		t.Fatalf("a known sender: %+v, %v", opened, err)
	}
	otherAuthority := newTestFleet(t).guard("a", 300)
	wrongFleet := newOtherFleetMember(t, "a")
	expired, err := fleet.authority.Issue("x", noon.Add(-2*time.Hour), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	forged := fleet.guard("m", 400) // a member that uses another member's certificate
	forged.own = &pki.Member{Cert: sender.own.Cert, Key: forged.own.Key}
	flip := func(d []byte, i int) []byte {
		d = bytes.Clone(d)
		d[i] ^= 1
		return d
	}
	fresh := fleet.seal(sender, "b", noon, Message{Kind: Gossip, Claims: []Claim{{Name: "z", State: Dead}}})
	for _, tt := range []struct {
		name     string
		datagram []byte
		want     error
	}{
		{"replayed", known, ErrReplayed},
		{"empty", nil, ErrMalformed},
		{"random bytes", bytes.Repeat([]byte{0x5a}, 900), ErrMalformed},
		{"too long", append(bytes.Clone(fresh), make([]byte, MaxDatagram)...), ErrMalformed},
		{"truncated header", fresh[:20], ErrMalformed},
		{"truncated message", fresh[:len(fresh)-3], ErrMalformed},
		{"bit flip in the message", flip(fresh, len(fresh)-1), ErrSignature},
		{"bit flip in the sequence number", flip(fresh, seqOffset+6), ErrSignature},
		{"wrong receiver", fleet.seal(sender, "c", noon, Message{Kind: Gossip}), ErrWrongReceiver},
		{"certificate of another key", fleet.seal(forged, "b", noon, Message{Kind: Gossip}), ErrSignature},
		{"another authority", fleet.seal(otherAuthority, "b", noon, Message{Kind: Gossip}), pki.ErrUnknownAuthority},
		{"another fleet", fleet.seal(fleet.guardFor(wrongFleet, 500), "b", noon, Message{Kind: Gossip}), pki.ErrWrongFleet},
		{"expired", fleet.seal(fleet.guardFor(expired, 500), "b", noon, Message{Kind: Gossip}), pki.ErrExpired},
		{"sent too long ago", fleet.seal(sender, "b", noon.Add(-8*time.Second), Message{Kind: Gossip}), ErrClockSkew},
		{"sent in the future", fleet.seal(sender, "b", noon.Add(8*time.Second), Message{Kind: Gossip}), ErrClockSkew},
		{"earlier epoch", fleet.seal(fleet.guardFor(sender.own, 99), "b", noon, Message{Kind: Gossip}), ErrReplayed},
		{"clocks 5 s apart", fleet.seal(sender, "b", noon.Add(-5*time.Second), Message{Kind: Gossip}), nil},
		{"later epoch", fleet.seal(fleet.guardFor(sender.own, 101), "b", noon, Message{Kind: Gossip}), nil},
		{"epoch superseded by a later one", fleet.seal(sender, "b", noon, Message{Kind: Gossip}), ErrReplayed},
	} {
		if _, err := receiver.Open(time.Hour, noon, testAddr, tt.datagram); !errors.Is(err, tt.want) {
			t.Errorf("%s: error %v, want %v", tt.name, err, tt.want)
		}
	}
}

// TestReplayAcrossRestart guards against replays after a restart. The receiver has lost its sequence numbers then, so
// only the invalid cookie identifies a datagram recorded before the restart.
func TestReplayAcrossRestart(t *testing.T) {
	fleet := newTestFleet(t)
	sender, receiver := fleet.guard("a", 100), fleet.guard("b", 200)
	fleet.exchangeCookies(sender, receiver)
	old := fleet.seal(sender, "b", noon, Message{Kind: Gossip, Claims: []Claim{{Name: "z", State: Dead}}})
	restarted := fleet.guardFor(receiver.own, 300)
	restarted.cookieSecret = []byte("another")
	if o, err := restarted.Open(time.Hour, noon, testAddr, old); err == nil && o.Trusted {
		t.Error("a message to an earlier epoch was trusted")
	}
	if _, err := restarted.Open(time.Hour, noon.Add(9*time.Second), testAddr, old); err == nil {
		t.Error("an old message to an earlier epoch was opened")
	}
}

// TestFloodStaysWithinCheckBudget guards against a flood of forged datagrams that uses up the CPU or blocks other
// members. The flood may use only its own budget of signature checks, and datagrams with a valid cookie must still be
// opened.
func TestFloodStaysWithinCheckBudget(t *testing.T) {
	fleet := newTestFleet(t)
	sender, receiver := fleet.guard("a", 100), fleet.guard("b", 200)
	fleet.exchangeCookies(sender, receiver)
	flooding := fleet.guard("d", 300)
	fleet.exchangeCookies(flooding, receiver)
	receiver.SetKnownAddresses([]netip.AddrPort{testAddr})
	template := fleet.seal(sender, "b", noon, Message{Kind: Gossip})
	for n, from := range []netip.AddrPort{unknownAddr, testAddr} {
		before, start := receiver.SignaturesChecked, time.Duration(n+2)*time.Hour
		for i := range 50000 { // 5,000 per second for 10 s
			forged := bytes.Clone(template)
			forged[versionBytes] ^= byte(i)%255 + 1 // invalid cookie
			forged[len(forged)-1] ^= 1              // invalid signature
			forged[seqOffset+4] = byte(i>>16) + 1   // fresh sequence numbers
			forged[seqOffset+5], forged[seqOffset+6] = byte(i>>8), byte(i)
			now := start + time.Duration(i)*200*time.Microsecond
			if _, err := receiver.Open(now, noon, from, forged); err == nil {
				t.Fatal("a forged message was opened")
			}
		}
		spent, fraction := receiver.SignaturesChecked-before, unknownCheckFraction
		if from == testAddr {
			fraction = knownCheckFraction
		}
		if maxChecks := uint64(fraction * 400 * 11); spent > maxChecks || spent == 0 {
			t.Errorf("from %v: %d signatures checked, at most %d are allowed", from, spent, maxChecks)
		}
		if _, err := receiver.Open(start+10*time.Second, noon, testAddr, fleet.seal(sender, "b", noon, Message{Kind: Gossip})); err != nil {
			t.Errorf("a member was rejected during the flood: %v", err)
		}
	}
	// A member that floods with a valid cookie does not use up the budget of others.
	for range 3000 {
		_, _ = receiver.Open(9*time.Hour, noon, unknownAddr, fleet.seal(flooding, "b", noon, Message{Kind: Gossip}))
	}
	if _, err := receiver.Open(9*time.Hour, noon, testAddr, fleet.seal(sender, "b", noon, Message{Kind: Gossip})); err != nil {
		t.Errorf("a member was rejected while another floods: %v", err)
	}
}

// TestRecordsNeedAuthorsSignature guards against forwarders that alter records or statements, and against undetected
// equivocation.
func TestRecordsNeedAuthorsSignature(t *testing.T) {
	fleet := newTestFleet(t)
	relay, receiver, author := fleet.guard("a", 100), fleet.guard("b", 200), fleet.guard("d", 300)
	fleet.exchangeCookies(relay, receiver)
	fleet.exchangeCookies(relay, author)
	fleet.exchangeCookies(author, receiver)
	own := Record{Name: "d", Addr: Addr{testAddr}, Epoch: 300, Incarnation: 4}
	forgedRecord := own
	author.SignRecord(&own)
	forgedRecord.Incarnation, forgedRecord.Sig = 9, own.Sig
	statement := author.SignStatement(1, noon, []byte("one"))
	forgedStatement := statement
	forgedStatement.Seq = 2
	opened, err := receiver.Open(time.Hour, noon, testAddr, fleet.seal(relay, "b", noon, Message{
		Kind: Gossip, Records: []Record{forgedRecord, own},
		Statements: []Statement{forgedStatement, statement},
	}))
	if err != nil || len(opened.Records) != 1 || opened.Records[0].Incarnation != 4 || len(opened.Statements) != 1 || opened.Statements[0].Seq != 1 {
		t.Fatalf("kept %+v, %v", opened, err)
	}
	opened, err = receiver.Open(time.Hour, noon, testAddr, fleet.seal(relay, "b", noon, Message{Kind: Gossip, Records: []Record{own}, Statements: []Statement{statement}}))
	if err != nil || len(opened.Records)+len(opened.Statements)+len(opened.Equivocators) != 0 {
		t.Errorf("repeated: %+v, %v", opened, err)
	}
	opened, err = receiver.Open(time.Hour, noon, testAddr, fleet.seal(relay, "b", noon, Message{Kind: Gossip, Statements: []Statement{author.SignStatement(1, noon, []byte("two"))}}))
	if err != nil || len(opened.Statements) != 0 || len(opened.Equivocators) != 1 || opened.Equivocators[0] != "d" {
		t.Errorf("equivocation: %+v, %v", opened, err)
	}
}

// TestTrustChanges guards against accepting members with a revoked certificate or a removed authority, and against
// rejecting members of the old authority during the overlap.
func TestTrustChanges(t *testing.T) {
	fleet := newTestFleet(t)
	revoked, receiver := fleet.guard("a", 100), fleet.guard("b", 200)
	fleet.exchangeCookies(revoked, receiver)
	list, err := fleet.authority.Revoke(nil, noon, revoked.own.Cert.SerialNumber)
	if err != nil {
		t.Fatal(err)
	}
	if list, err = fleet.authority.Revoke(list, noon, big.NewInt(5)); err != nil || len(list.RevokedCertificateEntries) != 2 {
		t.Fatalf("list %v, %v", list, err)
	}
	if removed := receiver.UpdateTrust(receiver.own, fleet.trust(list), noon); len(removed) != 1 || removed[0] != "a" {
		t.Errorf("removed %v, want a", removed)
	}
	if _, err := receiver.Open(time.Hour, noon, testAddr, fleet.seal(fleet.guardFor(revoked.own, 500), "b", noon, Message{Kind: Ping})); !errors.Is(err, pki.ErrRevoked) {
		t.Errorf("revoked: error %v", err)
	}

	next := newTestFleet(t)
	overlapping := fleet.guard("d", 300)
	fleet.exchangeCookies(overlapping, receiver)
	trust := next.trust().MergePrevious(receiver.trust, noon, time.Minute)
	if removed := receiver.UpdateTrust(receiver.own, trust, noon); len(removed) != 0 {
		t.Errorf("removed %v within the overlap", removed)
	}
	if _, err := receiver.Open(time.Hour, noon, testAddr, fleet.seal(overlapping, "b", noon, Message{Kind: Ping})); err != nil {
		t.Errorf("within the overlap: %v", err)
	}
	late := noon.Add(2 * time.Minute)
	if _, err := receiver.Open(time.Hour, late, testAddr, fleet.seal(overlapping, "b", late, Message{Kind: Ping})); !errors.Is(err, pki.ErrUnknownAuthority) {
		t.Errorf("after the overlap: error %v", err)
	}
	if _, err := receiver.Open(time.Hour, late, testAddr, fleet.seal(next.guard("e", 1), "b", late, Message{Kind: Ping})); err != nil {
		t.Errorf("new authority: %v", err)
	}
	if _, err := pki.NewTrust("f", 0, []*x509.Certificate{next.authority.Cert}, []*x509.RevocationList{list}); !errors.Is(err, pki.ErrUnknownAuthority) {
		t.Errorf("revocation list not signed by an authority: error %v", err)
	}
}

// TestMessageFitsDatagram guards against messages that exceed MaxDatagram because of the certificate they carry.
func TestMessageFitsDatagram(t *testing.T) {
	fleet := newTestFleet(t)
	sender := fleet.guard("a-scheduler-with-quite-a-long-name-1", 100)
	if n := len(sender.Certificate()); n > maxCertBytes {
		t.Errorf("certificate of %d bytes, want at most %d", n, maxCertBytes)
	}
	m := Message{Kind: Ping, Statements: []Statement{sender.SignStatement(1, noon, make([]byte, maxStatementBytes))}}
	b := fleet.seal(sender, "", noon, m)
	if len(b) > MaxDatagram {
		t.Errorf("datagram too long: %d bytes", len(b))
	}
}

func FuzzOpen(f *testing.F) {
	fleet := newTestFleet(f)
	sender, receiver := fleet.guard("a", 100), fleet.guard("b", 200)
	fleet.exchangeCookies(sender, receiver)
	f.Add(fleet.seal(sender, "b", noon, Message{Kind: Gossip, Claims: []Claim{{Name: "z", State: Dead}}, Want: []string{"q"}}))
	f.Add(fleet.seal(sender, "", noon, Message{Kind: Ping, Records: []Record{{Name: "a", Addr: Addr{testAddr}}}}))
	f.Add(bytes.Repeat([]byte{0x9f}, 700)) // deep nesting
	f.Fuzz(func(t *testing.T, d []byte) {
		if _, err := receiver.Open(time.Hour, noon, testAddr, d); err == nil && len(d) > MaxDatagram {
			t.Error("an oversized datagram was opened")
		}
		// Decode the input as a message body too, since random datagrams fail the signature check.
		if m, err := decode(d); err == nil {
			if _, err := encode(m); err != nil {
				t.Errorf("a decoded message can't be encoded: %v", err)
			}
		}
	})
}
