// Package internal_test checks the imports of all packages against the layers of docs/ARCHITECTURE.md.
package internal_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const module = "calicohill/"

// layers lists the path prefixes of each layer, the highest first. A package may import its own and lower layers.
var layers = [][]string{
	{"cmd/", "example"},
	{"internal/testbed/experiment"},
	{"internal/testbed/scenario"},
	{"internal/testbed/process", "internal/testbed/virtual"},
	{"internal/testbed/standin"},
	{"internal/testbed"},
	{
		"internal/frontend/", "internal/nodeagent", "internal/discovery", "internal/fleet/transport",
		"internal/snapshot/snapshotfile", "internal/simwire",
	},
	{"internal/dispatch"},
	{"internal/config"},
	{
		"routing", "internal/rules/", "internal/discovery/pollplan", "internal/fleet/gossip", "internal/fleet/faultreport",
		"internal/fleet/quota", "internal/fleet/pki", "internal/snapshot",
	},
	{"internal/runtime/", "internal/stats/"},
}

// layerOf returns the layer with the longest prefix that matches a package path, or -1 if none matches.
func layerOf(path string) int {
	layer, longest := -1, 0
	for i, prefixes := range layers {
		for _, prefix := range prefixes {
			if len(prefix) > longest && strings.HasPrefix(path+"/", strings.TrimSuffix(prefix, "/")+"/") {
				layer, longest = i, len(prefix)
			}
		}
	}
	return layer
}

// A package must not import a package of a higher layer, and each package must belong to a layer.
func TestImportsRespectLayers(t *testing.T) {
	root := ".."
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if name := entry.Name(); name == "tools" || name == "testdata" || name == "journal" || strings.HasPrefix(name, ".") && name != ".." {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		checkImports(t, root, path)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// checkImports reports the imports of a source file that belong to a higher layer than the file itself.
func checkImports(t *testing.T, root, path string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Error(err)
		return
	}
	importer, err := filepath.Rel(root, filepath.Dir(path))
	if err != nil {
		t.Error(err)
		return
	}
	importerLayer := layerOf(importer)
	if importerLayer < 0 {
		t.Errorf("%s: package %q belongs to no layer of docs/ARCHITECTURE.md", path, importer)
	}
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil || !strings.HasPrefix(imported, module) {
			continue
		}
		if layer := layerOf(strings.TrimPrefix(imported, module)); layer < importerLayer {
			t.Errorf("%s imports %s, which is in a higher layer", path, imported)
		}
	}
}
