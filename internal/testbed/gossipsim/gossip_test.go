package gossipsim_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"calicohill/internal/fleet/gossip"
	"calicohill/internal/testbed/gossipsim"

	"pgregory.net/rapid"
)

var testConfig = gossip.Config{
	ProbeInterval: time.Second, ProbeTimeout: 300 * time.Millisecond, SuspicionTimeout: 5 * time.Second,
	MaxMessagesPerSecond: 20, MaxMembers: 4096,
}

// newConvergedFleet returns a fleet of n nodes that joined through one seed and agree on the member list.
func newConvergedFleet(tb testing.TB, n int, seed uint64) *gossipsim.Network {
	tb.Helper()
	net := gossipsim.New(n, seed, testConfig)
	for _, node := range net.Nodes {
		net.Start(node, net.Nodes[0])
	}
	net.Run(30 * time.Second)
	checkAgreement(tb, net)
	return net
}

// firstDisagreement describes the first running node that has a wrong state for another node. It returns "" if all
// agree.
func firstDisagreement(net *gossipsim.Network) string {
	for _, observer := range net.Nodes {
		if observer.Core == nil {
			continue
		}
		states := map[string]gossip.State{}
		for _, m := range observer.Core.Members() {
			states[m.Name] = m.State
		}
		for _, subject := range net.Nodes {
			state, known := states[subject.Name]
			if subject != observer && !isCorrect(subject, state, known) {
				return fmt.Sprintf("%s lists %s as %v (known %v), running %v", observer.Name, subject.Name, state, known,
					subject.Core != nil)
			}
		}
	}
	return ""
}

// isCorrect reports whether an observer has the right state for a node. A running node must be alive. A stopped node
// must be unknown or out of the fleet.
func isCorrect(subject *gossipsim.Node, state gossip.State, known bool) bool {
	if subject.Core != nil {
		return known && state == gossip.Alive
	}
	return !known || !state.InFleet()
}

// checkAgreement checks that every running node has the right state for all others.
func checkAgreement(tb testing.TB, net *gossipsim.Network) {
	tb.Helper()
	if disagreement := firstDisagreement(net); disagreement != "" {
		tb.Errorf("no agreement: %s", disagreement)
	}
}

// checkRateLimit checks that no node ever exceeded MaxMessagesPerSecond.
func checkRateLimit(tb testing.TB, net *gossipsim.Network) {
	tb.Helper()
	for _, n := range net.Nodes {
		if n.PeakMessageRate > testConfig.MaxMessagesPerSecond {
			tb.Errorf("%s sent %d messages in a second, limit %d", n.Name, n.PeakMessageRate, testConfig.MaxMessagesPerSecond)
		}
	}
}

// Guards against stale membership after a crash, a leave and the restart of both members.
func TestJoinDieLeaveReturn(t *testing.T) {
	net := newConvergedFleet(t, 12, 1)
	net.Kill(net.Nodes[3])
	net.Deliver(net.Nodes[4], gossip.Leave{})
	net.Kill(net.Nodes[4])
	net.Run(25 * time.Second)
	checkAgreement(t, net)
	for _, node := range net.Nodes {
		if node.Core != nil && node.Core.NumMembers() != 10 {
			t.Errorf("%s has %d members, want 10", node.Name, node.Core.NumMembers())
		}
	}
	net.Start(net.Nodes[3], net.Nodes[0]) // without state on disk, it restarts as a new member
	net.Start(net.Nodes[4], net.Nodes[0])
	net.Run(15 * time.Second)
	checkAgreement(t, net)
	checkRateLimit(t, net)
}

// Guards against members that keep an earlier epoch after half of the fleet crashes and restarts at once.
func TestHalfRestartAtOnce(t *testing.T) {
	net := newConvergedFleet(t, 12, 2)
	for _, n := range net.Nodes[:6] {
		net.Kill(n)
	}
	for _, n := range net.Nodes[:6] {
		net.Start(n, net.Nodes[11])
	}
	net.Run(20 * time.Second)
	checkAgreement(t, net)
	for _, n := range net.Nodes {
		for _, m := range n.Core.Members() {
			for _, o := range net.Nodes {
				if o.Name == m.Name && o.Epoch != m.Epoch {
					t.Errorf("%s has a stale epoch for %s", n.Name, m.Name)
				}
			}
		}
	}
	checkRateLimit(t, net)
}

