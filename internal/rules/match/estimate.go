package match

import (
	"slices"

	"github.com/expr-lang/expr/ast"
)

// Costs of operations in units, excluding the cost of their operands. If the time of an operation depends on the length
// of a string, its BytesPerUnit constant is the number of bytes that add one unit; the longest possible string counts.
const (
	constantCost   = 1
	fieldCost      = 1
	hasParamCost   = 3
	readParamCost  = 6
	unaryCost      = 1
	branchCost     = 1
	logicCost      = 1
	compareCost    = 1
	affixCost      = 2 // startsWith and endsWith
	containsCost   = 2
	arithmeticCost = 2
	listCost       = 4 // in and not in
	concatCost     = 4
	regexpCost     = 20

	compareBytesPerUnit  = 16
	listBytesPerUnit     = 16
	concatBytesPerUnit   = 8
	containsBytesPerUnit = 2
	// The time to match a regular expression is linear in the length of the text and, in the worst case, in the length
	// of the pattern. Each byte of the text costs one unit, plus one for every patternBytesPerUnit bytes of the
	// pattern.
	patternBytesPerUnit = 8
)

// estimate is the worst case of an expression.
type estimate struct {
	cost     int // in units
	maxBytes int // maximum length of the result if it is a string, otherwise 0
}

// estimator computes the worst case of an expression from the bounds in the schema. It rejects every kind of node that
// it cannot estimate. This excludes loops, calls and strings of unbounded length.
type estimator struct {
	schema []Field
	nodes  int // number of nodes visited
}

// estimate returns the estimate of a node; depth is its nesting level.
func (e *estimator) estimate(node ast.Node, depth int) (estimate, *ExpressionError) {
	e.nodes++
	if e.nodes > maxNodes || depth > maxNesting {
		return estimate{}, errorAt(node, "too long or too deeply nested: the maximum is %d nodes and %d levels", maxNodes, maxNesting)
	}
	switch operation := node.(type) {
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.ConstantNode:
		return estimate{cost: constantCost}, nil
	case *ast.StringNode:
		return estimate{cost: constantCost, maxBytes: len(operation.Value)}, nil
	case *ast.IdentifierNode:
		return e.field(operation)
	case *ast.MemberNode:
		return parameterAccess(operation)
	case *ast.UnaryNode:
		operand, exprErr := e.estimate(operation.Node, depth+1)
		return estimate{cost: unaryCost + operand.cost}, exprErr
	case *ast.ConditionalNode:
		return e.conditional(operation, depth)
	case *ast.ArrayNode:
		return e.list(operation, depth)
	case *ast.BinaryNode:
		return e.binary(operation, depth)
	}
	return estimate{}, errorAt(node, "not allowed in a rule: loops, calls, variables and slices are not supported")
}

// operands returns the estimates of the operands of a node and the sum of their costs.
func (e *estimator) operands(depth int, nodes ...ast.Node) (each []estimate, cost int, exprErr *ExpressionError) {
	for _, node := range nodes {
		operand, exprErr := e.estimate(node, depth+1)
		if exprErr != nil {
			return nil, 0, exprErr
		}
		each = append(each, operand)
		cost += operand.cost
	}
	return each, cost, nil
}

func (e *estimator) field(identifier *ast.IdentifierNode) (estimate, *ExpressionError) {
	i := slices.IndexFunc(e.schema, func(f Field) bool { return f.Name == identifier.Value })
	if i < 0 || identifier.Value == paramName {
		return estimate{}, errorAt(identifier, "field %q cannot be used here", identifier.Value)
	}
	return estimate{cost: fieldCost, maxBytes: e.schema[i].MaxBytes}, nil
}

// parameterAccess estimates the two forms that the rewriter generates for param and rejects every other member access.
func parameterAccess(member *ast.MemberNode) (estimate, *ExpressionError) {
	if isIdentifier(member.Node, hasName) {
		return estimate{cost: hasParamCost}, nil
	}
	if values, ok := member.Node.(*ast.MemberNode); ok && isIdentifier(values.Node, slotsName) {
		return estimate{cost: readParamCost, maxBytes: maxValueBytes}, nil
	}
	return estimate{}, errorAt(member, "only param can be indexed")
}

