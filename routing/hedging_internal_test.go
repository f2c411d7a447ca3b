package routing

import "testing"

// Guards against hedges or cancellations of overdue attempts that the settings or the class forbid.
func TestHedging(t *testing.T) {
	for _, testCase := range []struct {
		name    string
		change  []func(*Settings)
		sends   bool
		cancels bool
	}{
		{"allowed", []func(*Settings){hedgingAllowed}, true, false},
		{"not allowed", nil, false, true},
		{"allowed, but non-idempotent", []func(*Settings){hedgingAllowed, nonIdempotent}, false, false},
		{"neither hedges nor cancels", []func(*Settings){cancelForbidden}, false, false},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			harness := newHarness(t, settings(testCase.change...), readyWorkers(4)...)
			harness.send("a", "f")
			harness.send("b", "f")
			// After this time both attempts are overdue, even including a load. One overdue attempt is not enough.
			acts := harness.wait(2800 * millisecond)
			if got := len(actionsOf[Send](acts)) > 0; got != testCase.sends {
				t.Errorf("hedged is %v, want %v", got, testCase.sends)
			}
			if got := len(actionsOf[Cancel](acts)) > 0; got != testCase.cancels {
				t.Errorf("canceled is %v, want %v", got, testCase.cancels)
			}
		})
	}
}
