package operatorfile

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"calicohill/internal/runtime/logging"
)

// writeFiles writes files to a new temporary directory and returns the directory. Files that end in .key have mode
// 0600.
func writeFiles(t *testing.T, texts map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range texts {
		mode := os.FileMode(0o644)
		if strings.HasSuffix(name, ".key") {
			mode = 0o600
		}
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), mode); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// mainFile includes includedFile.
const mainFile = `log
    format json   # for the collector
    level  warning
    level  debug gossip
include peers.conf
`

const includedFile = "gossip\r\n\tlisten 127.0.0.1:7946\r\n\tfleet \"gt-registros\"\r\n\tkey n1.key\r\n\tauthority fleet.crt\r\n" +
	"\tseed 127.0.0.1:7947\r\n\tseed [::1]:7948\r\n\tprobe-every 500ms\r\n\tleave-out 12.5%\r\n\tliars 2\r\n"

// TestRead guards against directives, defaults and included files that are not read, or read into the wrong field.
func TestRead(t *testing.T) {
	dir := writeFiles(t, map[string]string{"a.conf": mainFile, "peers.conf": includedFile, "n1.key": "", "fleet.crt": ""})
	got, err := Read(filepath.Join(dir, "a.conf"))
	if err != nil {
		t.Fatal(err)
	}
	want := &Settings{
		Log: Log{Settings: logging.Settings{JSON: true, Level: "warning", Levels: map[string]string{"gossip": "debug"}}},
		Gossip: &Gossip{
			Listen: parseAddress("127.0.0.1:7946"), Advertise: parseAddress("127.0.0.1:7946"), Fleet: "gt-registros",
			Key: filepath.Join(dir, "n1.key"), Authorities: []string{filepath.Join(dir, "fleet.crt")},
			ProbeInterval: 500 * time.Millisecond, ProbeTimeout: 300 * time.Millisecond, SuspicionTimeout: 5 * time.Second,
			MaxMessagesPerSecond: 20, MaxSignatureChecksPerSecond: 400, ClockSkew: 5 * time.Second, AuthorityOverlap: 10 * time.Minute, MaxByzantine: 2,
			MaxEjectedFraction: 0.125, FaultReportExpiry: 10 * time.Second,
		},
	}
	want.Gossip.Seeds = append(want.Gossip.Seeds, parseAddress("127.0.0.1:7947"), parseAddress("[::1]:7948"))
	if d := cmp.Diff(want, got, cmp.Comparer(func(a, b interface{ String() string }) bool { return a.String() == b.String() })); d != "" {
		t.Error(d)
	}
}

// checkErrors reads a file and compares its errors with want. File names in want are relative to dir.
func checkErrors(t *testing.T, dir, file string, want ...string) {
	t.Helper()
	_, err := Read(filepath.Join(dir, file))
	var errs ParseErrors
	if !errors.As(err, &errs) {
		t.Fatalf("%s: error %v", file, err)
	}
	if d := cmp.Diff(want, strings.Split(strings.ReplaceAll(errs.Error(), dir+"/", ""), "\n")); d != "" {
		t.Error(d)
	}
}

// TestAllErrorsAreReported guards against errors that are reported only after others are corrected, or with a wrong
// position.
func TestAllErrorsAreReported(t *testing.T) {
	dir := writeFiles(t, map[string]string{"a.conf": `    format text
log
    formt json
    level loud
    level info clients extra
    format "json
    format json
    format text
logs
    level info
gossip
    listen 127.0.0.1
    fleet a/b
    key n1.key
    probe-every 2
    probe-timeout 1d
    messages 1e2
    leave-out 60%
include a.conf
include gone.conf
log
`, "open.key": "", "b.conf": "gossip\n  listen 127.0.0.1:1\n  fleet f\n  key open.key\n  authority f.crt\n" +
		"  probe-every 200ms\n  advertise 0.0.0.0:1\n"})
	checkErrors(t, dir, "a.conf",
		`a.conf:1:5: format: directive outside any section`,
		`a.conf:3:5: formt: unknown directive in section log; did you mean "format"?`,
		`a.conf:4:11: level: "loud" is not one of debug, info, warning, error`,
		`a.conf:5:24: level: unexpected argument "extra"; usage: level LEVEL [PART]`,
		`a.conf:6:12: missing closing quote`,
		`a.conf:8:5: format: duplicate directive, first in a.conf:7`,
		`a.conf:9:1: unknown section "logs"; directives must be indented; did you mean "log"?`,
		`a.conf:12:12: listen: "127.0.0.1" is not a valid address: expected an IP address and a port, such as 127.0.0.1:7946`,
		`a.conf:13:11: fleet: "a/b" is not a valid name: expected letters, digits, '-', '_' and '.', at most 64 bytes`,
		`a.conf:15:17: probe-every: "2" is not a valid duration: expected a duration from 100ms to 1m0s, such as 300ms`,
		`a.conf:16:19: probe-timeout: 1d is out of range: expected a duration from 10ms to 10s, such as 300ms`,
		`a.conf:17:14: messages: "1e2" is not a valid number: expected a whole number from 5 to 1000`,
		`a.conf:18:15: leave-out: 60% is out of range: expected a percentage from 0% to 50%`,
		`a.conf:19:1: include: a.conf includes itself`,
		`a.conf:20:1: include: stat gone.conf: no such file or directory`,
		`a.conf:21:1: duplicate section log, first in a.conf:2`,
		`a.conf:11:1: authority: required in section gossip: authority FILE`)
	if err := os.Chmod(filepath.Join(dir, "open.key"), 0o640); err != nil {
		t.Fatal(err)
	}
	checkErrors(t, dir, "b.conf",
		`b.conf:1:1: probe-timeout: must be less than probe-every`,
		`b.conf:7:3: advertise: peers can't reach the unspecified address 0.0.0.0: use an address of this machine`,
		`b.conf:4:3: key: mode 0640 allows others to read the key: 0600 is needed`,
		`b.conf:5:3: authority: no such file or directory`)
}

