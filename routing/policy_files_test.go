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
	maxPolicyLines   = 300 // maximum lines of a policy file
	maxPolicyColumns = 110 // maximum width of its lines, with a tab width of four
)

// plainFiles are the files of this package that make no decisions. All files of the packages below it are policy files.
var plainFiles = []string{"actions.go", "doc.go", "events.go", "learned_state.go", "request.go", "settings.go", "usage.go"}

// decidingActions are the actions that determine where a request is sent or a function is loaded, or that end a
// request.
var decidingActions = []string{"Send", "Reject", "Fail", "Load"}

// policyFiles returns the policy files listed in deploy/balancer.toml, relative to this directory.
func policyFiles(t *testing.T) []string {
	t.Helper()
	deployFile, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]`).FindSubmatch(deployFile)
	if list == nil {
		t.Fatal("deploy/balancer.toml lists no policy files")
	}
	var names []string
	for _, name := range strings.Split(string(list[1]), ", ") {
		name, ok := strings.CutPrefix(strings.Trim(name, `"`), "routing/")
		if !ok {
			t.Errorf("policy file %s is outside routing/", name)
		}
		names = append(names, name)
	}
	return names
}

// sourceFiles returns the Go files of this package and of all packages below it, except tests.
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

// Guards against policy files that are unlisted, missing, listed twice or too long, or that have lines that are too
// wide.
func TestPolicyFiles(t *testing.T) {
	policy, sources := policyFiles(t), sourceFiles(t)
	for _, name := range sources {
		if slices.Contains(policy, name) == slices.Contains(plainFiles, name) {
			t.Errorf("%s must be either a policy file or a plain file", name)
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
			t.Errorf("%s has %d lines, want at most %d", name, len(lines), maxPolicyLines)
		}
		for number, line := range lines {
			if width := len([]rune(string(bytes.ReplaceAll(line, []byte("\t"), []byte("    "))))); width > maxPolicyColumns {
				t.Errorf("%s:%d is %d columns wide, want at most %d", name, number+1, width, maxPolicyColumns)
			}
		}
	}
}

// Guards against decisions outside the policy files listed in deploy/balancer.toml: no other file of this package or of
// one below it may create a deciding action or use a random source.
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
			if decision := decisionIn(node); decision != "" {
				t.Errorf("%s: %s, but the file is not a policy file", fileSet.Position(node.Pos()), decision)
			}
			return true
		})
	}
	if checked == 0 {
		t.Error("no file was checked")
	}
}

// decisionIn describes the decision that a node of a syntax tree makes, or returns "" if it makes none.
func decisionIn(node ast.Node) string {
	switch node := node.(type) {
	case *ast.CompositeLit:
		if action := lastName(node.Type); slices.Contains(decidingActions, action) {
			return "creates a " + action
		}
	case *ast.ImportSpec:
		if strings.Contains(node.Path.Value, "math/rand") {
			return "imports a random source"
		}
	case *ast.SelectorExpr:
		if node.Sel.Name == "rng" || lastName(node.X) == "rng" {
			return "uses a random source"
		}
	}
	return ""
}

// lastName returns the last identifier of a qualified or unqualified name, or "" for any other expression.
func lastName(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.Ident:
		return expression.Name
	case *ast.SelectorExpr:
		return expression.Sel.Name
	}
	return ""
}
