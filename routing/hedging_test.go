package routing

import "testing"

func TestSecondCopies(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  []func(*Settings)
		sends   bool
		cancels bool
	}{
		{"allowed", []func(*Settings){hedgingAllowed}, true, false},
		{"not allowed", nil, false, true},
		{"allowed, but unsafe", []func(*Settings){hedgingAllowed, nonIdempotent}, false, false},
		{"neither copies nor cancels", []func(*Settings){cancelForbidden}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t, settings(c.change...), readyWorkers(4)...)
			b.send("a", "f")
			b.send("b", "f")
			acts := b.wait(2800 * millisecond) // past a load's patience, with two calls unanswered
			if got := len(actionsOf[Send](acts)) > 0; got != c.sends {
				t.Errorf("second copies: %v, want %v", got, c.sends)
			}
			if got := len(actionsOf[Cancel](acts)) > 0; got != c.cancels {
				t.Errorf("cancels: %v, want %v", got, c.cancels)
			}
		})
	}
}
