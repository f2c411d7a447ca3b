package scenario_test

import (
	"testing"
	"time"

	"calicohill/internal/testbed/scenario"
)

// Guards against random scenarios that are not reproducible from their seed, can't be parsed from their script, do not end
// with the shutdown of the schedulers, or are equal for two seeds.
func TestRandom(t *testing.T) {
	const duration = 30 * time.Second
	scripts := map[string]uint64{}
	for seed := range uint64(200) {
		script := scenario.Random(seed, duration).String()
		if again := scenario.Random(seed, duration).String(); again != script {
			t.Fatalf("seed %d: different scenario on the second call", seed)
		}
		parsed, err := scenario.Parse(script)
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, script)
		}
		if parsed.String() != script {
			t.Errorf("seed %d: parsed as\n%s\nwant\n%s", seed, parsed, script)
		}
		if last := parsed[len(parsed)-1]; last.Verb != "term" || last.At >= duration {
			t.Errorf("seed %d: ends with %v", seed, last)
		}
		if other, ok := scripts[script]; ok {
			t.Errorf("seeds %d and %d give the same scenario", other, seed)
		}
		scripts[script] = seed
	}
}
