package transport

import (
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"calicohill/internal/config/operatorfile"
	"calicohill/internal/fleet/gossip"
	"calicohill/internal/fleet/pki"
	"calicohill/routing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

const (
	testFleetName = "lab"
	validity      = time.Hour // validity of certificates
	// readTimeout fails a test that waits for a datagram that was never sent.
	readTimeout = 10 * time.Second
)

// testFleet is the authority of a fleet and the directory with the files of its members.
type testFleet struct {
	t         *testing.T
	dir       string
	authority *pki.Authority
}

func newTestFleet(t *testing.T, name string) *testFleet {
	t.Helper()
	authority, err := pki.NewAuthority(name, time.Now(), validity)
	if err != nil {
		t.Fatal(err)
	}
	fleet := &testFleet{t: t, dir: t.TempDir(), authority: authority}
	fleet.write("authority.crt", pki.EncodeCertificate(authority.Cert))
	return fleet
}

// path returns the path of a file in the fleet's directory.
func (f *testFleet) path(name string) string { return filepath.Join(f.dir, name) }

// write writes a file into the fleet's directory and returns its path.
func (f *testFleet) write(name string, content []byte) string {
	f.t.Helper()
	if err := os.WriteFile(f.path(name), content, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return f.path(name)
}

// issue creates a member whose certificate is valid starting at from, and writes its key file.
func (f *testFleet) issue(name string, from time.Time) *pki.Member {
	f.t.Helper()
	member, err := f.authority.Issue(name, from, validity)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := pki.WriteKeyFile(f.path(name+".key"), member.Key, member.Cert); err != nil {
		f.t.Fatal(err)
	}
	return member
}

// revoke writes a revocation list that contains a member's certificate, and returns its path.
func (f *testFleet) revoke(member *pki.Member) string {
	f.t.Helper()
	list, err := f.authority.Revoke(nil, time.Now(), member.Cert.SerialNumber)
	if err != nil {
		f.t.Fatal(err)
	}
	return f.write("revoked.crl", pki.EncodeRevocationList(list))
}

// settings returns the settings of the member with this name. All intervals are longer than a test, so that datagrams
// are sent only in response to events. All rate limits are too high to be reached.
func (f *testFleet) settings(name string) operatorfile.Gossip {
	return operatorfile.Gossip{
		Listen:                      netip.MustParseAddrPort("127.0.0.1:0"),
		Fleet:                       testFleetName,
		Key:                         f.path(name + ".key"),
		Authorities:                 []string{f.path("authority.crt")},
		ProbeInterval:               time.Hour,
		ProbeTimeout:                time.Hour,
		SuspicionTimeout:            time.Hour,
		MaxMessagesPerSecond:        10_000,
		MaxSignatureChecksPerSecond: 10_000,
		ClockSkew:                   time.Hour,
		MaxByzantine:                -1,
		MaxEjectedFraction:          1,
		FaultReportExpiry:           time.Hour,
	}
}

// testNode is a Node without running goroutines. The test steps it and passes it each datagram.
type testNode struct {
	*Node
	t        *testing.T
	addr     netip.AddrPort
	log      *logtest.Hook
	reports  []routing.PeerReports // passed to onPeerReports
	received int                   // number of datagrams read from the socket
}

// open opens the Node of a member on a free port of the loopback interface.
func (f *testFleet) open(name string, seeds ...netip.AddrPort) *testNode {
	f.t.Helper()
	settings := f.settings(name)
	settings.Seeds = seeds
	log, hook := logtest.NewNullLogger()
	opened := &testNode{t: f.t, log: hook}
	onPeerReports := func(reports routing.PeerReports) { opened.reports = append(opened.reports, reports) }
	node, err := Open(settings, onPeerReports, logrus.NewEntry(log))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = node.conn.Close() }) // fails harmlessly if the test has closed the Node
	opened.Node = node
	local, ok := node.conn.LocalAddr().(*net.UDPAddr)
	if !ok {
		f.t.Fatalf("listening on %v, want a UDP address", node.conn.LocalAddr())
	}
	opened.addr = local.AddrPort()
	// The port to advertise is known only after the socket is bound, so the core is created again.
	node.engine.settings.Advertise = opened.addr
	node.engine.core = newCore(node.engine.settings, node.engine.own, node.engine.guard, node.engine.start.UnixMilli())
	return opened
}

// receiveFrom reads and applies the datagrams sent by another node. The sender must have sent all of them to this node.
func (n *testNode) receiveFrom(sender *testNode) {
	n.t.Helper()
	for n.received < sender.engine.sent.messages {
		n.received++
		n.step(n.engine.openDatagram(nil, n.read()))
	}
}

// read reads a datagram from the socket.
func (n *testNode) read() datagram {
	n.t.Helper()
	if err := n.conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		n.t.Fatal(err)
	}
	buffer := make([]byte, gossip.MaxDatagram)
	size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		n.t.Fatal(err)
	}
	return datagram{netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:size]}
}

// exchange delivers datagrams between two nodes until neither sends more. No other node may send to them.
func exchange(a, b *testNode) {
	a.t.Helper()
	for a.received < b.engine.sent.messages || b.received < a.engine.sent.messages {
		a.receiveFrom(b)
		b.receiveFrom(a)
	}
}

// join returns two nodes that have joined the same fleet.
func (f *testFleet) join(nameA, nameB string) (a, b *testNode) {
	f.t.Helper()
	a = f.open(nameA)
	b = f.open(nameB, a.addr)
	a.step(nil)
	b.step(nil)
	exchange(a, b)
	a.wantMember(nameB, gossip.Alive)
	b.wantMember(nameA, gossip.Alive)
	return a, b
}

// runCalls runs the queued calls.
func (n *testNode) runCalls() {
	for len(n.calls) > 0 {
		(<-n.calls)()
	}
}

// fillCalls fills the call queue.
func (n *testNode) fillCalls() {
	for n.post(func() {}) {
	}
}

// wantMember checks that another member is known and in the given state.
func (n *testNode) wantMember(name string, want gossip.State) {
	n.t.Helper()
	for _, member := range n.engine.core.Members() {
		if member.Name == name {
			if member.State != want {
				n.t.Errorf("%s: member %s is %s, want %s", n.engine.own.Name(), name, member.State, want)
			}
			return
		}
	}
	n.t.Errorf("%s: member %s is unknown, want %s", n.engine.own.Name(), name, want)
}

// messages returns the log messages since the last call.
func (n *testNode) messages() []string {
	var messages []string
	for _, entry := range n.log.AllEntries() {
		messages = append(messages, entry.Message)
	}
	n.log.Reset()
	return messages
}
