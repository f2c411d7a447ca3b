package main

import (
	"fmt"
	"os"
	"testing"

	"calicohill/internal/testbed/experiment"
)

// soakSeeds together cover every kind of fault, a traffic surge (5), and requests with short deadlines (3, 6).
var soakSeeds = []uint64{3, 5, 6, 7}

// Guards against violations of the soak's rules under overlapping faults that are drawn from seeds: outages of the list
// service during which workers drain, restarts and kills, series of signals, pauses, cut links and worker faults.
// `testbed soak --seed` reproduces the run of a seed.
func TestSoak(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soak := experiment.Soak{
				Program: self, Env: programVariables(), Dir: t.TempDir(),
				Instances: 4, Workers: 8, Seconds: 30, Rate: 60, Seed: seed,
			}
			result, err := soak.Run(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			t.Log(result.Summary())
			for _, violation := range result.RulesBroken {
				t.Error(violation)
			}
			if len(result.RulesBroken) > 0 {
				t.Logf("script:\n%s", result.Script)
			}
			if served := float64(result.Served) / float64(max(result.Offered, 1)); served < 0.5 {
				t.Errorf("%.2f of the requests served, want at least 0.50", served)
			}
		})
	}
}
