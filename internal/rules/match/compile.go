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

// The limits of what is loaded.
const (
	// MaxRules is the largest number of rules in a table.
	MaxRules = 10000
	// MaxCost is the largest worst-case cost of an expression, in units. A unit is about what comparing two numbers
	// takes.
	MaxCost = 2000
	// MaxPath is the largest worst-case cost of all rules that one request may meet, in units.
	MaxPath = 200000

	maxSourceBytes        = 2048
	maxNodes              = 256
	maxNesting            = 24
	maxParams             = 64   // different parameters that all rules read
	maxTextBytes          = 1024 // longest text that an expression may yield or concatenate
	maxRegexpInstructions = 200
	// nodesPerSourceNode bounds how many nodes the rewritten expression may have for each one allowed in the source.
	nodesPerSourceNode = 4
)

// ExpressionError is the error of an expression that cannot be loaded.
type ExpressionError struct {
	Offset int // byte of the expression, from 0
	Reason string
}

// Error returns the reason.
func (e *ExpressionError) Error() string { return e.Reason }

// errorAt returns an ExpressionError at the position of a node.
func errorAt(node ast.Node, format string, args ...any) *ExpressionError {
	return &ExpressionError{Offset: node.Location().From, Reason: fmt.Sprintf(format, args...)}
}

// expressionError returns an ExpressionError about the expression as a whole.
func expressionError(format string, args ...any) *ExpressionError {
	return &ExpressionError{Reason: fmt.Sprintf(format, args...)}
}

// libraryError converts an error of the expression library.
func libraryError(err error) *ExpressionError {
	var positioned *file.Error
	if errors.As(err, &positioned) {
		return &ExpressionError{Offset: positioned.From, Reason: positioned.Message}
	}
	return &ExpressionError{Reason: err.Error()}
}

// resultKind is the type that an expression must yield.
type resultKind int

const (
	boolResult resultKind = iota
	textResult
)

// option returns the compiler option that demands the type.
func (k resultKind) option() expr.Option {
	if k == textResult {
		return expr.AsKind(reflect.String)
	}
	return expr.AsBool()
}

// compiledExpr is an expression that was loaded.
type compiledExpr struct {
	program      *vm.Program
	cost         int           // worst case, in units
	requirements []requirement // all of which must hold for the expression to be true
}

// compiler loads the expressions of one table.
type compiler struct {
	schema      []Field
	environment any      // a value of the type that expressions are evaluated against
	slots       []string // parameters that are read, by slot
}

// slot returns the slot of a parameter, a new one if it is not read yet.
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

// compile loads an expression: it parses and rewrites it, estimates its worst-case cost, and compiles it.
func (c *compiler) compile(source string, want resultKind) (*compiledExpr, *ExpressionError) {
	if len(source) > maxSourceBytes {
		return nil, expressionError("%d bytes are over %d", len(source), maxSourceBytes)
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
		return nil, expressionError("over %d different parameters are read", maxParams)
	}
	costs := estimator{schema: c.schema}
	worst, exprErr := costs.estimate(tree.Node, 0)
	if exprErr != nil {
		return nil, exprErr
	}
	if worst.cost > MaxCost {
		return nil, expressionError("its worst cost is %d, at most %d is allowed", worst.cost, MaxCost)
	}
	// The library parses the source anew, so the same rewriting is applied once more.
	program, err := expr.Compile(source, expr.Env(c.environment), want.option(), expr.DisableAllBuiltins(),
		expr.Patch(&rewriter{compiler: c}), expr.MaxNodes(nodesPerSourceNode*maxNodes))
	if err != nil {
		return nil, libraryError(err)
	}
	return &compiledExpr{program: program, cost: worst.cost, requirements: requirementsOf(tree.Node)}, nil
}

// checkRegexp reports a regular expression that is invalid or compiles to too many instructions.
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
		return fmt.Errorf("regular expression: %d instructions are over %d", len(program.Inst), maxRegexpInstructions)
	}
	if _, err := regexp.Compile(source); err != nil {
		return fmt.Errorf("regular expression: %w", err)
	}
	return nil
}
