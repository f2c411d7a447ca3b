//go:build faults

package quota

import (
	"strings"
	"testing"
	"time"
)

// The checker must detect every seeded fault; otherwise it could miss a real one.
func TestSeededFaultsAreFound(t *testing.T) {
	defer func() { seeded = noFault }()
	for seeded = ignoresPreviousIncarnation; seeded <= usesLentUnits; seeded++ {
		found := false
		for _, rates := range clockRateSets {
			if found {
				break
			}
			found = findsFault(t, rates)
		}
		if !found {
			t.Errorf("fault %d is not detected", seeded)
		}
	}
}

// findsFault reports whether a history of up to maxDepth events exceeds the budget at the given clock rates.
func findsFault(t *testing.T, rates []time.Duration) bool {
	t.Helper()
	for depth := 1; depth <= maxDepth; depth++ {
		if violation, states := explore(depth, rates...); violation != nil {
			t.Logf("fault %d detected after %d states, clock rates %v: %s", seeded, states, rates, strings.Join(violation, "; "))
			return true
		}
	}
	return false
}
