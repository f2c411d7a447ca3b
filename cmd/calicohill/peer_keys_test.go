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

// reloadGossip adds lines to the gossip section of an instance's operator's file and makes the instance reload it.
func reloadGossip(t *testing.T, instance *process.Instance, lines string) {
	t.Helper()
	if err := instance.WriteOperatorFile(instance.OperatorFile(lines)); err != nil {
		t.Fatal(err)
	}
	if err := instance.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

// expectNewAuthorityApplied makes the unrevoked members trust a second authority, and expects a member whose key it
// issued to join.
func expectNewAuthorityApplied(t *testing.T, fleet, unrevoked *process.Fleet) {
	t.Helper()
	newAuthority, err := pki.NewAuthority("lab", time.Now().Add(-time.Minute), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(fleet.Dir, "next.crt"), pki.EncodeCertificate(newAuthority.Cert), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, instance := range fleet.Instances[:3] {
		reloadGossip(t, instance, "  revoked fleet.revoked\n  authority next.crt\n")
	}
	waitForAll(t, unrevoked, "the new authority is applied", func(instance *process.Instance) bool { return instance.CountMessages("gossip settings reloaded") == 2 })
	fleet.Instances[3].Kill()
	if err := fleet.Instances[3].WriteNewKey(newAuthority); err != nil {
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

// expectEarlierDuplicateStops starts a second scheduler with the name and the key of n1 at other addresses, and expects
// n1, which started earlier, to stop its gossip.
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

// A reload of the gossip section removes a peer whose certificate was revoked, adds a new authority, and fails if the
// key file is readable by other users. Of two schedulers with the same name and key, the one that started earlier stops
// its gossip. Guards against a fleet that keeps a revoked member, or two members with one name.
func TestPeerKeys(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 4, 2)
	authorityKey := filepath.Join(fleet.Dir, "authority.key")
	if err := pki.WriteKeyFile(authorityKey, fleet.Authority.Key, fleet.Authority.Cert); err != nil {
		t.Fatal(err)
	}
	revocationList := filepath.Join(fleet.Dir, "fleet.revoked")
	if out, exitCode := runCommandLine(t, "key", "revoke", fleet.Instances[3].KeyPath, "--authority", authorityKey, "--list", revocationList); exitCode != 0 {
		t.Fatalf("revoke: %s", out)
	}
	for _, instance := range fleet.Instances[:3] {
		reloadGossip(t, instance, "  revoked fleet.revoked\n")
	}
	unrevoked := &process.Fleet{Instances: fleet.Instances[:3]}
	waitForAll(t, unrevoked, "the revoked member is removed", func(instance *process.Instance) bool {
		return hasLogLine(instance, "peer removed: its certificate is no longer valid", "peer", "n3")
	})

	expectNewAuthorityApplied(t, fleet, unrevoked)

	// A key file that is readable by other users is rejected.
	if err := os.Chmod(fleet.Instances[0].KeyPath, 0o644); err != nil {
		t.Fatal(err)
	}
	reloadGossip(t, fleet.Instances[0], "  revoked fleet.revoked\n")
	waitForAll(t, &process.Fleet{Instances: fleet.Instances[:1]}, "a key file that is readable by other users is rejected", func(instance *process.Instance) bool {
		return strings.Contains(instance.Log.String(), "0600 is needed")
	})

	expectEarlierDuplicateStops(t, fleet)
}

// The subcommands of key create, show and revoke keys. Guards against private keys that other users can read.
func TestKeyCommands(t *testing.T) {
	dir := t.TempDir()
	inDir := func(name string) string { return filepath.Join(dir, name) }
	if err := os.WriteFile(inDir("open.key"), nil, 0o644); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		args     []string
		exitCode int
		output   string
	}{
		{[]string{"authority", "f", "--out", inDir("fleet")}, 0, "signs for fleet f"},
		{[]string{"authority", "f", "--out", inDir("fleet")}, 1, "exists"},
		{[]string{"authority", "a b"}, 1, "letters"},
		{[]string{"issue", "n1", "--authority", inDir("fleet.key"), "--out", inDir("n1.key")}, 0, "is n1 of fleet f"},
		{[]string{"issue", "n2", "--authority", inDir("n1.key")}, 1, "n1.key is a member key, not an authority key"},
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
		out, exitCode := runCommandLine(t, append([]string{"key"}, tt.args...)...)
		if exitCode != tt.exitCode || !strings.Contains(out, tt.output) {
			t.Errorf("key %v: exit code %d, want %d and %q in:\n%s", tt.args, exitCode, tt.exitCode, tt.output, out)
		}
	}
	for name, want := range map[string]os.FileMode{"fleet.key": 0o600, "n1.key": 0o600, "fleet.crt": 0o644} {
		if info, err := os.Stat(inDir(name)); err != nil || info.Mode().Perm() != want {
			t.Errorf("%s: mode %v, %v; want %v", name, info.Mode(), err, want)
		}
	}
}
