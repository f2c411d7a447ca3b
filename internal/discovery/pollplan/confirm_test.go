package pollplan_test

import (
	"slices"
	"testing"
	"time"

	"calicohill/internal/discovery/pollplan"
)

// withoutConfirm returns the actions without Confirm, which TestConfirm checks.
func withoutConfirm(actions []pollplan.Action) []pollplan.Action {
	return slices.DeleteFunc(slices.Clone(actions), func(action pollplan.Action) bool {
		_, isConfirm := action.(pollplan.Confirm)
		return isConfirm
	})
}

// confirmations returns the times of the Confirm actions.
func confirmations(actions []pollplan.Action) (times []time.Duration) {
	for _, action := range actions {
		if confirm, ok := action.(pollplan.Confirm); ok {
			times = append(times, confirm.AsOf)
		}
	}
	return times
}

// TestConfirm guards against an endpoint list that is confirmed for a time at which a drain may have been missing from
// it. A response confirms the list as of the time when its poll was sent. A response without updates after the poll's
// timeout confirms it as of the timeout. An incomplete response and a restored list confirm nothing.
func TestConfirm(t *testing.T) {
	const now = time.Hour
	const wait = pollplan.PollTimeout // poll timeout of a single scheduler
	for _, tt := range []struct {
		name    string
		started pollplan.Started
		after   time.Duration // from the poll to its response
		answer  pollplan.Answered
		want    []time.Duration // confirmations at startup and after the response
	}{
		{"no list yet", pollplan.Started{}, wait, pollplan.Answered{Conn: 1}, []time.Duration{now + wait}},
		{"configured list", pollplan.Started{HasEndpoints: true}, wait, pollplan.Answered{Conn: 1}, []time.Duration{now, now + wait}},
		{"restored list", pollplan.Started{HasEndpoints: true, Restored: true}, 1, pollplan.Answered{Conn: 1}, []time.Duration{0, now}},
		{"late response", pollplan.Started{}, wait + 300*time.Millisecond, pollplan.Answered{Conn: 1}, []time.Duration{now + wait}},
		{"early response without updates", pollplan.Started{}, wait / 2, pollplan.Answered{Conn: 1}, []time.Duration{now}},
		{"response with updates", pollplan.Started{}, wait, pollplan.Answered{Conn: 1, HasUpdates: true}, []time.Duration{now}},
		{"incomplete response", pollplan.Started{}, wait, pollplan.Answered{Conn: 1, HasUpdates: true, Incomplete: true}, nil},
		{"response to another connection", pollplan.Started{}, wait, pollplan.Answered{Conn: 2}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			planner := pollplan.New(1, time.Second, 1)
			got := confirmations(planner.Step(now, tt.started))
			got = append(got, confirmations(planner.Step(now, pollplan.Connected{Conn: 1}))...)
			got = append(got, confirmations(planner.Step(now+tt.after, tt.answer))...)
			if !slices.Equal(got, tt.want) {
				t.Errorf("confirmed %v, want %v", got, tt.want)
			}
		})
	}
}

// TestPollsKeepListConfirmed guards against long polls that let the confirmation of the list expire although the
// service answers each poll.
func TestPollsKeepListConfirmed(t *testing.T) {
	const schedulers = 300 // a fleet of this size uses the longest poll timeout while the service is slow
	now := time.Hour
	planner := pollplan.New(schedulers, time.Second, 1)
	planner.Step(now, pollplan.Started{})
	confirmedAt := now
	actions := planner.Step(now, pollplan.Connected{Conn: 1})
	for range 50 {
		wait := pollTimeout(t, actions)
		now += wait - time.Millisecond // an update arrives just before the timeout
		actions = planner.Step(now, pollplan.Answered{Conn: 1, HasUpdates: true})
		for _, at := range confirmations(actions) {
			confirmedAt = at
		}
		if age := now - confirmedAt; age > 6*time.Second {
			t.Fatalf("the list was last confirmed %v ago although each poll was answered", age)
		}
		if next, ok := planner.Next(); ok && len(withoutConfirm(actions)) == 0 {
			now = next
			actions = planner.Step(now)
		}
	}
}

// pollTimeout returns the timeout of the Poll in the actions.
func pollTimeout(t *testing.T, actions []pollplan.Action) time.Duration {
	t.Helper()
	for _, action := range actions {
		if poll, ok := action.(pollplan.Poll); ok {
			return poll.Timeout
		}
	}
	t.Fatalf("no Poll in actions %v", actions)
	return 0
}
