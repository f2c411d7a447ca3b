package scenario_test

import (
	"testing"
	"time"

	"calicohill/internal/testbed/scenario"
)

// A seed gives the same scenario each time, in the form that Parse reads; the faults end before the recovery, and different
// seeds differ.
func TestRandom(t *testing.T) {
	const duration = 30 * time.Second
	scripts := map[string]uint64{}
	for seed := range uint64(200) {
		script := scenario.Random(seed, duration).String()
		if again := scenario.Random(seed, duration).String(); again != script {
			t.Fatalf("seed %d: another scenario the second time", seed)
		}
		parsed, err := scenario.Parse(script)
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, script)
		}
		if parsed.String() != script {
			t.Errorf("seed %d: parsed as\n%s\nof\n%s", seed, parsed, script)
		}
		if last := parsed[len(parsed)-1]; last.Verb != "term" || last.At >= duration {
			t.Errorf("seed %d: ends with %v", seed, last)
		}
		if other, ok := scripts[script]; ok {
			t.Errorf("seeds %d and %d are alike", other, seed)
		}
		scripts[script] = seed
	}
}
