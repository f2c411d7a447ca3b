package config

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"calicohill/internal/config/deployment"
	"calicohill/routing"

	"github.com/google/go-cmp/cmp"
)

// platformFile is a complete file as written by the platform. It has keys that Read ignores, such as limits.cores.
const platformFile = `{
	"name": "n0",
	"listen": "127.0.0.1:5050",
	"seed": "8c1f30d27a5be964",
	"limits": {"cores": 1.0, "memory_mb": 256.5, "sockets": 512},
	"bulletin": "127.0.0.1:4222",
	"known": {"events": [1, 2]},
	"settings": {
		"balancers": 3, "rank": 2, "tickMs": 4, "dcs": ["here"], "shapes": ["std"],
		"ceilings": {"attemptsCap": 4, "multiplex": 100, "idleCloseMs": 15000, "connectTimeoutMs": 250},
		"classes": [
			{"name": "consulta", "aimMs": 750, "hardLimitMs": 3000, "effect": "read_like"},
			{"name": "registro-horas", "aimMs": 600, "hardLimitMs": 2500, "effect": "idempotency_key",
			 "dedupScope": "zone", "memorySpanMs": 2500}
		],
		"tenants": [{"share": 0.5, "quotaPerS": 20}]
	}
}`

// writeFile writes a platform file to a temporary directory and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// platformFileWith returns platformFile with a different value for one key. The key is a path separated by dots. A nil
// value removes the key.
func platformFileWith(t *testing.T, key string, value any) string {
	t.Helper()
	var document map[string]any
	if err := json.Unmarshal([]byte(platformFile), &document); err != nil {
		t.Fatal(err)
	}
	object := document
	parts := strings.Split(key, ".")
	last := len(parts) - 1
	for _, part := range parts[:last] {
		inner, ok := object[part].(map[string]any)
		if !ok {
			t.Fatalf("%s: %q is not an object", key, part)
		}
		object = inner
	}
	if value == nil {
		delete(object, parts[last])
	} else {
		object[parts[last]] = value
	}
	text, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// classes returns the JSON value of otherwise valid classes with the given names.
func classes(names ...string) any {
	var list []any
	for _, name := range names {
		list = append(list, class("name", name))
	}
	return list
}

// class returns the JSON value of a valid class with a different value for one key.
func class(key string, value any) any {
	fields := map[string]any{"name": "a", "aimMs": 100, "hardLimitMs": 1000, "effect": "read_like"}
	fields[key] = value
	return fields
}

// TestRead guards against keys of the file that are not read, or read into the wrong field.
func TestRead(t *testing.T) {
	got, err := Read(writeFile(t, platformFile), "", "")
	if err != nil {
		t.Fatal(err)
	}
	want := &Config{
		Name:             "n0",
		Listen:           "127.0.0.1:5050",
		DiscoveryAddress: "127.0.0.1:4222",
		KnownEndpoints:   []byte(`{"events": [1, 2]}`),
		Seed:             0x8c1f30d27a5be964,
		MemoryMB:         256,
		MaxSockets:       512,
		Deployment: deployment.Settings{
			Settings: routing.Settings{
				Schedulers:  3,
				Rank:        2,
				Tick:        4 * time.Millisecond,
				MaxAttempts: 4,
				Classes: []routing.Class{
					{LatencyObjective: 750 * time.Millisecond, Deadline: 3 * time.Second, Idempotency: routing.Idempotent},
					{
						LatencyObjective: 600 * time.Millisecond, Deadline: 2500 * time.Millisecond,
						Idempotency: routing.IdempotentByKey, DeduplicationScope: routing.ScopeZone,
						DeduplicationWindow: 2500 * time.Millisecond,
					},
				},
				Tenants:      []routing.Tenant{{QuotaFraction: 0.5, RequestsPerSecond: 20}},
				LoadOnDemand: true,
			},
			ClassNames:     []string{"consulta", "registro-horas"},
			Zones:          []string{"here"},
			WorkerKinds:    []string{"std"},
			PipelineDepth:  100,
			IdleCloseAfter: 15 * time.Second,
			ConnectTimeout: 250 * time.Millisecond,
		},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("Read (-want +got):\n%s", diff)
	}
}

// TestReadOverrides guards against a name or address of the command line that does not override the file.
func TestReadOverrides(t *testing.T) {
	for _, tt := range []struct {
		name                 string
		nameArg, listenArg   string
		wantName, wantListen string
	}{
		{"neither", "", "", "n0", "127.0.0.1:5050"},
		{"name", "n7", "", "n7", "127.0.0.1:5050"},
		{"address", "", "[::1]:6000", "n0", "[::1]:6000"},
		{"both", "n7", ":6000", "n7", ":6000"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Read(writeFile(t, platformFile), tt.nameArg, tt.listenArg)
			if err != nil {
				t.Fatal(err)
			}
			if got.Name != tt.wantName || got.Listen != tt.wantListen {
				t.Errorf("name %q, listen %q, want %q, %q", got.Name, got.Listen, tt.wantName, tt.wantListen)
			}
		})
	}
}

