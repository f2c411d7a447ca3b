package gossipsim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"calicohill/internal/fleet/gossip"

	"pgregory.net/rapid"
)

var testConfig = gossip.Config{
	ProbeEvery: time.Second, ProbeTimeout: 300 * time.Millisecond, SuspectFor: 5 * time.Second,
	Messages: 20, MaxMembers: 4096,
}

// fleet is n nodes that found one another by one seed.
func newConvergedFleet(t testing.TB, n int, seed uint64) *Network {
	t.Helper()
	net := New(n, seed, testConfig)
	for _, node := range net.Nodes {
		net.Start(node, net.Nodes[0])
	}
	net.Run(30 * time.Second)
	checkAgreement(t, net)
	return net
}

// odd is the first thing that two nodes that are up do not agree on, "" if they do.
func firstDisagreement(net *Network) string {
	for _, a := range net.Nodes {
		if a.Core == nil {
			continue
		}
		held := map[string]gossip.State{}
		for _, m := range a.Core.Members() {
			held[m.Name] = m.State
		}
		for _, b := range net.Nodes {
			state, known := held[b.Name]
			if up := b.Core != nil; a != b && (up && (!known || state != gossip.Alive) || !up && known && state <= gossip.Suspect) {
				return fmt.Sprintf("%s holds %s for %v (known %v), up %v", a.Name, b.Name, state, known, up)
			}
		}
	}
	return ""
}

func checkAgreement(t testing.TB, net *Network) {
	t.Helper()
	if o := firstDisagreement(net); o != "" {
		t.Errorf("no agreement: %s", o)
	}
}

func checkRateLimit(t testing.TB, net *Network) {
	t.Helper()
	for _, n := range net.Nodes {
		if n.Window > testConfig.Messages {
			t.Errorf("%s sent %d messages in a second, %d are allowed", n.Name, n.Window, testConfig.Messages)
		}
	}
}

func TestJoinDieLeaveReturn(t *testing.T) {
	net := newConvergedFleet(t, 12, 1)
	net.Kill(net.Nodes[3])
	net.Tell(net.Nodes[4], gossip.Leave{})
	net.Kill(net.Nodes[4])
	net.Run(25 * time.Second)
	checkAgreement(t, net)
	for _, n := range net.Nodes {
		if n.Core != nil && n.Core.NumMembers() != 10 {
			t.Errorf("%s counts %d members, want 10", n.Name, n.Core.NumMembers())
		}
	}
	net.Start(net.Nodes[3], net.Nodes[0]) // nothing is kept on disk: it comes back as new
	net.Start(net.Nodes[4], net.Nodes[0])
	net.Run(15 * time.Second)
	checkAgreement(t, net)
	checkRateLimit(t, net)
}

// Half the instances are killed and are back at once, under their names.
func TestHalfBackAtOnce(t *testing.T) {
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
					t.Errorf("%s holds an earlier life of %s", n.Name, m.Name)
				}
			}
		}
	}
	checkRateLimit(t, net)
}

// One that is stopped and goes on accuses nobody who is well, and is taken back.
func TestPaused(t *testing.T) {
	net := newConvergedFleet(t, 12, 3)
	dead := 0
	net.Changed = func(n *Node, m gossip.Member) {
		if m.State == gossip.Dead && m.Name != "n5" {
			dead++
		}
	}
	net.Pause(net.Nodes[5])
	net.Run(3 * time.Second)
	net.Resume(net.Nodes[5])
	net.Run(20 * time.Second)
	checkAgreement(t, net)
	if dead > 0 {
		t.Errorf("%d findings that a member is dead which is not", dead)
	}
}

// One that is stopped and goes on contradicts; its word, which all tell on, passes one member by. That one asks it
// before it takes it for dead.
func TestWordThatPassesOneBy(t *testing.T) {
	for seed := range uint64(20) {
		net := newConvergedFleet(t, 12, seed)
		net.Intercept = func(n *Node, m *gossip.Transmit) bool {
			told := slices.ContainsFunc(m.Message.Records, func(r gossip.Record) bool { return r.Name == "n5" && r.Incarnation > 1 })
			return !(told && m.To == "n7" && n.Name != "n5")
		}
		net.Changed = func(n *Node, m gossip.Member) {
			if m.State == gossip.Dead {
				t.Errorf("seed %d: %s takes %s for dead", seed, n.Name, m.Name)
			}
		}
		net.Pause(net.Nodes[5])
		net.Run(3 * time.Second)
		net.Resume(net.Nodes[5])
		net.Run(10 * time.Second)
		checkAgreement(t, net)
	}
}

func TestPartitionHeals(t *testing.T) {
	net := newConvergedFleet(t, 12, 4)
	for _, n := range net.Nodes[:5] {
		n.Partition = 1
	}
	net.Run(40 * time.Second)
	if got := net.Nodes[0].Core.NumMembers(); got != 5 {
		t.Errorf("the smaller side counts %d members, want 5", got)
	}
	for _, n := range net.Nodes {
		n.Partition = 0
	}
	net.Run(40 * time.Second)
	checkAgreement(t, net)
	checkRateLimit(t, net)
}

