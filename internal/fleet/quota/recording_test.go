package quota_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"calicohill/internal/fleet/quota"
)

// recordedFleet is a fleet in which statements may arrive late, repeatedly or never.
type recordedFleet struct {
	rng     *rand.Rand
	cores   []*quota.Core
	sent    []quota.StatementReceived
	actions map[string]int // by type
}

// drawEvents returns random events for a member.
func (f *recordedFleet) drawEvents(member int) []quota.Event {
	var events []quota.Event
	if f.rng.IntN(4) == 0 {
		events = append(events, quota.DemandChanged{Budget: fmt.Sprint("b", f.rng.IntN(2)), Units: int64(f.rng.IntN(80))})
	}
	for range min(len(f.sent), f.rng.IntN(4)) {
		latest := min(len(f.sent), 8)
		statement := f.sent[len(f.sent)-1-f.rng.IntN(latest)]
		if statement.From != fmt.Sprint("n", member) {
			events = append(events, statement)
		}
	}
	switch f.rng.IntN(200) {
	case 0:
		events = append(events, quota.FleetResized{FleetSize: 3 + f.rng.IntN(3)})
	case 1:
		events = append(events, quota.MemberRemoved{Name: fmt.Sprint("n", f.rng.IntN(4))})
	case 2:
		lent := quota.Statement{FleetSize: 4, Leases: []quota.Lease{{Budget: "b0", Borrower: "n0", BorrowerEpoch: 1, Units: 1 << 20}}}
		events = append(events, quota.StatementReceived{From: "n9", Epoch: 1, Statement: lent})
	}
	return events
}

// The actions of a fleet for random events with fixed seeds must match the recorded hashes.
func TestRecordedActions(t *testing.T) {
	for seed, want := range map[uint64]string{1: "b16fb475682dd397", 2: "e2087ed7e6c9e876"} {
		fleet := &recordedFleet{rng: rand.New(rand.NewPCG(seed, 9)), actions: map[string]int{}}
		for i := range 4 {
			core, err := quota.New(quota.Config{
				Self: fmt.Sprint("n", i), Epoch: 1, FleetSize: 4, LeaseDuration: 6 * time.Second, MaxClockDrift: 0.1,
				Budgets: []quota.Budget{{Name: "b0", Total: 100, HoldTime: time.Second}, {Name: "b1", Total: 40}},
			})
			if err != nil {
				t.Fatal(err)
			}
			fleet.cores = append(fleet.cores, core)
		}
		var recorded bytes.Buffer
		for now := time.Hour; now < 2*time.Hour; now += 500 * time.Millisecond {
			for i, core := range fleet.cores {
				for _, action := range core.Step(now, fleet.drawEvents(i)) {
					fleet.actions[fmt.Sprintf("%T", action)]++
					fmt.Fprintf(&recorded, "%v n%d %T %v\n", now, i, action, action)
					if broadcast, ok := action.(quota.Broadcast); ok {
						fleet.sent = append(fleet.sent, quota.StatementReceived{From: fmt.Sprint("n", i), Epoch: 1, Statement: broadcast.Statement})
					}
				}
				fmt.Fprintln(&recorded, core.Next())
			}
		}
		if got := fmt.Sprintf("%x", sha256.Sum256(recorded.Bytes()))[:16]; got != want {
			t.Errorf("seed %d: the actions hash to %s, want %s", seed, got, want)
		}
		if len(fleet.actions) != 3 {
			t.Errorf("seed %d: actions %v, want all 3 types", seed, fleet.actions)
		}
	}
}