// TestReadChecksOverride guards against an address of the command line that is not validated, and against an error for
// a file without an address although the command line sets one.
func TestReadChecksOverride(t *testing.T) {
	path := writeFile(t, platformFileWith(t, "listen", nil))
	if _, err := Read(path, "", "127.0.0.1:6000"); err != nil {
		t.Errorf("with an address for a file without one: %v, want success", err)
	}
	if _, err := Read(path, "", "127.0.0.1"); err == nil || !strings.Contains(err.Error(), "listen: ") {
		t.Errorf("with an address without a port: %v, want an error about listen", err)
	}
}

// TestReadDefaults guards against limits without a default when they are absent or 0.
func TestReadDefaults(t *testing.T) {
	for _, tt := range []struct {
		name                      string
		key                       string
		value                     any
		wantMemoryMB, wantSockets int
	}{
		{"no limits", "limits", nil, defaultMemoryMB, defaultSockets},
		{"no memory", "limits.memory_mb", nil, defaultMemoryMB, 512},
		{"memory 0", "limits.memory_mb", 0, defaultMemoryMB, 512},
		{"no sockets", "limits.sockets", nil, 256, defaultSockets},
		{"sockets 0", "limits.sockets", 0, 256, defaultSockets},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Read(writeFile(t, platformFileWith(t, tt.key, tt.value)), "", "")
			if err != nil {
				t.Fatal(err)
			}
			if got.MemoryMB != tt.wantMemoryMB || got.MaxSockets != tt.wantSockets {
				t.Errorf("%d MB, %d sockets, want %d, %d", got.MemoryMB, got.MaxSockets, tt.wantMemoryMB, tt.wantSockets)
			}
		})
	}
}

// TestReadWithoutKnownEndpoints guards against an error for a file without initial events of the endpoint list.
func TestReadWithoutKnownEndpoints(t *testing.T) {
	got, err := Read(writeFile(t, platformFileWith(t, "known", nil)), "", "")
	if err != nil {
		t.Fatal(err)
	}
	if got.KnownEndpoints != nil {
		t.Errorf("KnownEndpoints %q, want nil", got.KnownEndpoints)
	}
}

// TestReadAccepts guards against rejecting valid files, in particular values at their limits.
func TestReadAccepts(t *testing.T) {
	longest := strings.Repeat("n", maxClassNameLength)
	for _, tt := range []struct {
		name  string
		key   string
		value any
	}{
		{"unknown key", "region", "south"},
		{"unknown key in limits", "limits.files", 3},
		{"unknown key in settings", "settings.novelty", []any{1}},
		{"unknown key in ceilings", "settings.ceilings.novelty", true},
		{"no name", "name", nil},
		{"listen on all interfaces", "listen", ":5050"},
		{"listen on IPv6", "listen", "[::1]:5050"},
		{"list service by name", "bulletin", "bulletin.example:4222"},
		{"shortest seed", "seed", "0"},
		{"longest seed", "seed", "ffffffffffffffff"},
		{"fewest sockets", "limits.sockets", minSockets},
		{"longest class name", "settings.classes", classes(longest)},
		{"class names that differ in case", "settings.classes", classes("a", "A")},
		{"punctuation in a class name", "settings.classes", classes("a.b_c-d:e")},
		{"longest time", "settings.tickMs", 365 * 24 * 3600 * 1000},
		{"no tenants", "settings.tenants", nil},
		{"smallest ceilings", "settings.ceilings", map[string]any{
			"multiplex": 1, "connectTimeoutMs": 0.001, "idleCloseMs": 0.001,
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := Read(writeFile(t, platformFileWith(t, tt.key, tt.value)), "", ""); err != nil {
				t.Errorf("Read: %v, want success", err)
			}
		})
	}
}

const millisPerYear = 365 * 24 * 3600 * 1000

