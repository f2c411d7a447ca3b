package transport

import (
	"errors"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"calicohill/internal/config/operatorfile"
	"calicohill/internal/fleet/gossip"
)

// TestPrepareErrors guards against queueing a reload with unreadable files or a different name or fleet.
func TestPrepareErrors(t *testing.T) {
	fleet := newTestFleet(t, testFleetName)
	fleet.issue("a", time.Now())
	fleet.issue("b", time.Now())
	other := newTestFleet(t, "other")
	other.issue("a", time.Now())
	otherFleet := other.settings("a")
	otherFleet.Fleet = "other"
	missing := fleet.settings("a")
	missing.Authorities = []string{fleet.path("none.crt")}
	node := fleet.open("a")
	for _, tt := range []struct {
		name     string
		settings operatorfile.Gossip
		want     string // substring of the error text
	}{
		{"no key file", fleet.settings("nobody"), fleet.path("nobody.key")},
		{"no authority file", missing, fleet.path("none.crt")},
		{"another name", fleet.settings("b"), "without a restart"},
		{"another fleet", otherFleet, "without a restart"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			apply, err := node.Prepare(tt.settings)
			if apply != nil || err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("Prepare: %v, want an error with %q", err, tt.want)
			}
		})
	}
	if len(node.calls) != 0 {
		t.Errorf("%d calls are queued, want none", len(node.calls))
	}
}

// TestReload guards against settings that take effect before they are applied, and against members that stay in the
// fleet after their certificate was revoked.
func TestReload(t *testing.T) {
	fleet := newTestFleet(t, testFleetName)
	fleet.issue("a", time.Now())
	revoked := fleet.issue("b", time.Now())
	nodeA, _ := fleet.join("a", "b")
	nodeA.messages()

	settings := fleet.settings("a")
	settings.Revoked = fleet.revoke(revoked)
	settings.Seeds = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9")}
	settings.AuthorityOverlap = time.Minute
	apply, err := nodeA.Prepare(settings)
	if err != nil {
		t.Fatal(err)
	}
	nodeA.runCalls()
	nodeA.step(nil)
	nodeA.wantMember("b", gossip.Alive)

	if err := apply(); err != nil {
		t.Fatal(err)
	}
	nodeA.runCalls()
	if members := nodeA.engine.core.Members(); len(members) != 0 {
		t.Errorf("members %v, want none", members)
	}
	if !slices.Equal(nodeA.engine.settings.Seeds, settings.Seeds) || nodeA.engine.settings.AuthorityOverlap != settings.AuthorityOverlap {
		t.Errorf("seeds %v and overlap %v, want %v and %v",
			nodeA.engine.settings.Seeds, nodeA.engine.settings.AuthorityOverlap, settings.Seeds, settings.AuthorityOverlap)
	}
	want := []string{"peer removed: its certificate is no longer valid", "peer left", "gossip settings reloaded"}
	if got := nodeA.messages(); !slices.Equal(got, want) {
		t.Errorf("log %q, want %q", got, want)
	}
}

// TestReloadWhileBusy guards against a reload that is dropped without an error if the call queue is full.
func TestReloadWhileBusy(t *testing.T) {
	fleet := newTestFleet(t, testFleetName)
	fleet.issue("a", time.Now())
	node := fleet.open("a")
	apply, err := node.Prepare(fleet.settings("a"))
	if err != nil {
		t.Fatal(err)
	}
	node.fillCalls()
	if err := apply(); !errors.Is(err, ErrBusy) {
		t.Errorf("apply with a full queue: %v, want %v", err, ErrBusy)
	}
	node.runCalls()
	if err := apply(); err != nil {
		t.Errorf("apply with an empty queue: %v, want success", err)
	}
}
