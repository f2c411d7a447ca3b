package transport

import (
	"errors"
	"io/fs"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"calicohill/internal/config/operatorfile"
	"calicohill/internal/fleet/gossip"
	"calicohill/internal/fleet/pki"
	"calicohill/routing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// openErrorCase describes settings with keys that the fleet does not accept.
type openErrorCase struct {
	name   string
	member string
	change func(*operatorfile.Gossip)
	want   error  // error to be wrapped; nil if only the text is checked
	text   string // substring of the error text
}

// openErrorCases returns the cases for a fleet and another one, given the paths of their revocation lists.
func openErrorCases(fleet, other *testFleet, list, foreignList string) []openErrorCase {
	return []openErrorCase{
		{"no key file", "nobody", nil, fs.ErrNotExist, fleet.path("nobody.key")},
		{"key file of an authority", "authority", nil, nil, "the key of an authority"},
		{
			"expired certificate", "expired", func(s *operatorfile.Gossip) { s.ClockSkew = time.Minute }, pki.ErrExpired,
			fleet.path("expired.key"),
		},
		{
			"revoked certificate", "revoked", func(s *operatorfile.Gossip) { s.Revoked = list }, pki.ErrRevoked,
			fleet.path("revoked.key"),
		},
		{
			"no authority file", "valid", func(s *operatorfile.Gossip) { s.Authorities = []string{fleet.path("none.crt")} },
			fs.ErrNotExist, fleet.path("none.crt"),
		},
		{"no authority", "valid", func(s *operatorfile.Gossip) { s.Authorities = nil }, pki.ErrUnknownAuthority, "key"},
		{
			"authority of another fleet", "valid",
			func(s *operatorfile.Gossip) { s.Authorities = []string{other.path("authority.crt")} }, pki.ErrWrongFleet, "other",
		},
		{
			"member of another fleet", "valid", func(s *operatorfile.Gossip) { s.Key = other.path("foreign.key") },
			pki.ErrWrongFleet, "foreign.key",
		},
		{
			"no revocation list", "valid", func(s *operatorfile.Gossip) { s.Revoked = fleet.path("none.crl") },
			fs.ErrNotExist, fleet.path("none.crl"),
		},
		{
			"revocation list of another fleet", "valid", func(s *operatorfile.Gossip) { s.Revoked = foreignList },
			pki.ErrUnknownAuthority, "list of revoked certificates",
		},
	}
}

// TestOpenErrors guards against opening a Node with keys that other members would reject, and against errors that name
// neither the file nor the reason.
func TestOpenErrors(t *testing.T) {
	now := time.Now()
	fleet := newTestFleet(t, testFleetName)
	fleet.issue("valid", now)
	fleet.issue("expired", now.Add(-3*validity))
	revoked := fleet.issue("revoked", now)
	list := fleet.revoke(revoked)
	if err := pki.WriteKeyFile(fleet.path("authority.key"), fleet.authority.Key, fleet.authority.Cert); err != nil {
		t.Fatal(err)
	}
	other := newTestFleet(t, "other")
	other.issue("foreign", now)
	foreignList := other.revoke(other.issue("stranger", now))

	for _, tt := range openErrorCases(fleet, other, list, foreignList) {
		t.Run(tt.name, func(t *testing.T) {
			settings := fleet.settings(tt.member)
			if tt.change != nil {
				tt.change(&settings)
			}
			_, err := Open(settings, nil, nil)
			if err == nil || !strings.HasPrefix(err.Error(), "gossip: ") || !strings.Contains(err.Error(), tt.text) {
				t.Errorf("Open: %v, want an error with prefix \"gossip: \" and substring %q", err, tt.text)
			}
			if tt.want != nil && !errors.Is(err, tt.want) {
				t.Errorf("Open: %v, want it to wrap %v", err, tt.want)
			}
		})
	}
}

func TestOpenAddressInUse(t *testing.T) {
	fleet := newTestFleet(t, testFleetName)
	fleet.issue("a", time.Now())
	settings := fleet.settings("a")
	settings.Listen = fleet.open("a").addr
	if _, err := Open(settings, nil, nil); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("Open: %v, want %v", err, syscall.EADDRINUSE)
	}
}