// invalidValues are values that make platformFile invalid, each with a substring of the expected error.
var invalidValues = []struct {
	name  string
	key   string
	value any
	want  string // substring of the error
}{
	{"no listen", "listen", nil, "listen: "},
	{"listen without port", "listen", "127.0.0.1", "listen: "},
	{"listen with IPv6 without brackets", "listen", "::1:5050", "listen: "},
	{"listen is no text", "listen", 5050, "file.listen"},
	{"no list service", "bulletin", nil, "bulletin: "},
	{"list service without port", "bulletin", "127.0.0.1", "bulletin: "},
	{"no seed", "seed", nil, "seed: "},
	{"seed with a prefix", "seed", "0x1f", "seed: "},
	{"seed not hexadecimal", "seed", "xyz", "seed: "},
	{"negative seed", "seed", "-1", "seed: "},
	{"seed over 64 bits", "seed", "10000000000000000", "seed: "},
	{"seed is a number", "seed", 7, "file.seed"},
	{"too few sockets", "limits.sockets", minSockets - 1, "limits: 63 sockets"},
	{"negative sockets", "limits.sockets", -1, "limits: -1 sockets"},
	{"sockets are no integer", "limits.sockets", 64.5, ".limits.sockets"},
	{"negative memory", "limits.memory_mb", -1, "limits: 512 sockets, -1 MB"},
	{"memory is no number", "limits.memory_mb", "256", ".limits.memory_mb"},
	{"limits are no object", "limits", []any{}, "file.limits"},

	{"no settings", "settings", nil, "no settings"},
	{"settings are no object", "settings", "all", "settings: "},
	{"settings are empty", "settings", map[string]any{}, "settings: ceilings: multiplex"},
	{"setting of another type", "settings.balancers", "3", "object.balancers"},
	{"no ceilings", "settings.ceilings", nil, "settings: ceilings: multiplex"},
	{"no multiplex", "settings.ceilings.multiplex", nil, "multiplex, connectTimeoutMs and idleCloseMs"},
	{"negative multiplex", "settings.ceilings.multiplex", -1, "multiplex, connectTimeoutMs and idleCloseMs"},
	{"no connect timeout", "settings.ceilings.connectTimeoutMs", nil, "multiplex, connectTimeoutMs and idleCloseMs"},
	{"no idle close", "settings.ceilings.idleCloseMs", nil, "multiplex, connectTimeoutMs and idleCloseMs"},
	{"negative time", "settings.tickMs", -0.5, "settings: a time of -0.5 ms"},
	{"time over a year", "settings.tickMs", millisPerYear + 1, "settings: a time of "},
	{"negative time of a ceiling", "settings.ceilings.idleCloseMs", -1, "settings: a time of -1 ms"},

	{"class without a name", "settings.classes", classes("a", ""), `settings: class 1: name ""`},
	{"class names repeated", "settings.classes", classes("a", "b", "a"), `settings: class 2: name "a"`},
	{"class name too long", "settings.classes", classes(strings.Repeat("n", maxClassNameLength+1)), "settings: class 0: name"},
	{"class name with a space", "settings.classes", classes("a b"), `settings: class 0: name "a b"`},
	{"class name with a comma", "settings.classes", classes("a,b"), `settings: class 0: name "a,b"`},
	{"class name with a slash", "settings.classes", classes("a/b"), `settings: class 0: name "a/b"`},
	{"class name with an equals sign", "settings.classes", classes("a=b"), `settings: class 0: name "a=b"`},
	{"class name with a question mark", "settings.classes", classes("a?"), `settings: class 0: name "a?"`},
	{"class name not in ASCII", "settings.classes", classes("año"), `settings: class 0: name "año"`},
	{"class name with a control character", "settings.classes", classes("a\x7f"), "settings: class 0: name"},
	{"unknown effect", "settings.classes", []any{class("effect", "magic")}, `settings: class 0: unknown effect "magic"`},
	{"no effect", "settings.classes", []any{class("effect", "")}, `settings: class 0: unknown effect ""`},
	{"unknown scope", "settings.classes", []any{class("dedupScope", "rack")}, `settings: class 0: unknown dedupScope "rack"`},
	{"negative aim", "settings.classes", []any{class("aimMs", -7)}, "settings: a time of -7 ms"},

	{"negative share", "settings.tenants", []any{map[string]any{"share": -0.5}}, "settings: tenant 0: share -0.5"},
	{"negative quota", "settings.tenants", []any{map[string]any{}, map[string]any{"quotaPerS": -2}}, "settings: tenant 1: "},
}

// TestReadErrors guards against accepting invalid values, and against errors without the path of the file or the key.
func TestReadErrors(t *testing.T) {
	for _, tt := range invalidValues {
		t.Run(tt.name, func(t *testing.T) {
			path := writeFile(t, platformFileWith(t, tt.key, tt.value))
			config, err := Read(path, "", "")
			if err == nil {
				t.Fatalf("Read = %+v, want an error", config)
			}
			if config != nil {
				t.Errorf("Read = %+v with an error, want nil", config)
			}
			if got := err.Error(); !strings.Contains(got, path) || !strings.Contains(got, tt.want) {
				t.Errorf("Read: %q, want an error with %q and %q", got, path, tt.want)
			}
		})
	}
}

// TestReadMalformed guards against accepting a file that is not a single JSON object, and against errors without its
// path.
func TestReadMalformed(t *testing.T) {
	for _, tt := range []struct {
		name string
		text string
	}{
		{"empty", ""},
		{"cut off", platformFile[:len(platformFile)/2]},
		{"followed by another", platformFile + platformFile},
		{"not JSON", "name = n0"},
		{"a list", "[" + platformFile + "]"},
		{"null", "null"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			path := writeFile(t, tt.text)
			if _, err := Read(path, "", ""); err == nil || !strings.Contains(err.Error(), path) {
				t.Errorf("Read: %v, want an error with %q", err, path)
			}
		})
	}
}

// TestReadMissingFile guards against an error for a missing file that is not fs.ErrNotExist or lacks the path.
func TestReadMissingFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none.json")
	_, err := Read(path, "", "")
	if !errors.Is(err, fs.ErrNotExist) || !strings.Contains(err.Error(), path) {
		t.Errorf("Read: %v, want %v with %q", err, fs.ErrNotExist, path)
	}
}
