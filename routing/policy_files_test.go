package routing

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// decidingActions are the actions that say where a request goes, that it goes nowhere, or where a function is loaded.
var decidingActions = []string{"Send", "Reject", "Fail", "Load"}

// Only the files that deploy/balancer.toml lists as policy decide: no other file of the package makes an action that
// decides, or draws a random number.
func TestOnlyPolicyFilesDecide(t *testing.T) {
	deployFile, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, name := range files {
		isPolicy := strings.Contains(string(deployFile), `"routing/`+name+`"`)
		if isPolicy || strings.HasSuffix(name, "_test.go") {
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
		if action, ok := node.Type.(*ast.Ident); ok && slices.Contains(decidingActions, action.Name) {
			return "makes a " + action.Name
		}
	case *ast.SelectorExpr:
		if node.Sel.Name == "rng" {
			return "draws a random number"
		}
	}
	return ""
}