// TestJoinAndLeave guards against a member that cannot join through a seed, or whose departure is not announced.
func TestJoinAndLeave(t *testing.T) {
	fleet := newTestFleet(t, testFleetName)
	fleet.issue("a", time.Now())
	fleet.issue("b", time.Now())
	nodeA, nodeB := fleet.join("a", "b")
	if got, want := nodeA.messages(), []string{"peer alive"}; !slices.Equal(got, want) {
		t.Errorf("log of a: %q, want %q", got, want)
	}
	nodeB.leave()
	nodeA.receiveFrom(nodeB)
	nodeA.wantMember("b", gossip.Left)
	if got, want := nodeA.messages(), []string{"peer left"}; !slices.Equal(got, want) {
		t.Errorf("log of a: %q, want %q", got, want)
	}
}

// TestUnknownAuthorityRejected guards against admitting a member whose certificate was signed by another authority. The
// fleet name alone must not be sufficient.
func TestUnknownAuthorityRejected(t *testing.T) {
	fleet := newTestFleet(t, testFleetName)
	fleet.issue("a", time.Now())
	nodeA := fleet.open("a")
	otherAuthority := newTestFleet(t, testFleetName)
	otherAuthority.issue("b", time.Now())
	nodeB := otherAuthority.open("b", nodeA.addr)
	nodeB.step(nil)
	if nodeB.engine.sent.messages == 0 {
		t.Fatal("no datagram was sent")
	}
	nodeA.receiveFrom(nodeB)
	if members := nodeA.engine.core.Members(); len(members) != 0 || nodeA.engine.sent.messages != 0 {
		t.Errorf("members %v and %d datagrams sent, want none", members, nodeA.engine.sent.messages)
	}
	if got, want := nodeA.messages(), []string{"gossip datagram dropped"}; !slices.Equal(got, want) {
		t.Errorf("log %q, want %q", got, want)
	}
}

// TestMalformedDatagramIsDropped guards against malformed datagrams that cause events or stay in the queue.
func TestMalformedDatagramIsDropped(t *testing.T) {
	fleet := newTestFleet(t, testFleetName)
	fleet.issue("a", time.Now())
	nodeA := fleet.open("a")
	nodeA.datagrams <- datagram{nodeA.addr, []byte("second")}
	nodeA.datagrams <- datagram{nodeA.addr, make([]byte, gossip.MaxDatagram)}
	if events := nodeA.openBatch(datagram{nodeA.addr, []byte("first")}); len(events) != 0 || len(nodeA.datagrams) != 0 {
		t.Errorf("events %v and %d datagrams left, want none", events, len(nodeA.datagrams))
	}
}

// TestFaultObservedReachesPeer guards against an observed fault that does not reach the Router of another scheduler as
// a peer report, or that is returned to its own observer.
func TestFaultObservedReachesPeer(t *testing.T) {
	fleet := newTestFleet(t, testFleetName)
	fleet.issue("a", time.Now())
	fleet.issue("b", time.Now())
	nodeA, nodeB := fleet.join("a", "b")
	for _, node := range []*testNode{nodeA, nodeB} {
		node.EndpointsChanged([]string{"w1", "w2"})
		node.runCalls()
		node.step(nil)
	}
	nodeA.FaultObserved(routing.ReportFault{Worker: "w1", Fault: routing.Unreachable, ObservedAt: nodeA.engine.now()})
	nodeA.runCalls()
	nodeA.step(nil)
	exchange(nodeA, nodeB)
	if len(nodeA.reports) != 0 {
		t.Errorf("a was notified of %v, want nothing, since the report is its own", nodeA.reports)
	}
	if len(nodeB.reports) == 0 {
		t.Fatal("b was not notified")
	}
	verdicts := nodeB.reports[len(nodeB.reports)-1].Verdicts
	if len(verdicts) != 1 || verdicts["w1"] != routing.Reported {
		t.Errorf("b was notified of verdicts %v, want only w1 as reported", verdicts)
	}
}