// Guards against a paused member that declares healthy members dead after it resumes, or that stays suspect.
func TestPaused(t *testing.T) {
	net := newConvergedFleet(t, 12, 3)
	falseDeaths := 0
	net.OnMemberChanged = func(n *gossipsim.Node, m gossip.Member) {
		if m.State == gossip.Dead && m.Name != "n5" {
			falseDeaths++
		}
	}
	net.Pause(net.Nodes[5])
	net.Run(3 * time.Second)
	net.Resume(net.Nodes[5])
	net.Run(20 * time.Second)
	checkAgreement(t, net)
	if falseDeaths > 0 {
		t.Errorf("%d healthy members declared dead", falseDeaths)
	}
}

// Guards against a healthy suspect that is declared dead by a member that its refutation did not reach. A member must
// notify the suspect before it declares it dead, so that the suspect can refute directly.
func TestRefutationMissesOneMember(t *testing.T) {
	for seed := range uint64(20) {
		net := newConvergedFleet(t, 12, seed)
		net.Intercept = func(n *gossipsim.Node, m *gossip.Transmit) bool {
			carriesRefutation := slices.ContainsFunc(m.Message.Records, func(r gossip.Record) bool {
				return r.Name == "n5" && r.Incarnation > 1
			})
			return !carriesRefutation || m.To != "n7" || n.Name == "n5"
		}
		net.OnMemberChanged = func(n *gossipsim.Node, m gossip.Member) {
			if m.State == gossip.Dead {
				t.Errorf("seed %d: %s declared %s dead", seed, n.Name, m.Name)
			}
		}
		net.Pause(net.Nodes[5])
		net.Run(3 * time.Second)
		net.Resume(net.Nodes[5])
		net.Run(10 * time.Second)
		checkAgreement(t, net)
	}
}

// Guards against a fleet that stays split after a partition ends.
func TestPartitionHeals(t *testing.T) {
	net := newConvergedFleet(t, 12, 4)
	for _, n := range net.Nodes[:5] {
		n.Partition = 1
	}
	net.Run(40 * time.Second)
	if got := net.Nodes[0].Core.NumMembers(); got != 5 {
		t.Errorf("the smaller side has %d members, want 5", got)
	}
	for _, n := range net.Nodes {
		n.Partition = 0
	}
	net.Run(40 * time.Second)
	checkAgreement(t, net)
	checkRateLimit(t, net)
}

// Guards against a single byzantine member that gets healthy members declared dead by repeating false claims.
func TestFalseDeathClaims(t *testing.T) {
	net := newConvergedFleet(t, 12, 5)
	falseDeaths := 0
	net.OnMemberChanged = func(n *gossipsim.Node, m gossip.Member) {
		if m.State >= gossip.Dead {
			falseDeaths++
		}
	}
	byzantine := net.Nodes[7]
	for range 300 {
		for _, o := range net.Nodes {
			var claims []gossip.Claim
			for _, m := range byzantine.Core.Members() {
				claims = append(claims, gossip.Claim{Name: m.Name, Epoch: m.Epoch, Incarnation: m.Incarnation, State: gossip.Dead})
			}
			if o != byzantine {
				net.Send(byzantine, o.Addr, &gossip.Message{Kind: gossip.Gossip, Claims: claims})
			}
		}
		net.Run(100 * time.Millisecond)
	}
	net.Run(15 * time.Second)
	checkAgreement(t, net)
	if falseDeaths > 0 {
		t.Errorf("%d healthy members declared dead", falseDeaths)
	}
}

// Guards against two running members with the same name. The one with the earlier epoch must stop.
func TestNameConflict(t *testing.T) {
	net := newConvergedFleet(t, 4, 6)
	earlier := net.Nodes[2].Core
	actions := earlier.Step(net.Now, []gossip.Event{gossip.Received{
		From: "n2", Epoch: net.Nodes[2].Epoch + 1,
		Message: &gossip.Message{Kind: gossip.Ping, Nonce: 1},
	}})
	if len(actions) != 1 || actions[0] != (gossip.NameConflict{Epoch: net.Nodes[2].Epoch + 1}) {
		t.Errorf("actions %v", actions)
	}
	if actions := earlier.Step(net.Now+10*time.Second, nil); len(actions) > 0 {
		t.Errorf("the earlier member has not stopped: %v", actions)
	}
}

