package match

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"regexp/syntax"
	"slices"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/parser"
	"github.com/expr-lang/expr/vm"
)

// Limits of rules and expressions.
const (
	// MaxRules is the maximum number of rules in a table.
	MaxRules = 10000
	// MaxExpressionCost is the maximum worst-case cost of an expression, in units. One unit is about the time to
	// compare two numbers.
	MaxExpressionCost = 2000
	// MaxRequestCost is the maximum worst-case cost of all rules that are evaluated for one request, in units.
	MaxRequestCost = 200000

	maxSourceBytes        = 2048
	maxNodes              = 256
	maxNesting            = 24
	maxParams             = 64   // distinct parameters in all rules
	maxTextBytes          = 1024 // length of a text that an expression returns or concatenates
	maxRegexpInstructions = 200
	// nodesPerSourceNode is the maximum number of nodes in the rewritten expression per node allowed in the source.
	nodesPerSourceNode = 4
)

// ExpressionError is an error in the source of an expression.
type ExpressionError struct {
	Offset int // byte offset in the expression, from 0
	Reason string
}

// Error returns the reason.
func (e *ExpressionError) Error() string { return e.Reason }

// errorAt returns an ExpressionError at the offset of a node.
func errorAt(node ast.Node, format string, args ...any) *ExpressionError {
	return &ExpressionError{Offset: node.Location().From, Reason: fmt.Sprintf(format, args...)}
}

// expressionError returns an ExpressionError about the expression as a whole.
func expressionError(format string, args ...any) *ExpressionError {
	return &ExpressionError{Reason: fmt.Sprintf(format, args...)}
}

// libraryError converts an error of the expression library to an ExpressionError.
func libraryError(err error) *ExpressionError {
	var positioned *file.Error
	if errors.As(err, &positioned) {
		return &ExpressionError{Offset: positioned.From, Reason: positioned.Message}
	}
	return &ExpressionError{Reason: err.Error()}
}

// resultKind is the required result type of an expression.
type resultKind int

const (
	boolResult resultKind = iota
	textResult
)

// option returns the compiler option that enforces the type.
func (k resultKind) option() expr.Option {
	if k == textResult {
		return expr.AsKind(reflect.String)
	}
	return expr.AsBool()
}

// compiledExpr is a compiled expression.
type compiledExpr struct {
	program      *vm.Program
	cost         int           // worst case, in units
	requirements []requirement // the expression is true only if all of them are satisfied
}

// compiler compiles the expressions of one table.
type compiler struct {
	schema      []Field
	environment any      // a value of the type that expressions are evaluated against
	slots       []string // names of the parameters that expressions read, by slot
}

// slot returns the slot of a parameter and allocates one if the parameter is new.
func (c *compiler) slot(name string) int {
	i := slices.Index(c.slots, name)
	if i < 0 {
		i = len(c.slots)
		c.slots = append(c.slots, name)
	}
	return i
}

// hasField reports whether the schema declares a field.
func (c *compiler) hasField(name string) bool {
	return slices.ContainsFunc(c.schema, func(f Field) bool { return f.Name == name })
}

// compile parses and rewrites an expression, estimates its worst-case cost, and compiles it.
func (c *compiler) compile(source string, want resultKind) (*compiledExpr, *ExpressionError) {
	if len(source) > maxSourceBytes {
		return nil, expressionError("expression of %d bytes exceeds the maximum of %d", len(source), maxSourceBytes)
	}
	tree, err := parser.Parse(source)
	if err != nil {
		return nil, libraryError(err)
	}
	slotsBefore := len(c.slots)
	checked := &rewriter{compiler: c, firstPass: true}
	ast.Walk(&tree.Node, checked)
	if checked.err != nil {
		return nil, checked.err
	}
	if len(c.slots) > maxParams {
		c.slots = c.slots[:slotsBefore]
		return nil, expressionError("rules read more than %d different parameters", maxParams)
	}
	costs := estimator{schema: c.schema}
	worst, exprErr := costs.estimate(tree.Node, 0)
	if exprErr != nil {
		return nil, exprErr
	}
	if worst.cost > MaxExpressionCost {
		return nil, expressionError("worst-case cost of %d exceeds the maximum of %d", worst.cost, MaxExpressionCost)
	}
	// The library parses the source again, so the rewriter must be applied again.
	program, err := expr.Compile(source, expr.Env(c.environment), want.option(), expr.DisableAllBuiltins(),
		expr.Patch(&rewriter{compiler: c}), expr.MaxNodes(nodesPerSourceNode*maxNodes))
	if err != nil {
		return nil, libraryError(err)
	}
	return &compiledExpr{program: program, cost: worst.cost, requirements: requirementsOf(tree.Node)}, nil
}

// checkRegexp returns an error if a regular expression is invalid or compiles to more than maxRegexpInstructions.
func checkRegexp(source string) error {
	parsed, err := syntax.Parse(source, syntax.Perl)
	if err != nil {
		return fmt.Errorf("regular expression: %w", err)
	}
	program, err := syntax.Compile(parsed.Simplify())
	if err != nil {
		return fmt.Errorf("regular expression: %w", err)
	}
	if len(program.Inst) > maxRegexpInstructions {
		return fmt.Errorf("regular expression: %d instructions exceed the maximum of %d", len(program.Inst), maxRegexpInstructions)
	}
	if _, err := regexp.Compile(source); err != nil {
		return fmt.Errorf("regular expression: %w", err)
	}
	return nil
}