// TestGeneratedFilesAreCurrent guards against an example or a page that differs from the directives, an example that
// changes a setting, and defaults or examples that do not parse.
func TestGeneratedFilesAreCurrent(t *testing.T) {
	for file, want := range map[string]string{
		"../../../deploy/calicohill.conf":     Example(),
		"../../../docs/operators/settings.md": Page(),
	} {
		got, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(want, string(got)); d != "" {
			t.Errorf("%s is not what is generated from the directives; run make generate:\n%s", file, d)
		}
	}
	got, err := Read("../../../deploy/calicohill.conf")
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(Defaults(), got); d != "" {
		t.Errorf("the example changes settings: %s", d)
	}
	for _, directive := range Directives {
		for _, text := range []string{directive.Default, directive.Example} {
			if text == "" {
				continue
			}
			if len(directive.Args) > 1 && !directive.Args[1].Optional {
				text, _, _ = strings.Cut(text, " ")
			}
			if _, err := directive.Args[0].parse(token{text: text}, ""); err != nil {
				t.Errorf("%s: default or example: %v", directive.Name, err)
			}
		}
	}
}

// FuzzParse guards against errors that are not ParseErrors or lack a position or a reason, for arbitrary files.
func FuzzParse(f *testing.F) {
	f.Add(mainFile)
	f.Add(includedFile)
	f.Add("log\n level \"a\\\"b\" # c\n")
	f.Fuzz(func(t *testing.T, text string) {
		file := filepath.Join(t.TempDir(), "f")
		if err := os.WriteFile(file, []byte(strings.ReplaceAll(text, "include", "log")), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := parse(file)
		var errs ParseErrors
		if err != nil && !errors.As(err, &errs) {
			t.Fatalf("error %v", err)
		}
		for _, parseError := range errs {
			if parseError.Line < 1 || parseError.Column < 1 || parseError.Reason == "" {
				t.Errorf("error without a position or a reason: %+v", parseError)
			}
		}
	})
}

// TestRules guards against named sections that are accepted with an invalid or duplicate name, and against expressions
// that are cut at quotes or comments or have a wrong position.
func TestRules(t *testing.T) {
	dir := writeFiles(t, map[string]string{"a.conf": `match one
    when   handler.startsWith("a # b") && 'x"y' != path # a comment
    class  certificado
    label  centre param["A"] + "#"
    stop
match two
`, "b.conf": "match\nmatch a b\nmatch a/b\nmatch a\nmatch a\n  stop now\n  label x\n  when handlr == 1\n  key \"a\" + 1\n"})
	got, err := Read(filepath.Join(dir, "a.conf"))
	if err != nil {
		t.Fatal(err)
	}
	one := got.Rules[0]
	if len(got.Rules) != 2 || one.When.Source != `handler.startsWith("a # b") && 'x"y' != path` || one.When.Column != 12 ||
		one.Class.Source != "certificado" || len(one.Labels) != 1 || one.Labels[0].Value.Source != `param["A"] + "#"` ||
		one.Labels[0].Value.Column != 19 || !one.Stop || got.Rules[1].Name != "two" || got.Rules[1].Stop {
		t.Errorf("rules %+v", got.Rules)
	}
	_, err = Read(filepath.Join(dir, "b.conf"))
	want := []string{
		"b.conf:1:1: section match needs a name: match RULE",
		"b.conf:2:1: section match needs a name: match RULE",
		"b.conf:3:7: section match: \"a/b\" is not a valid name: expected letters, digits, '-', '_' and '.', at most 64 bytes",
		"b.conf:5:1: duplicate section match a, first in b.conf:4",
		`b.conf:6:8: stop: unexpected argument "now"; usage: stop`,
		"b.conf:7:3: label: missing argument VALUE: an expression of up to 2048 bytes, to the end of the line",
	}
	if d := cmp.Diff(want, strings.Split(strings.ReplaceAll(err.Error(), dir+"/", ""), "\n")); d != "" {
		t.Error(d)
	}
	if err := os.WriteFile(filepath.Join(dir, "c.conf"), []byte("match a\n  when handlr == 1\n  key \"a\" + 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	set, err := Read(filepath.Join(dir, "c.conf"))
	if err != nil {
		t.Fatal(err)
	}
	_, err = set.Compile(nil)
	var errs ParseErrors
	if !errors.As(err, &errs) || len(errs) != 2 || errs[0].Line != 2 || errs[0].Column != 8 || errs[1].Line != 3 || errs[1].Column != 11 {
		t.Errorf("errors %v", err)
	}
}
