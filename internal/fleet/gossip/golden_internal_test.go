package gossip

import (
	"bytes"
	"crypto/x509"
	"errors"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"calicohill/internal/fleet/pki"
	"calicohill/internal/testbed/golden"
)

const (
	goldenFleet     = "gt-registros"
	goldenSkew      = 5 * time.Second
	goldenAuthority = "authority.key"
)

// The members with golden key files, their epochs and their addresses.
var (
	goldenNames  = []string{"a", "b", "c"}
	goldenEpochs = map[string]int64{"a": 1_793_530_000_000, "b": 1_793_530_000_001, "c": 1_793_530_123_456}
	goldenAddrs  = map[string]netip.AddrPort{
		"a": netip.MustParseAddrPort("127.0.0.1:7946"),
		"b": netip.MustParseAddrPort("127.0.0.2:7946"),
		"c": netip.MustParseAddrPort("[::1]:7946"),
	}
)

// goldenNow is the wall clock time of the golden datagrams. Tests pass it explicitly, so that the certificates never
// expire.
var goldenNow = time.Date(2026, 11, 1, 12, 0, 0, 0, time.UTC)

// goldenUptime is the uptime of a Guard that opens golden datagrams. By then its signature check budgets are full.
const goldenUptime = time.Minute

// TestGoldenKeys guards against key files of earlier versions that can no longer be read. With -record it first creates
// the keys, which the tests below use too.
func TestGoldenKeys(t *testing.T) {
	if golden.Recording() {
		recordKeys(t)
	}
	for _, name := range goldenNames {
		if got := readGoldenKey(t, name+".key").Name(); got != name {
			t.Errorf("%s.key contains the key of %q", name, got)
		}
	}
}

// recordKeys creates an authority and a key for each member, and writes them to the golden directory.
func recordKeys(t *testing.T) {
	t.Helper()
	if err := os.MkdirAll(golden.Path(""), 0o755); err != nil {
		t.Fatal(err)
	}
	const validity = 10 * 365 * 24 * time.Hour
	authority, err := pki.NewAuthority(goldenFleet, goldenNow.Add(-time.Hour), validity)
	if err != nil {
		t.Fatal(err)
	}
	if err := pki.WriteKeyFile(golden.Path(goldenAuthority), authority.Key, authority.Cert); err != nil {
		t.Fatal(err)
	}
	for _, name := range goldenNames {
		m, err := authority.Issue(name, goldenNow.Add(-time.Hour), validity)
		if err != nil {
			t.Fatal(err)
		}
		if err := pki.WriteKeyFile(golden.Path(name+".key"), m.Key, m.Cert); err != nil {
			t.Fatal(err)
		}
	}
}

// readGoldenKey reads a copy of a golden key file with mode 0600, because Git does not preserve that mode.
func readGoldenKey(t *testing.T, name string) *pki.Member {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, golden.Read(t, name), 0o600); err != nil {
		t.Fatal(err)
	}
	key, cert, err := pki.ReadKeyFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return &pki.Member{Cert: cert, Key: key}
}