// Guards against statements that are lost, delivered twice to a member, or spread faster than the rate limit.
func TestStatements(t *testing.T) {
	net := newConvergedFleet(t, 40, 7)
	received := map[string]int{}
	net.OnStatement = func(n *gossipsim.Node, s gossip.Statement) { received[n.Name+fmt.Sprint(s.Seq)]++ }
	for seq := range uint64(10) {
		net.Deliver(net.Nodes[0], gossip.Broadcast{Statement: gossip.Statement{
			Name: "n0", Epoch: 1, Seq: seq + 1, Body: make([]byte, 400),
			Cert: make([]byte, 350), Sig: make([]byte, 64),
		}})
		net.Run(3 * time.Second)
	}
	missed := 0
	for _, n := range net.Nodes[1:] {
		for seq := range 10 {
			switch received[n.Name+fmt.Sprint(seq+1)] {
			case 0:
				missed++
			case 1:
			default:
				t.Errorf("%s received statement %d more than once", n.Name, seq+1)
			}
		}
	}
	if missed > 0 {
		t.Errorf("%d of %d statements were not received", missed, 390)
	}
	checkRateLimit(t, net)
}

// injectFault injects a random fault at a node or ends one.
func injectFault(rt *rapid.T, net *gossipsim.Network, node *gossipsim.Node) {
	switch rapid.IntRange(0, 5).Draw(rt, "fault") {
	case 0:
		net.Kill(node)
	case 1:
		net.Start(node, net.Nodes...)
	case 2:
		net.Pause(node)
	case 3:
		net.Resume(node)
	case 4:
		node.Partition = 1 - node.Partition
	case 5:
		net.Send(node, net.Nodes[0].Addr, &gossip.Message{
			Kind:  gossip.Kind(rapid.IntRange(1, 5).Draw(rt, "kind")),
			Nonce: 1, Target: "n1",
			Claims: []gossip.Claim{{Name: "n1", Epoch: net.Nodes[1].Epoch, Incarnation: 1, State: gossip.Dead}},
			Want:   []string{"n0", "gone"}, Summaries: []gossip.Claim{{Name: "who"}},
		})
	}
}

// Guards against fault sequences that exceed the message rate or the member count, or that prevent agreement after the
// last fault.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		net := gossipsim.New(rapid.IntRange(3, 12).Draw(rt, "nodes"), rapid.Uint64().Draw(rt, "seed"), testConfig)
		net.Loss = rapid.Float64Range(0, 0.2).Draw(rt, "loss")
		for _, node := range net.Nodes {
			net.Start(node, net.Nodes...)
		}
		net.Run(10 * time.Second)
		for range rapid.IntRange(1, 12).Draw(rt, "faults") {
			node := net.Nodes[rapid.IntRange(0, len(net.Nodes)-1).Draw(rt, "node")]
			injectFault(rt, net, node)
			net.Run(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "wait")) * time.Millisecond)
		}
		net.Loss = 0
		for _, node := range net.Nodes {
			node.Partition = 0
			if node.Paused {
				net.Resume(node)
			}
		}
		net.Run(90 * time.Second)
		if disagreement := firstDisagreement(net); disagreement != "" {
			rt.Errorf("no agreement after the last fault: %s", disagreement)
		}
		for _, node := range net.Nodes {
			if node.PeakMessageRate > testConfig.MaxMessagesPerSecond {
				rt.Errorf("%s sent %d messages in a second", node.Name, node.PeakMessageRate)
			}
			if node.Core != nil && len(node.Core.Members()) > len(net.Nodes) {
				rt.Errorf("%s has %d members in a fleet of %d", node.Name, len(node.Core.Members()), len(net.Nodes))
			}
		}
	})
}

// Guards against a request flood that starves honest members of answers. No healthy member may become suspect, and the
// rate limit must hold.
func TestRequestFlood(t *testing.T) {
	net := newConvergedFleet(t, 12, 8)
	suspicions := 0
	net.OnMemberChanged = func(n *gossipsim.Node, m gossip.Member) {
		if m.State >= gossip.Suspect {
			suspicions++
		}
	}
	victim := net.Nodes[0]
	for i := range 2000 {
		for _, byzantine := range net.Nodes[1:4] {
			net.Send(byzantine, victim.Addr, &gossip.Message{Kind: gossip.Ping, Nonce: uint64(i)})
			net.Send(byzantine, victim.Addr, &gossip.Message{Kind: gossip.IndirectPing, Nonce: uint64(i), Target: "n9"})
			net.Send(byzantine, victim.Addr, &gossip.Message{Kind: gossip.Gossip, Want: []string{"n0", "n5", "n6"}})
		}
		net.Run(10 * time.Millisecond)
	}
	if disagreement := firstDisagreement(net); disagreement != "" || suspicions > 0 {
		t.Errorf("%d healthy members suspected; %s", suspicions, disagreement)
	}
	checkRateLimit(t, net)
}
