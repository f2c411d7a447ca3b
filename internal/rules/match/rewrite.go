package match

import (
	"slices"
	"strings"
	"time"

	"github.com/expr-lang/expr/ast"
)

// Names in expressions that the rewriter handles.
const (
	paramName    = "param"
	durationName = "duration"
	slotsName    = "slots_" // environment.Slots
	hasName      = "has_"   // environment.Has
)

// textOperators are the operators that may also be written as method calls, as in handler.startsWith("a").
var textOperators = []string{"startsWith", "endsWith", "contains", "matches"}

// rewriter transforms the source form of an expression into the form that is evaluated. It replaces method calls with
// operators, reads of param with reads of slots, and durations with constants. It rejects unknown names and functions.
type rewriter struct {
	compiler  *compiler
	firstPass bool             // the tree is as parsed; internal names such as slots_ are rejected
	err       *ExpressionError // the first error
}

func (r *rewriter) reject(node ast.Node, format string, args ...any) {
	if r.err == nil {
		r.err = errorAt(node, format, args...)
	}
}

// Visit rewrites a node. The library calls it for every node, children before their parent.
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

// rewriteMember rewrites param["NAME"] to slots_[slot][0].
func (r *rewriter) rewriteMember(node *ast.Node, member *ast.MemberNode) {
	if !isIdentifier(member.Node, paramName) {
		return
	}
	name, ok := parameterName(member.Property)
	if !ok {
		r.reject(member, "param must be indexed with the constant name of a parameter, as in param[\"HTTP_X_CENTRE\"]")
		return
	}
	values := elementOf(&ast.IdentifierNode{Value: slotsName}, r.compiler.slot(name))
	ast.Patch(node, elementOf(values, 0))
}

// rewriteBinary rewrites "NAME" in param to has_[slot] and validates constant regular expressions.
func (r *rewriter) rewriteBinary(node *ast.Node, binary *ast.BinaryNode) {
	switch binary.Operator {
	case "in", "not in":
		if !isIdentifier(binary.Right, paramName) {
			return
		}
		name, ok := parameterName(binary.Left)
		if !ok {
			r.reject(binary, "the left operand of \"in param\" must be a constant name")
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
			return // the estimator rejects a pattern that is not constant
		}
		if err := checkRegexp(pattern.Value); err != nil {
			r.reject(pattern, "%v", err)
		}
	}
}

// rewriteMethod replaces a method call with the operator of the same name and rewrites the result.
func (r *rewriter) rewriteMethod(node *ast.Node, call *ast.CallNode, callee *ast.MemberNode) {
	name, ok := callee.Property.(*ast.StringNode)
	if !ok || !slices.Contains(textOperators, name.Value) || len(call.Arguments) != 1 {
		r.reject(call, "no such function: the functions are %s and duration", strings.Join(textOperators, ", "))
		return
	}
	ast.Patch(node, &ast.BinaryNode{Operator: name.Value, Left: callee.Node, Right: call.Arguments[0]})
	r.Visit(node)
}

// rewriteCall replaces duration("500ms") with a constant and rejects every other function.
func (r *rewriter) rewriteCall(node *ast.Node, name string, args []ast.Node) {
	var text *ast.StringNode
	if len(args) == 1 {
		text, _ = args[0].(*ast.StringNode)
	}
	if name != durationName || text == nil {
		r.reject(*node, "no such function: only duration with a constant argument is supported, as in duration(\"500ms\")")
		return
	}
	value, err := time.ParseDuration(text.Value)
	if err != nil {
		r.reject(text, "%q is not a valid duration", text.Value)
		return
	}
	ast.Patch(node, &ast.ConstantNode{Value: value})
}

// isIdentifier reports whether node is an identifier with the given name.
func isIdentifier(node ast.Node, name string) bool {
	identifier, ok := node.(*ast.IdentifierNode)
	return ok && identifier.Value == name
}

// parameterName returns the parameter name if node is a constant string of at most maxNameBytes.
func parameterName(node ast.Node) (string, bool) {
	name, ok := node.(*ast.StringNode)
	if !ok || len(name.Value) > maxNameBytes {
		return "", false
	}
	return name.Value, true
}

// elementOf returns a node that reads list[index].
func elementOf(list ast.Node, index int) *ast.MemberNode {
	return &ast.MemberNode{Node: list, Property: &ast.IntegerNode{Value: index}}
}
