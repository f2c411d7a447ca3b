package match

import (
	"slices"
	"strings"
	"time"

	"github.com/expr-lang/expr/ast"
)

// The names in expressions that the rewriter gives a meaning to.
const (
	paramName    = "param"
	durationName = "duration"
	slotsName    = "slots_" // environment.Slots
	hasName      = "has_"   // environment.Has
)

// textOperators may also be written as methods, as in handler.startsWith("a").
var textOperators = []string{"startsWith", "endsWith", "contains", "matches"}

// rewriter turns an expression as operators write it into one that is evaluated: method calls into operators, reads
// of param into reads of slots, durations into constants. It rejects unknown names and functions.
type rewriter struct {
	compiler  *compiler
	firstPass bool             // the tree is as written, so that names which the rewriter itself puts there are unknown
	err       *ExpressionError // the first one
}

func (r *rewriter) reject(node ast.Node, format string, args ...any) {
	if r.err == nil {
		r.err = errorAt(node, format, args...)
	}
}

// Visit rewrites a node. The library calls it for each node, the innermost first.
func (r *rewriter) Visit(node *ast.Node) {
	switch visited := (*node).(type) {
	case *ast.IdentifierNode:
		if r.firstPass && !r.compiler.hasField(visited.Value) && visited.Value != durationName {
			r.reject(visited, "unknown field %s", visited.Value)
		}
	case *ast.BuiltinNode:
		r.rewriteCall(node, visited.Name, visited.Arguments)
	case *ast.MemberNode:
		r.rewriteMember(node, visited)
	case *ast.BinaryNode:
		r.rewriteBinary(node, visited)
	case *ast.CallNode:
		switch callee := visited.Callee.(type) {
		case *ast.MemberNode:
			r.rewriteMethod(node, visited, callee)
		case *ast.IdentifierNode:
			r.rewriteCall(node, callee.Value, visited.Arguments)
		}
	}
}

// rewriteMember turns param["NAME"] into slots_[slot][0].
func (r *rewriter) rewriteMember(node *ast.Node, member *ast.MemberNode) {
	if !isIdentifier(member.Node, paramName) {
		return
	}
	name, ok := parameterName(member.Property)
	if !ok {
		r.reject(member, "param takes the name of a parameter, as in param[\"HTTP_X_CENTRE\"]")
		return
	}
	values := elementOf(&ast.IdentifierNode{Value: slotsName}, r.compiler.slot(name))
	ast.Patch(node, elementOf(values, 0))
}

// rewriteBinary turns "NAME" in param into has_[slot] and checks constant regular expressions.
func (r *rewriter) rewriteBinary(node *ast.Node, binary *ast.BinaryNode) {
	switch binary.Operator {
	case "in", "not in":
		if !isIdentifier(binary.Right, paramName) {
			return
		}
		name, ok := parameterName(binary.Left)
		if !ok {
			r.reject(binary, "what is looked for in param must be a constant name")
			return
		}
		var has ast.Node = elementOf(&ast.IdentifierNode{Value: hasName}, r.compiler.slot(name))
		if binary.Operator == "not in" {
			has = &ast.UnaryNode{Operator: "not", Node: has}
		}
		ast.Patch(node, has)
	case "matches":
		pattern, ok := binary.Right.(*ast.StringNode)
		if !ok {
			return // the estimator rejects it
		}
		if err := checkRegexp(pattern.Value); err != nil {
			r.reject(pattern, "%v", err)
		}
	}
}

// rewriteMethod turns a method call into an operator, and then rewrites that.
func (r *rewriter) rewriteMethod(node *ast.Node, call *ast.CallNode, callee *ast.MemberNode) {
	name, ok := callee.Property.(*ast.StringNode)
	if !ok || !slices.Contains(textOperators, name.Value) || len(call.Arguments) != 1 {
		r.reject(call, "no such function: there are %s, and duration(...)", strings.Join(textOperators, ", "))
		return
	}
	ast.Patch(node, &ast.BinaryNode{Operator: name.Value, Left: callee.Node, Right: call.Arguments[0]})
	r.Visit(node)
}

// rewriteCall turns duration("500ms") into a constant and rejects any other function.
func (r *rewriter) rewriteCall(node *ast.Node, name string, args []ast.Node) {
	var text *ast.StringNode
	if len(args) == 1 {
		text, _ = args[0].(*ast.StringNode)
	}
	if name != durationName || text == nil {
		r.reject(*node, "no such function: the only one is duration, of a constant as in duration(\"500ms\")")
		return
	}
	value, err := time.ParseDuration(text.Value)
	if err != nil {
		r.reject(text, "%q is no duration", text.Value)
		return
	}
	ast.Patch(node, &ast.ConstantNode{Value: value})
}

// isIdentifier reports whether a node is the identifier of this name.
func isIdentifier(node ast.Node, name string) bool {
	identifier, ok := node.(*ast.IdentifierNode)
	return ok && identifier.Value == name
}

// parameterName returns the name of a parameter that a node holds as a constant.
func parameterName(node ast.Node) (string, bool) {
	name, ok := node.(*ast.StringNode)
	if !ok || len(name.Value) > maxNameBytes {
		return "", false
	}
	return name.Value, true
}

// elementOf returns the node for one element of a list.
func elementOf(list ast.Node, index int) *ast.MemberNode {
	return &ast.MemberNode{Node: list, Property: &ast.IntegerNode{Value: index}}
}