func (e *estimator) conditional(node *ast.ConditionalNode, depth int) (estimate, *ExpressionError) {
	operands, cost, exprErr := e.operands(depth, node.Cond, node.Exp1, node.Exp2)
	if exprErr != nil {
		return estimate{}, exprErr
	}
	return estimate{cost: branchCost + cost, maxBytes: max(operands[1].maxBytes, operands[2].maxBytes)}, nil
}

// list estimates a list of constants at one unit per element.
func (e *estimator) list(array *ast.ArrayNode, depth int) (estimate, *ExpressionError) {
	for _, element := range array.Nodes {
		switch element.(type) {
		case *ast.StringNode, *ast.IntegerNode:
		default:
			return estimate{}, errorAt(element, "elements of a list must be constants")
		}
	}
	elements, _, exprErr := e.operands(depth, array.Nodes...)
	if exprErr != nil {
		return estimate{}, exprErr
	}
	longest := 0
	for _, element := range elements {
		longest = max(longest, element.maxBytes)
	}
	return estimate{cost: len(array.Nodes), maxBytes: longest}, nil
}

// binary estimates a binary operator.
func (e *estimator) binary(node *ast.BinaryNode, depth int) (estimate, *ExpressionError) {
	operands, cost, exprErr := e.operands(depth, node.Left, node.Right)
	if exprErr != nil {
		return estimate{}, exprErr
	}
	left := operands[0].maxBytes
	right := operands[1].maxBytes
	switch node.Operator {
	case "&&", "and", "||", "or":
		return estimate{cost: logicCost + cost}, nil
	case "==", "!=", "<", "<=", ">", ">=":
		return estimate{cost: compareCost + cost + min(left, right)/compareBytesPerUnit}, nil
	case "startsWith", "endsWith":
		return estimate{cost: affixCost + cost + min(left, right)/compareBytesPerUnit}, nil
	case "contains":
		return estimate{cost: containsCost + cost + left/containsBytesPerUnit}, nil
	case "matches":
		return regexpMatch(node, cost, left)
	case "in", "not in":
		return listLookup(node, cost, left)
	case "+":
		return concatenation(node, cost, left+right)
	case "-", "*", "/", "%":
		return estimate{cost: arithmeticCost + cost}, nil
	}
	return estimate{}, errorAt(node, "operator %q is not supported", node.Operator)
}

// regexpMatch estimates matching a text of up to textBytes bytes; cost is the cost of the operands.
func regexpMatch(node *ast.BinaryNode, cost, textBytes int) (estimate, *ExpressionError) {
	pattern, ok := node.Right.(*ast.StringNode)
	if !ok {
		return estimate{}, errorAt(node, "a regular expression must be a constant")
	}
	return estimate{cost: regexpCost + cost + textBytes*(1+len(pattern.Value)/patternBytesPerUnit)}, nil
}

// listLookup estimates the lookup of a value of up to valueBytes bytes in a list; cost is the cost of the operands.
func listLookup(node *ast.BinaryNode, cost, valueBytes int) (estimate, *ExpressionError) {
	if _, ok := node.Right.(*ast.ArrayNode); !ok {
		return estimate{}, errorAt(node, "the right operand of %s must be a list of constants or param", node.Operator)
	}
	return estimate{cost: listCost + cost + valueBytes/listBytesPerUnit}, nil
}

// concatenation estimates concatenating two strings to up to textBytes bytes; cost is the cost of the operands.
func concatenation(node *ast.BinaryNode, cost, textBytes int) (estimate, *ExpressionError) {
	if textBytes > maxTextBytes {
		return estimate{}, errorAt(node, "text of up to %d bytes exceeds the maximum of %d", textBytes, maxTextBytes)
	}
	return estimate{cost: concatCost + cost + textBytes/concatBytesPerUnit, maxBytes: textBytes}, nil
}
