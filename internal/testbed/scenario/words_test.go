package scenario_test

import (
	"reflect"
	"slices"
	"testing"

	"calicohill/internal/testbed/scenario"
)

// Guards against deprecated words of scripts that are rejected or change their meaning.
func TestDeprecatedWords(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct{ earlier, present string }{
		{"1s list well", "1s list healthy"},
		{"1s list refuse", "1s list refusing"},
		{"1s list silent", "1s list unresponsive"},
		{"1s list busy", "1s list overloaded"},
		{"1s list torn", "1s list truncating"},
		{"1s list crowded 0.1", "1s list rate_limited 0.1"},
		{"1s known old", "1s known stale"},
		{"1s workers sound 1", "1s workers healthy 1"},
		{"1s workers mute 1", "1s workers unresponsive 1"},
		{"1s workers stalls 1", "1s workers slow 1"},
		{"1s workers fails 1", "1s workers failing 1"},
		{"1s workers refuses 1", "1s workers refusing 1"},
		{"1s link whole 1 1", "1s link healthy 1 1"},
		{"1s link cut 1 1", "1s link partitioned 1 1"},
		{"1s link cut-there 1 1", "1s link partitioned_forward 1 1"},
		{"1s link cut-back 1 1", "1s link partitioned_backward 1 1"},
		{"1s link slow 1 1", "1s link throttled 1 1"},
		{"1s link far 1 1", "1s link high_latency 1 1"},
		{"1s link reset 1 1", "1s link connection_reset 1 1"},
		{"1s talk cut 1", "1s gossip partitioned 1"},
		{"1s roll 0.1 1s", "1s rolling_restart 0.1 1s"},
		{"1s break", "1s disconnect"},
		{"1s tell", "1s publish"},
		{"1s boot 1", "1s restart_workers 1"},
		{"1s jam 1s", "1s stall_store 1s"},
		{"1s replace 0.2 cold", "1s replace 0.2 warming_up"},
	} {
		if earlier, present := parse(t, tt.earlier), parse(t, tt.present); !reflect.DeepEqual(earlier, present) {
			t.Errorf("%q is parsed as %v, but %q as %v", tt.earlier, earlier, tt.present, present)
		}
	}
}

// Guards against a script whose steps differ from its original version in deprecated words, a deprecated name that selects
// another script, and deprecated names in the list of names.
func TestColdStartScripts(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct{ earlier, present, script string }{
		{"well", "healthy", "0s known full\n0s start 1\n8s tell"},
		{"empty", "empty_list", "0s known empty\n0s start 1\n8s tell"},
		{"old", "stale_list", "0s drain 0.2\n0s known old\n0s start 1\n8s tell"},
		{"refused", "connection_refused", "0s known full\n0s list refuse\n0s start 1\n10s list well"},
		{"busy", "overloaded", "0s known full\n0s list busy\n0s start 1\n10s list well"},
		{"crowded", "rate_limited", "0s drain 0.2\n0s known old\n0s list crowded 0.1\n0s start 1"},
		{"silent", "unresponsive_list", "0s known full\n0s start 1\n5s list silent\n19s list well"},
		{"broken", "disconnected", "0s known full\n0s start 1\n6s break\n12s break"},
		{"torn", "truncated", "0s known full\n0s start 1\n5s list torn\n5s drain 0.1\n9s list well"},
		{"roll", "rolling_restart", "0s known full\n0s start 1\n5s replace 0.2\n5s roll 0.1 1s\n16s tell"},
		{"herd", "thundering_herd", "0s known full\n0s start 1\n6s kill 0.7\n7s start 1"},
		{"mute", "unresponsive_workers", "0s known full\n0s start 1\n6s workers mute 0.2\n6s kill 0.7\n7s start 1\n12s workers sound 0.2"},
		{"cut", "partitioned_workers", "0s known full\n0s start 1\n6s link cut 1 0.2\n6s kill 0.7\n7s start 1\n12s link whole 1 0.2"},
		{"cold", "warming_workers", "0s boot 1\n0s known full\n0s start 1"},
		{"zone", "partitioned", "0s known full\n0s start 1\n6s link cut 0.3 1\n9s link whole 0.3 1"},
		{"reborn", "simultaneous_restart", "0s known full\n0s start 1\n6s boot 0.4\n6s kill 0.4\n7s start 1"},
		{"jammed", "stalled_store", "0s known full\n0s start 1\n6s boot 0.2\n6s jam 4s\n6s kill 0.7\n7s start 1"},
		{"split", "partitioned_gossip", "0s known full\n0s start 1\n4s talk lossy 0.3\n6s talk cut 0.3\n6s workers mute 0.2\n12s talk whole 1\n14s workers sound 0.2"},
		{"stopped", "paused_schedulers", "0s known full\n0s start 1\n6s stop 0.5\n11s cont 0.5"},
		{"slow", "slow_workers_and_list", "0s known full\n0s start 1\n5s workers stalls 0.3\n5s list crowded 0.2\n6s drain 0.1\n12s workers sound 0.3"},
	} {
		for _, name := range []string{tt.earlier, tt.present} {
			script, ok := scenario.ColdStartScript(name)
			if !ok {
				t.Errorf("no script %q", name)
				continue
			}
			if got, want := parse(t, script), parse(t, tt.script); !reflect.DeepEqual(got, want) {
				t.Errorf("%s: %v, want %v", name, got, want)
			}
		}
		names := scenario.ColdStartNames()
		if slices.Contains(names, tt.earlier) || !slices.Contains(names, tt.present) {
			t.Errorf("names %q, want %q and not %q", names, tt.present, tt.earlier)
		}
	}
}

// parse parses a valid script.
func parse(t *testing.T, script string) scenario.Scenario {
	t.Helper()
	steps, err := scenario.Parse(script)
	if err != nil {
		t.Fatal(err)
	}
	return steps
}