// goldenGuard returns a Guard with a golden key and a fixed secret.
func goldenGuard(t *testing.T, name string) *Guard {
	t.Helper()
	authority := readGoldenKey(t, goldenAuthority)
	trust, err := pki.NewTrust(goldenFleet, goldenSkew, []*x509.Certificate{authority.Cert}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return NewGuard(GuardConfig{
		Fleet: goldenFleet, Own: readGoldenKey(t, name+".key"), Epoch: goldenEpochs[name],
		Trust: trust, Secret: []byte("secret of " + name), MaxChecksPerSecond: 400, MaxClockSkew: goldenSkew,
		Seeds: slices.Collect(maps.Values(goldenAddrs)),
	})
}

// goldenStep is one golden datagram of a dialogue.
type goldenStep struct {
	file    string
	from    string
	to      string // empty if the sender knows only the receiver's address
	message Message
}

// goldenDialogue returns steps that cover all message kinds and all message fields.
func goldenDialogue(guardA, guardB, guardC *Guard) []goldenStep {
	newRecord := func(g *Guard, name string, inc uint32, gone bool) Record {
		r := Record{Name: name, Addr: Addr{goldenAddrs[name]}, Epoch: goldenEpochs[name], Incarnation: inc, Gone: gone}
		g.SignRecord(&r)
		return r
	}
	claims := []Claim{
		{Name: "a", Epoch: goldenEpochs["a"], Incarnation: 1, State: Alive},
		{Name: "b", Epoch: goldenEpochs["b"], Incarnation: 23, State: Suspect},
		{Name: "c", Epoch: goldenEpochs["c"], Incarnation: 24, State: Dead},
		{Name: "förr", Epoch: -1, Incarnation: 4_294_967_295, State: Left},
	}
	return []goldenStep{
		{"ping.datagram", "a", "", Message{
			Kind: Ping, Nonce: 0x0123_4567_89ab_cdef, Summaries: claims,
			Records: []Record{newRecord(guardA, "a", 1, false)},
		}},
		{"ack.datagram", "b", "a", Message{
			Kind: Ack, Nonce: 0x0123_4567_89ab_cdef, Want: []string{"c", "förr"},
			Records: []Record{newRecord(guardB, "b", 23, false)},
		}},
		{"ask.datagram", "a", "b", Message{Kind: IndirectPing, Nonce: 7, Target: "c", Claims: claims}},
		{"nack.datagram", "b", "a", Message{Kind: Nack, Nonce: 7}},
		{"gossip.datagram", "a", "b", Message{
			Kind: Gossip, Claims: claims[1:2],
			Records:    []Record{newRecord(guardA, "a", 2, true)},
			Statements: []Statement{guardC.SignStatement(300, goldenNow, []byte("\x81\x85\x63w-1\x01\x19\x04\xb0\x00\x07"))},
		}},
		{"empty-gossip.datagram", "b", "a", Message{Kind: Gossip}},
	}
}

// TestGoldenDatagrams guards against changes of the wire format: Seal must produce the golden bytes, and Open must
// return the original message from them. The first two datagrams contain no valid cookie, because the ping is sent to
// an unnamed receiver and therefore issues none.
func TestGoldenDatagrams(t *testing.T) {
	guards := map[string]*Guard{}
	for _, name := range goldenNames {
		guards[name] = goldenGuard(t, name)
	}
	kinds := map[Kind]bool{}
	for i, step := range goldenDialogue(guards["a"], guards["b"], guards["c"]) {
		wall := goldenNow.Add(time.Duration(i) * 10 * time.Millisecond)
		want := step.message // Seal fills in At, Cookie and Cert
		sealed, err := guards[step.from].Seal(step.to, uint32(i), wall, &want)
		if err != nil {
			t.Fatalf("%s: %v", step.file, err)
		}
		golden.Compare(t, step.file, sealed)
		receiver := map[string]string{"a": "b", "b": "a"}[step.from]
		opened, err := guards[receiver].Open(goldenUptime, wall, goldenAddrs[step.from], golden.Read(t, step.file))
		if err != nil {
			t.Fatalf("%s: %v", step.file, err)
		}
		if opened.From != step.from || opened.Epoch != goldenEpochs[step.from] || opened.Trusted != (i > 1) || len(opened.Equivocators) > 0 {
			t.Errorf("%s: from %q, epoch %d, trusted %t, equivocators %v", step.file, opened.From, opened.Epoch,
				opened.Trusted, opened.Equivocators)
		}
		if !reflect.DeepEqual(opened.Message, &want) {
			t.Errorf("%s: opened as\n%+v\nwant\n%+v", step.file, opened.Message, &want)
		}
		if want.At != wall.UnixMilli() || !reflect.DeepEqual(want.Records, step.message.Records) ||
			!reflect.DeepEqual(want.Statements, step.message.Statements) {
			t.Errorf("%s: sealed as %+v", step.file, want)
		}
		kinds[step.message.Kind] = true
	}
	for k := Ping; k <= lastKind; k++ {
		if !kinds[k] {
			t.Errorf("no datagram of kind %d", k)
		}
	}
}

// TestGoldenBodies guards against changes of the message encoding: each golden body must decode and encode to the same
// bytes.
func TestGoldenBodies(t *testing.T) {
	for file, kind := range map[string]Kind{"ping": 1, "ack": 2, "nack": 3, "ask": 4, "gossip": 5, "empty-gossip": 5} {
		datagram := golden.Read(t, file+".datagram")
		sealed, err := parseEnvelope(datagram)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		body := sealed.body
		m, err := decode(body)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		if m.Kind != kind {
			t.Errorf("%s: kind %d, want %d", file, m.Kind, kind)
		}
		if encoded, err := encode(m); err != nil || !bytes.Equal(encoded, body) {
			t.Errorf("%s: encoded as %x, %v, want %x", file, encoded, err, body)
		}
	}
}

// TestGoldenErrors guards against accepting invalid datagrams and against changed error texts.
func TestGoldenErrors(t *testing.T) {
	valid := golden.Read(t, "ping.datagram")
	forged, otherVersion := bytes.Clone(valid), bytes.Clone(valid)
	forged[fixedHeaderBytes+3] ^= 1 // first byte of the signature, after the names "a" and ""
	otherVersion[1]++
	for _, tt := range []struct {
		name, receiver string
		datagram       []byte
		wall           time.Time
		err            error
		want           string
	}{
		{"truncated", "b", valid[:40], goldenNow, ErrMalformed, "gossip: malformed datagram"},
		{"another version", "b", otherVersion, goldenNow, ErrMalformed, "gossip: malformed datagram"},
		{"forged", "b", forged, goldenNow, ErrSignature, "gossip: invalid signature"},
		{"late", "b", valid, goldenNow.Add(time.Minute), ErrClockSkew, "gossip: send time too far from the local clock"},
		{"own datagram", "a", valid, goldenNow, ErrReplayed, "gossip: replayed datagram"},
		{"wrong receiver", "c", golden.Read(t, "ack.datagram"), goldenNow, ErrWrongReceiver, "gossip: addressed to another member"},
		{
			"without certificate", "b", golden.Read(t, "gossip.datagram"), goldenNow, ErrUnknownSender,
			"gossip: unknown sender without a certificate",
		},
		{
			"certificate not yet valid", "b", valid, goldenNow.Add(-24 * time.Hour), pki.ErrExpired,
			"the certificate is not valid now: it is valid from 2026-11-01 11:00:00 +0000 UTC to 2036-10-29 11:00:00 +0000 UTC",
		},
	} {
		_, err := goldenGuard(t, tt.receiver).Open(goldenUptime, tt.wall, goldenAddrs["a"], tt.datagram)
		if err == nil || err.Error() != tt.want || !errors.Is(err, tt.err) {
			t.Errorf("%s: error %v, want %s", tt.name, err, tt.want)
		}
	}
}
