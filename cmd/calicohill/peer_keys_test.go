package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"calicohill/internal/fleet/pki"
	"calicohill/internal/testbed/process"
)

// reloadGossip writes more lines into the gossip section of an instance's operator's file and has it read again.
func reloadGossip(t *testing.T, instance *process.Instance, more string) {
	t.Helper()
	if err := instance.WriteOperatorFile(instance.OperatorFile(more)); err != nil {
		t.Fatal(err)
	}
	if err := instance.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

// expectNewAuthorityApplied adds a new authority beside the old one, and expects a member with a key of it to join.
func expectNewAuthorityApplied(t *testing.T, fleet, trusting *process.Fleet) {
	t.Helper()
	next, err := pki.NewAuthority("lab", time.Now().Add(-time.Minute), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(fleet.Dir, "next.crt"), pki.EncodeCertificate(next.Cert), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, instance := range fleet.Instances[:3] {
		reloadGossip(t, instance, "  revoked fleet.revoked\n  authority next.crt\n")
	}
	waitForAll(t, trusting, "the new authority is applied", func(instance *process.Instance) bool { return instance.CountMessages("gossip settings reloaded") == 2 })
	fleet.Instances[3].Kill()
	if err := fleet.Instances[3].WriteNewKey(next); err != nil {
		t.Fatal(err)
	}
	if err := fleet.Instances[3].WriteOperatorFile(fleet.Instances[3].OperatorFile("  authority next.crt\n")); err != nil {
		t.Fatal(err)
	}
	if err := fleet.Instances[3].Start(); err != nil {
		t.Fatal(err)
	}
	waitUntilJoined(t, fleet, 4)
}

// expectEarlierDuplicateStops starts a second scheduler with the name and the key of n1, at other addresses, and
// expects n1, the earlier of the two, to stop its gossip.
func expectEarlierDuplicateStops(t *testing.T, fleet *process.Fleet) {
	t.Helper()
	duplicate := fleet.Instances[1].Duplicate()
	if err := duplicate.Move(); err != nil {
		t.Fatal(err)
	}
	if err := duplicate.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(duplicate.Kill)
	waitForAll(t, &process.Fleet{Instances: fleet.Instances[1:2]}, "the earlier of two schedulers with one name stops its gossip", func(instance *process.Instance) bool {
		return instance.CountMessages("name conflict: another scheduler with this name started later, gossip stopped") == 1
	})
}

// A reload of the gossip section drops a member with a revoked certificate, applies a new authority, and is refused if
// others may read the key file. Of two schedulers with one name and key, the earlier one stops its gossip.
func TestPeerKeys(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 4, 2)
	authority := filepath.Join(fleet.Dir, "authority.key")
	if err := pki.WriteKeyFile(authority, fleet.Authority.Key, fleet.Authority.Cert); err != nil {
		t.Fatal(err)
	}
	list := filepath.Join(fleet.Dir, "fleet.revoked")
	if out, exit := runCommandLine(t, "key", "revoke", fleet.Instances[3].KeyPath, "--authority", authority, "--list", list); exit != 0 {
		t.Fatalf("revoke: %s", out)
	}
	for _, instance := range fleet.Instances[:3] {
		reloadGossip(t, instance, "  revoked fleet.revoked\n")
	}
	trusting := &process.Fleet{Instances: fleet.Instances[:3]}
	waitForAll(t, trusting, "a revoked member is dropped", func(instance *process.Instance) bool {
		return hasLogLine(instance, "peer removed: its certificate is no longer valid", "peer", "n3")
	})

	expectNewAuthorityApplied(t, fleet, trusting)

	// A key file that others may read is refused.
	if err := os.Chmod(fleet.Instances[0].KeyPath, 0o644); err != nil {
		t.Fatal(err)
	}
	reloadGossip(t, fleet.Instances[0], "  revoked fleet.revoked\n")
	waitForAll(t, &process.Fleet{Instances: fleet.Instances[:1]}, "a key that others may read is refused", func(instance *process.Instance) bool {
		return strings.Contains(instance.Log.String(), "0600 is needed")
	})

	expectEarlierDuplicateStops(t, fleet)
}

// The commands below key create, show and revoke keys; private keys are readable by their owner alone.
func TestKeyCommands(t *testing.T) {
	dir := t.TempDir()
	inDir := func(name string) string { return filepath.Join(dir, name) }
	if err := os.WriteFile(inDir("open.key"), nil, 0o644); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		args []string
		exit int
		says string
	}{
		{[]string{"authority", "f", "--out", inDir("fleet")}, 0, "signs for fleet f"},
		{[]string{"authority", "f", "--out", inDir("fleet")}, 1, "exists"},
		{[]string{"authority", "a b"}, 1, "letters"},
		{[]string{"issue", "n1", "--authority", inDir("fleet.key"), "--out", inDir("n1.key")}, 0, "is n1 of fleet f"},
		{[]string{"issue", "n2", "--authority", inDir("n1.key")}, 1, "the key of a member"},
		{[]string{"issue", "n2"}, 2, "--authority is required"},
		{[]string{"issue", "n2", "--authority", inDir("open.key")}, 1, "0600 is needed"},
		{[]string{"show", inDir("n1.key")}, 0, "member n1 of fleet [f]"},
		{[]string{"show", inDir("fleet.crt")}, 0, "authority of fleet [f]"},
		{[]string{"revoke", inDir("n1.key"), "--authority", inDir("fleet.key"), "--list", inDir("list")}, 0, "holds 1 certificates"},
		{[]string{"revoke", "ff01", "--authority", inDir("fleet.key"), "--list", inDir("list")}, 0, "holds 2 certificates"},
		{[]string{"show", inDir("list")}, 0, "  ff01 since"},
		{[]string{"revoke", "zz", "--authority", inDir("fleet.key"), "--list", inDir("list")}, 1, "no such file"},
		{nil, 2, "one of authority, issue, show, revoke"},
	} {
		out, exit := runCommandLine(t, append([]string{"key"}, tt.args...)...)
		if exit != tt.exit || !strings.Contains(out, tt.says) {
			t.Errorf("key %v: exit code %d, want %d and %q in:\n%s", tt.args, exit, tt.exit, tt.says, out)
		}
	}
	for name, want := range map[string]os.FileMode{"fleet.key": 0o600, "n1.key": 0o600, "fleet.crt": 0o644} {
		if info, err := os.Stat(inDir(name)); err != nil || info.Mode().Perm() != want {
			t.Errorf("%s: mode %v, %v; want %v", name, info.Mode(), err, want)
		}
	}
}