// One that claims all day that everybody is dead has nobody counted dead.
func TestLiarAboutMembers(t *testing.T) {
	net := newConvergedFleet(t, 12, 5)
	dead := 0
	net.Changed = func(n *Node, m gossip.Member) {
		if m.State >= gossip.Dead {
			dead++
		}
	}
	liar := net.Nodes[7]
	for range 300 {
		for _, o := range net.Nodes {
			var claims []gossip.Claim
			for _, m := range liar.Core.Members() {
				claims = append(claims, gossip.Claim{Name: m.Name, Epoch: m.Epoch, Incarnation: m.Incarnation, State: gossip.Dead})
			}
			if o != liar {
				net.Send(liar, o.Addr, &gossip.Message{Kind: gossip.Gossip, Claims: claims})
			}
		}
		net.Run(100 * time.Millisecond)
	}
	net.Run(15 * time.Second)
	checkAgreement(t, net)
	if dead > 0 {
		t.Errorf("%d findings that a member is dead which is not", dead)
	}
}

// The later of two with one name stays; the earlier falls silent.
func TestUsurped(t *testing.T) {
	net := newConvergedFleet(t, 4, 6)
	older := net.Nodes[2].Core
	acts := older.Step(net.Now, []gossip.Event{gossip.Received{
		From: "n2", Epoch: net.Nodes[2].Epoch + 1,
		Message: &gossip.Message{Kind: gossip.Ping, Nonce: 1},
	}})
	if len(acts) != 1 || acts[0] != (gossip.NameConflict{Epoch: net.Nodes[2].Epoch + 1}) {
		t.Errorf("actions %v", acts)
	}
	if acts := older.Step(net.Now+10*time.Second, nil); len(acts) > 0 {
		t.Errorf("it goes on: %v", acts)
	}
}

// A statement reaches all, once each, and no more is sent than is allowed.
func TestStatements(t *testing.T) {
	net := newConvergedFleet(t, 40, 7)
	heard := map[string]int{}
	net.Heard = func(n *Node, s gossip.Statement) { heard[n.Name+fmt.Sprint(s.Seq)]++ }
	for seq := range uint64(10) {
		net.Tell(net.Nodes[0], gossip.Say{Statement: gossip.Statement{
			Name: "n0", Epoch: 1, Seq: seq + 1, Body: make([]byte, 400),
			Cert: make([]byte, 350), Sig: make([]byte, 64),
		}})
		net.Run(3 * time.Second)
	}
	missed := 0
	for _, n := range net.Nodes[1:] {
		for seq := range 10 {
			switch heard[n.Name+fmt.Sprint(seq+1)] {
			case 0:
				missed++
			case 1:
			default:
				t.Errorf("%s heard statement %d more than once", n.Name, seq+1)
			}
		}
	}
	if missed > 0 {
		t.Errorf("%d of %d statements did not arrive", missed, 390)
	}
	checkRateLimit(t, net)
}

// Whatever happens, what is sent is bounded, what is held too, and after the last fault all agree again.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net := New(rapid.IntRange(3, 12).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"), testConfig)
		net.Loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
		for _, n := range net.Nodes {
			net.Start(n, net.Nodes...)
		}
		net.Run(10 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			n := net.Nodes[rapid.IntRange(0, len(net.Nodes)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				net.Kill(n)
			case 1:
				net.Start(n, net.Nodes...)
			case 2:
				net.Pause(n)
			case 3:
				net.Resume(n)
			case 4:
				n.Partition = 1 - n.Partition
			case 5:
				net.Send(n, net.Nodes[0].Addr, &gossip.Message{
					Kind:  gossip.Kind(rapid.IntRange(1, 5).Draw(t, "kind")),
					Nonce: 1, Target: "n1", Claims: []gossip.Claim{{Name: "n1", Epoch: net.Nodes[1].Epoch, Incarnation: 1, State: gossip.Dead}},
					Want: []string{"n0", "gone"}, Summaries: []gossip.Claim{{Name: "who"}},
				})
			}
			net.Run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "wait")) * time.Millisecond)
		}
		net.Loss = 0
		for _, n := range net.Nodes {
			n.Partition = 0
			if n.Paused {
				net.Resume(n)
			}
		}
		net.Run(90 * time.Second)
		if o := firstDisagreement(net); o != "" {
			t.Errorf("no agreement after the last fault: %s", o)
		}
		for _, n := range net.Nodes {
			if n.Window > testConfig.Messages {
				t.Errorf("%s sent %d messages in a second", n.Name, n.Window)
			}
			if n.Core != nil && len(n.Core.Members()) > len(net.Nodes) {
				t.Errorf("%s holds %d members of %d", n.Name, len(n.Core.Members()), len(net.Nodes))
			}
		}
	})
}

// Members that ask all the time, want records and tell of members that do not exist leave the others their answers:
// nobody is taken for suspect, and no more is sent than is allowed.
func TestAskedAllTheTime(t *testing.T) {
	net := newConvergedFleet(t, 12, 8)
	dead := 0
	net.Changed = func(n *Node, m gossip.Member) {
		if m.State >= gossip.Suspect {
			dead++
		}
	}
	victim := net.Nodes[0]
	for i := range 2000 {
		for _, liar := range net.Nodes[1:4] {
			net.Send(liar, victim.Addr, &gossip.Message{Kind: gossip.Ping, Nonce: uint64(i)})
			net.Send(liar, victim.Addr, &gossip.Message{Kind: gossip.IndirectPing, Nonce: uint64(i), Target: "n9"})
			net.Send(liar, victim.Addr, &gossip.Message{Kind: gossip.Gossip, Want: []string{"n0", "n5", "n6"}})
		}
		net.Run(10 * time.Millisecond)
	}
	if o := firstDisagreement(net); o != "" || dead > 0 {
		t.Errorf("%d findings that a member is suspect which is well; %s", dead, o)
	}
	checkRateLimit(t, net)
}
