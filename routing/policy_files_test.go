package routing_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	maxPolicyLines   = 300 // of a file that decides
	maxPolicyColumns = 110 // of a line in it, with tabs of four
)

// plainFiles are the files of the package that decide nothing. Files of packages below it are never among them.
var plainFiles = []string{"actions.go", "doc.go", "events.go", "learned_state.go", "request.go", "settings.go"}

// decidingActions are the actions that say where a request goes, that it goes nowhere, or where a function is loaded.
var decidingActions = []string{"Send", "Reject", "Fail", "Load"}

// policyFiles returns the files that deploy/balancer.toml lists as policy, relative to this folder.
func policyFiles(t *testing.T) []string {
	t.Helper()
	deployFile, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]`).FindSubmatch(deployFile)
	if list == nil {
		t.Fatal("no policy in deploy/balancer.toml")
	}
	var names []string
	for _, name := range strings.Split(string(list[1]), ", ") {
		name, ok := strings.CutPrefix(strings.Trim(name, `"`), "routing/")
		if !ok {
			t.Errorf("policy file %s is outside this package and those below it", name)
		}
		names = append(names, name)
	}
	return names
}

// sourceFiles returns the files of this package and of all below it, without tests.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	var names []string
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			names = append(names, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// Each file of a decision is listed as policy, once, and exists. None is longer than maxPolicyLines, and no line in it is
// wider than maxPolicyColumns.
func TestPolicyFiles(t *testing.T) {
	policy, sources := policyFiles(t), sourceFiles(t)
	for _, name := range sources {
		if slices.Contains(policy, name) == slices.Contains(plainFiles, name) {
			t.Errorf("%s has to be either among the policy files or among the plain ones", name)
		}
	}
	for i, name := range policy {
		if slices.Contains(policy[:i], name) || !slices.Contains(sources, name) {
			t.Errorf("policy file %s is listed twice or does not exist", name)
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := bytes.Split(bytes.TrimSuffix(text, []byte("\n")), []byte("\n"))
		if len(lines) > maxPolicyLines {
			t.Errorf("%s has %d lines, %d are allowed", name, len(lines), maxPolicyLines)
		}
		for number, line := range lines {
			if width := len([]rune(string(bytes.ReplaceAll(line, []byte("\t"), []byte("    "))))); width > maxPolicyColumns {
				t.Errorf("%s:%d is %d columns wide, %d are allowed", name, number+1, width, maxPolicyColumns)
			}
		}
	}
}

// Only the files that deploy/balancer.toml lists as policy decide: no other file of the package, or of one below it, makes
// an action that decides, or draws a random number.
func TestOnlyPolicyFilesDecide(t *testing.T) {
	policy := policyFiles(t)
	checked := 0
	for _, name := range sourceFiles(t) {
		if slices.Contains(policy, name) {
			continue
		}
		checked++
		fileSet := token.NewFileSet()
		file, err := parser.ParseFile(fileSet, name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if what := decisionIn(node); what != "" {
				t.Errorf("%s: %s, but the file is not among the policy files", fileSet.Position(node.Pos()), what)
			}
			return true
		})
	}
	if checked == 0 {
		t.Error("no file was checked")
	}
}

// decisionIn returns what a node of a syntax tree decides, "" if nothing.
func decisionIn(node ast.Node) string {
	switch node := node.(type) {
	case *ast.CompositeLit:
		if action := lastName(node.Type); slices.Contains(decidingActions, action) {
			return "makes a " + action
		}
	case *ast.ImportSpec:
		if strings.Contains(node.Path.Value, "math/rand") {
			return "imports a random source"
		}
	case *ast.SelectorExpr:
		if node.Sel.Name == "rng" || lastName(node.X) == "rng" {
			return "draws a random number"
		}
	}
	return ""
}

// lastName returns the last identifier of a name that may be qualified, "" for another expression.
func lastName(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.Ident:
		return expression.Name
	case *ast.SelectorExpr:
		return expression.Sel.Name
	}
	return ""
}