// TestPublishPeerReports guards against missing or repeated log entries when peers confirm or withdraw a fault, and
// against reports that are not passed to the Router.
func TestPublishPeerReports(t *testing.T) {
	fleet := newTestFleet(t, testFleetName)
	fleet.issue("a", time.Now())
	node := fleet.open("a")
	for _, tt := range []struct {
		name     string
		verdicts map[string]routing.PeerVerdict
		want     []string // log messages
	}{
		{"reported", map[string]routing.PeerVerdict{"w": routing.Reported}, nil},
		{"confirmed", map[string]routing.PeerVerdict{"w": routing.Confirmed}, []string{"worker confirmed faulty by peers"}},
		{"still confirmed", map[string]routing.PeerVerdict{"w": routing.Confirmed}, nil},
		{"withdrawn", nil, []string{"worker no longer confirmed faulty by peers"}},
		{"still withdrawn", nil, nil},
	} {
		node.reports = nil
		node.engine.publishPeerReports(routing.PeerReports{Verdicts: tt.verdicts})
		if got := node.messages(); !slices.Equal(got, tt.want) {
			t.Errorf("%s: log %q, want %q", tt.name, got, tt.want)
		}
		if len(node.reports) != 1 {
			t.Errorf("%s: %d reports were passed on, want 1", tt.name, len(node.reports))
		}
	}
}

// TestCallsDoNotWait guards against methods that block the request loop while the goroutine of run lags behind. If the
// call queue is full, calls must be dropped.
func TestCallsDoNotWait(t *testing.T) {
	fleet := newTestFleet(t, testFleetName)
	fleet.issue("a", time.Now())
	node := fleet.open("a") // no goroutine drains the call queue
	node.fillCalls()
	node.FaultObserved(routing.ReportFault{Worker: "w", Fault: routing.Unreachable})
	node.EndpointsChanged([]string{"old"})
	node.EndpointsChanged([]string{"new"})
	if got := len(node.calls); got != queueLength {
		t.Errorf("%d calls are queued, want %d", got, queueLength)
	}
	node.runCalls()
	if len(node.engine.faultEvents) != 0 {
		t.Errorf("events %v, want none: the call was dropped", node.engine.faultEvents)
	}
	// The endpoint list must not be dropped, because it is not sent again. The next step uses the latest one.
	if got := node.endpoints.Load(); got == nil || !slices.Equal(*got, []string{"new"}) {
		t.Errorf("endpoints for the next step: %v, want the latest", got)
	}
	node.step(nil)
	if got := node.endpoints.Load(); got != nil {
		t.Errorf("endpoints after the step: %v, want none", *got)
	}
}

// TestReceive guards against queueing empty or oversized datagrams, which no member sends.
func TestReceive(t *testing.T) {
	fleet := newTestFleet(t, testFleetName)
	fleet.issue("a", time.Now())
	node := fleet.open("a")
	returned := make(chan struct{})
	go func() {
		node.receive()
		close(returned)
	}()
	sender, err := net.Dial("udp", node.addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	longest := strings.Repeat("x", gossip.MaxDatagram)
	for _, content := range []string{"", longest + "x", "first", longest} {
		if _, err := sender.Write([]byte(content)); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []string{"first", longest} {
		got := <-node.datagrams
		if string(got.content) != want {
			t.Errorf("received %d bytes, want %d", len(got.content), len(want))
		}
		if got.from.String() != sender.LocalAddr().String() {
			t.Errorf("received from %v, want %v", got.from, sender.LocalAddr())
		}
	}
	if err := node.conn.Close(); err != nil { // stops receive
		t.Error(err)
	}
	<-returned
}

// TestClose guards against a Close that returns before the Node has left the fleet and closed its socket.
func TestClose(t *testing.T) {
	fleet := newTestFleet(t, testFleetName)
	fleet.issue("a", time.Now())
	log, hook := logtest.NewNullLogger()
	node, err := Open(fleet.settings("a"), nil, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	node.Run()
	node.Close()
	if _, err := node.conn.Write(nil); !errors.Is(err, net.ErrClosed) {
		t.Errorf("writing to the socket: %v, want %v", err, net.ErrClosed)
	}
	if last := hook.LastEntry(); last == nil || last.Message != "gossip ended" {
		t.Errorf("last log entry: %v, want \"gossip ended\"", last)
	}
	node.FaultObserved(routing.ReportFault{Worker: "w"}) // must not block: the request loop may outlive the Node
}
