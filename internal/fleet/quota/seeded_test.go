//go:build faults

package quota

import (
	"strings"
	"testing"
)

// The checker finds each fault that is built in on purpose.
func TestFaultsAreFound(t *testing.T) {
	defer func() { seeded = none }()
	for seeded = forgetsOnRestart; seeded <= keepsWhatItLent; seeded++ {
		found := false
		for _, r := range rates {
			for n := 1; n <= depth && !found; n++ {
				if course, states := explore(n, r...); course != nil {
					found = true
					t.Logf("fault %d after %d states, clocks %v: %s", seeded, states, r, strings.Join(course, "; "))
				}
			}
		}
		if !found {
			t.Errorf("fault %d is not found", seeded)
		}
	}
}
