package main

import (
	"fmt"
	"os"
	"testing"

	"calicohill/internal/testbed/experiment"
)

// soakSeeds are seeds that together have each kind of fault, a crowd of clients (5), and clients with short deadlines (3, 6).
var soakSeeds = []uint64{3, 5, 6, 7}

// Faults that overlap, drawn from seeds: outages of the list service with drains in them, restarts and kills, signals in
// series, pauses, cut links and faults of workers. No rule is broken; a seed that breaks one is played by
// `testbed soak --seed`.
func TestSoak(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soak := experiment.Soak{
				Program: self, Env: []string{asProgramVariable + "=1"}, Dir: t.TempDir(),
				Instances: 4, Workers: 8, Seconds: 30, Rate: 60, Seed: seed,
			}
			result, err := soak.Run(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			t.Log(result.Summary())
			for _, broken := range result.RulesBroken {
				t.Error(broken)
			}
			if len(result.RulesBroken) > 0 {
				t.Logf("script:\n%s", result.Script)
			}
			if served := float64(result.Served) / float64(max(result.Offered, 1)); served < 0.5 {
				t.Errorf("%.2f served, want half", served)
			}
		})
	}
}
