//go:build faults

package quota

import (
	"strings"
	"testing"
)

// The checker finds each fault that is built in on purpose.
func TestFaultsAreFound(t *testing.T) {
	defer func() { seeded = noFault }()
	for seeded = ignoresPreviousStart; seeded <= usesLentUnits; seeded++ {
		found := false
		for _, r := range clockRateSets {
			for n := 1; n <= maxDepth && !found; n++ {
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
