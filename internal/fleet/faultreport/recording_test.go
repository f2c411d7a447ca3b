package faultreport_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"calicohill/internal/fleet/faultreport"
	"calicohill/routing"
)

// drawNames returns a random subset of n names. Each name is included with the given probability.
func drawNames(rng *rand.Rand, prefix string, n int, probability float64) []string {
	var names []string
	for i := range n {
		if rng.Float64() < probability {
			names = append(names, fmt.Sprint(prefix, i))
		}
	}
	return names
}

// drawEvent returns a random event in a fleet of eight members and twelve workers.
func drawEvent(t *testing.T, rng *rand.Rand, now time.Duration) faultreport.Event {
	t.Helper()
	member, worker := fmt.Sprint("n", rng.IntN(9)), fmt.Sprint("w", rng.IntN(14))
	switch kind := rng.IntN(100); {
	case kind < 30:
		at := now - time.Duration(rng.IntN(3000))*time.Millisecond
		return faultreport.FaultObserved{Worker: worker, Fault: routing.Fault(rng.IntN(5)), At: at}
	case kind < 32:
		return faultreport.EndpointsChanged{Workers: drawNames(rng, "w", 12, 0.9)}
	case kind < 34:
		return faultreport.MembersChanged{Names: drawNames(rng, "n", 8, 0.8)}
	case kind < 35:
		return faultreport.EquivocationDetected{From: member}
	case kind < 36:
		return faultreport.Configure{Config: faultreport.Config{
			MaxByzantine: rng.IntN(3) - 1, MaxEjectedFraction: 0.4, ReportTTL: time.Duration(3+rng.IntN(5)) * time.Second,
		}}
	}
	var reports []faultreport.Report
	for _, reported := range drawNames(rng, "w", 12, 0.25) {
		lastSeen := uint32(rng.IntN(1500))
		reports = append(reports, faultreport.Report{
			Worker: reported, Fault: routing.Fault(1 + rng.IntN(4)), FirstSeenAgo: lastSeen + uint32(rng.IntN(4000)), LastSeenAgo: lastSeen,
		})
	}
	body, err := faultreport.Encode(reports)
	if err != nil {
		t.Fatal(err)
	}
	return faultreport.StatementReceived{From: member, Body: body}
}

// The actions for random events with fixed seeds must match the recorded hashes.
func TestRecordedActions(t *testing.T) {
	for seed, want := range map[uint64]string{1: "28934947dc271335", 2: "14e0b307bfeb9eb6", 3: "e95a55b30125ef8f"} {
		rng := rand.New(rand.NewPCG(seed, 5))
		core := faultreport.New(faultreport.Config{MaxByzantine: -1, MaxEjectedFraction: 0.4, ReportTTL: 5 * time.Second})
		now := time.Hour
		var recorded bytes.Buffer
		kinds := map[string]int{}
		events := []faultreport.Event{
			faultreport.EndpointsChanged{Workers: drawNames(rng, "w", 12, 1)}, faultreport.MembersChanged{Names: drawNames(rng, "n", 8, 1)},
		}
		for range 20_000 {
			for _, action := range core.Step(now, events) {
				kinds[fmt.Sprintf("%T", action)]++
				fmt.Fprintf(&recorded, "%v %T %v\n", now, action, action)
			}
			fmt.Fprintln(&recorded, core.Next(), core.Quorum())
			now += time.Duration(rng.IntN(200)) * time.Millisecond
			events = nil
			for range rng.IntN(3) {
				events = append(events, drawEvent(t, rng, now))
			}
		}
		if got := fmt.Sprintf("%x", sha256.Sum256(recorded.Bytes()))[:16]; got != want {
			t.Errorf("seed %d: the actions hash to %s, want %s", seed, got, want)
		}
		if len(kinds) != 3 {
			t.Errorf("seed %d: actions %v, want all 3 types", seed, kinds)
		}
	}
}
