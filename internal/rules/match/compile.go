package match

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"regexp/syntax"
	"slices"
	"strings"
	"time"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/parser"
	"github.com/expr-lang/expr/vm"
)

// Bounds of what is loaded.
const (
	MaxRules              = 10000
	maxSourceBytes        = 2048 // bytes of an expression
	maxNodes              = 256
	maxNesting            = 24
	maxParams             = 64   // different parameters that all rules read
	maxTextBytes          = 1024 // bytes that an expression may yield or put together
	maxRegexpInstructions = 200  // instructions of a regular expression
	// MaxCost is the worst cost that an expression may have, in units. A unit is about what comparing two numbers
	// takes.
	MaxCost = 2000
	// MaxPath is the worst cost of all rules that one request may meet.
	MaxPath = 200000
)

// A Refusal says what is wrong with an expression, and at which byte of it, from 0.
type Refusal struct {
	At     int
	Reason string
}

func (r *Refusal) Error() string { return r.Reason }

func refusalAt(n ast.Node, format string, args ...any) *Refusal {
	return &Refusal{n.Location().From, fmt.Sprintf(format, args...)}
}

// kind is the type that an expression must yield.
type resultKind int

const (
	boolResult resultKind = iota
	textResult
)

// code is an expression that was loaded.
type compiledExpr struct {
	program      *vm.Program
	cost         int
	requirements []requirement // each of which must hold for a truth
}

// compiler loads the expressions of one table.
type compiler struct {
	schema []Field
	env    any      // a value of the type that expressions are evaluated against
	slots  []string // parameters, by slot
}

func (c *compiler) slot(name string) int {
	i := slices.Index(c.slots, name)
	if i < 0 {
		i = len(c.slots)
		c.slots = append(c.slots, name)
	}
	return i
}

// compile loads an expression.
func (c *compiler) compile(source string, want resultKind) (*compiledExpr, *Refusal) {
	if len(source) > maxSourceBytes {
		return nil, &Refusal{0, fmt.Sprintf("%d bytes are over %d", len(source), maxSourceBytes)}
	}
	tree, err := parser.Parse(source)
	if err != nil {
		return nil, libraryRefusal(err)
	}
	before := len(c.slots)
	rw := &rewriter{compiler: c, firstPass: true}
	ast.Walk(&tree.Node, rw)
	if rw.refusal != nil {
		return nil, rw.refusal
	}
	if len(c.slots) > maxParams {
		c.slots = c.slots[:before]
		return nil, &Refusal{0, fmt.Sprintf("over %d different parameters are read", maxParams)}
	}
	e := estimator{schema: c.schema}
	f, refusal := e.estimate(tree.Node, 0)
	if refusal != nil {
		return nil, refusal
	}
	if f.cost > MaxCost {
		return nil, &Refusal{0, fmt.Sprintf("its worst cost is %d, at most %d is allowed", f.cost, MaxCost)}
	}
	as := expr.AsBool()
	if want == textResult {
		as = expr.AsKind(reflect.String)
	}
	again := &rewriter{compiler: c}
	program, err := expr.Compile(source, expr.Env(c.env), as, expr.DisableAllBuiltins(), expr.Patch(again), expr.MaxNodes(4*maxNodes))
	if err != nil {
		return nil, libraryRefusal(err)
	}
	return &compiledExpr{program: program, cost: f.cost, requirements: requirementsOf(tree.Node)}, nil
}

// failed is the refusal that an error of the library stands for.
func libraryRefusal(err error) *Refusal {
	var at *file.Error
	if errors.As(err, &at) {
		return &Refusal{at.From, at.Message}
	}
	return &Refusal{0, err.Error()}
}

// rewriter turns what operators write into what is evaluated: handler.startsWith("a") into an operator, param["A"]
// into a slot, durations and regular expressions into constants.
type rewriter struct {
	compiler  *compiler
	firstPass bool // the tree is as it was written, not yet turned into anything
	refusal   *Refusal
}

func (r *rewriter) refuse(n ast.Node, format string, args ...any) {
	if r.refusal == nil {
		r.refusal = refusalAt(n, format, args...)
	}
}

// Visit is called for each node, the innermost first.
func (r *rewriter) Visit(node *ast.Node) {
	switch n := (*node).(type) {
	case *ast.IdentifierNode:
		if r.firstPass && !slices.ContainsFunc(r.compiler.schema, func(f Field) bool { return f.Name == n.Value }) && n.Value != "duration" {
			r.refuse(n, "unknown field %s", n.Value)
		}
	case *ast.BuiltinNode:
		r.rewriteCall(node, n.Name, n.Arguments)
	case *ast.MemberNode:
		base, ok := n.Node.(*ast.IdentifierNode)
		if !ok || base.Value != "param" {
			return
		}
		name, ok := n.Property.(*ast.StringNode)
		if !ok || len(name.Value) > maxNameBytes {
			r.refuse(n, "param takes the name of a parameter, as in param[\"HTTP_X_CENTRE\"]")
			return
		}
		slot := &ast.MemberNode{Node: &ast.IdentifierNode{Value: "slots_"}, Property: &ast.IntegerNode{Value: r.compiler.slot(name.Value)}}
		ast.Patch(node, &ast.MemberNode{Node: slot, Property: &ast.IntegerNode{Value: 0}})
	case *ast.BinaryNode:
		switch n.Operator {
		case "in", "not in":
			base, ok := n.Right.(*ast.IdentifierNode)
			if !ok || base.Value != "param" {
				return
			}
			name, ok := n.Left.(*ast.StringNode)
			if !ok || len(name.Value) > maxNameBytes {
				r.refuse(n, "what is looked for in param must be a constant name")
				return
			}
			var has ast.Node = &ast.MemberNode{Node: &ast.IdentifierNode{Value: "has_"}, Property: &ast.IntegerNode{Value: r.compiler.slot(name.Value)}}
			if n.Operator == "not in" {
				has = &ast.UnaryNode{Operator: "not", Node: has}
			}
			ast.Patch(node, has)
		case "matches":
			if c, ok := n.Right.(*ast.StringNode); ok {
				if err := checkRegexp(c.Value); err != nil {
					r.refuse(c, "%v", err)
				}
			}
		}
	case *ast.CallNode:
		switch f := n.Callee.(type) {
		case *ast.MemberNode:
			name, ok := f.Property.(*ast.StringNode)
			operators := []string{"startsWith", "endsWith", "contains", "matches"}
			if !ok || !slices.Contains(operators, name.Value) || len(n.Arguments) != 1 {
				r.refuse(n, "no such function: there are %s, and duration(...)", strings.Join(operators, ", "))
				return
			}
			op := &ast.BinaryNode{Operator: name.Value, Left: f.Node, Right: n.Arguments[0]}
			op.SetLocation(n.Location())
			var moved ast.Node = op
			ast.Patch(node, moved)
			r.Visit(node)
		case *ast.IdentifierNode:
			r.rewriteCall(node, f.Value, n.Arguments)
		}
	}
}

// call turns the call of a function into a constant.
func (r *rewriter) rewriteCall(node *ast.Node, name string, args []ast.Node) {
	arg, ok := (*ast.StringNode)(nil), false
	if len(args) == 1 {
		arg, ok = args[0].(*ast.StringNode)
	}
	if name != "duration" || !ok {
		r.refuse(*node, "no such function: the only one is duration, of a constant as in duration(\"500ms\")")
		return
	}
	d, err := time.ParseDuration(arg.Value)
	if err != nil {
		r.refuse(arg, "%q is no duration", arg.Value)
		return
	}
	ast.Patch(node, &ast.ConstantNode{Value: d})
}

func checkRegexp(source string) error {
	re, err := syntax.Parse(source, syntax.Perl)
	if err != nil {
		return fmt.Errorf("regular expression: %w", err)
	}
	p, err := syntax.Compile(re.Simplify())
	if err != nil {
		return fmt.Errorf("regular expression: %w", err)
	}
	if len(p.Inst) > maxRegexpInstructions {
		return fmt.Errorf("regular expression: %d instructions are over %d", len(p.Inst), maxRegexpInstructions)
	}
	if _, err := regexp.Compile(source); err != nil {
		return fmt.Errorf("regular expression: %w", err)
	}
	return nil
}

// figures are what an expression may cost, and how long a text it may yield.
type estimate struct{ cost, maxBytes int }

// estimator estimates the worst of an expression from the schema's bounds. Whatever it does not know is refused, so
// that there are no loops, no calls and no texts without a bound.
type estimator struct {
	schema []Field
	nodes  int
}

func (e *estimator) estimate(node ast.Node, depth int) (f estimate, refusal *Refusal) {
	if e.nodes++; e.nodes > maxNodes || depth > maxNesting {
		return f, refusalAt(node, "too long or too deeply nested: %d parts and %d levels are allowed", maxNodes, maxNesting)
	}
	all := func(nodes ...ast.Node) (fs []estimate, sum int) {
		for _, n := range nodes {
			if refusal != nil {
				return make([]estimate, len(nodes)), 0
			}
			var one estimate
			one, refusal = e.estimate(n, depth+1)
			fs = append(fs, one)
			sum += one.cost
		}
		return fs, sum
	}
	switch n := node.(type) {
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.ConstantNode:
		return estimate{1, 0}, nil
	case *ast.StringNode:
		return estimate{1, len(n.Value)}, nil
	case *ast.IdentifierNode:
		i := slices.IndexFunc(e.schema, func(f Field) bool { return f.Name == n.Value })
		if i < 0 || n.Value == "param" {
			return f, refusalAt(n, "no field %q that could stand here", n.Value)
		}
		return estimate{1, e.schema[i].Most}, nil
	case *ast.MemberNode: // only what the rewriter has put there
		if base, ok := n.Node.(*ast.IdentifierNode); ok && base.Value == "has_" {
			return estimate{3, 0}, nil
		}
		if inner, ok := n.Node.(*ast.MemberNode); ok {
			if base, ok := inner.Node.(*ast.IdentifierNode); ok && base.Value == "slots_" {
				return estimate{6, maxValueBytes}, nil
			}
		}
		return f, refusalAt(n, "only param has parts that can be read")
	case *ast.UnaryNode:
		_, sum := all(n.Node)
		return estimate{1 + sum, 0}, refusal
	case *ast.ConditionalNode:
		fs, sum := all(n.Cond, n.Exp1, n.Exp2)
		if refusal != nil {
			return f, refusal
		}
		return estimate{1 + sum, max(fs[1].maxBytes, fs[2].maxBytes)}, nil
	case *ast.ArrayNode:
		for _, m := range n.Nodes {
			switch m.(type) {
			case *ast.StringNode, *ast.IntegerNode:
			default:
				return f, refusalAt(m, "a list holds constants alone")
			}
		}
		fs, _ := all(n.Nodes...)
		long := 0
		for _, one := range fs {
			long = max(long, one.maxBytes)
		}
		return estimate{len(n.Nodes), long}, refusal
	case *ast.BinaryNode:
		fs, sum := all(n.Left, n.Right)
		if refusal != nil {
			return f, refusal
		}
		a, b := fs[0].maxBytes, fs[1].maxBytes
		switch n.Operator {
		case "&&", "and", "||", "or":
			return estimate{1 + sum, 0}, nil
		case "==", "!=", "<", "<=", ">", ">=":
			return estimate{1 + sum + min(a, b)/16, 0}, nil
		case "startsWith", "endsWith":
			return estimate{2 + sum + min(a, b)/16, 0}, nil
		case "contains":
			return estimate{2 + sum + a/2, 0}, nil
		case "matches":
			c, ok := n.Right.(*ast.StringNode)
			if !ok {
				return f, refusalAt(n, "a regular expression must be a constant")
			}
			// Linear in the text and, at the worst, in the expression.
			return estimate{20 + sum + a*(1+len(c.Value)/8), 0}, nil
		case "in", "not in":
			if _, ok := n.Right.(*ast.ArrayNode); !ok {
				return f, refusalAt(n, "%s takes a list of constants, or param", n.Operator)
			}
			return estimate{4 + sum + a/16, 0}, nil
		case "+":
			if a+b > maxTextBytes {
				return f, refusalAt(n, "a text of up to %d bytes is over %d", a+b, maxTextBytes)
			}
			return estimate{4 + sum + (a+b)/8, a + b}, nil
		case "-", "*", "/", "%":
			return estimate{2 + sum, 0}, nil
		}
		return f, refusalAt(n, "no operator %q here", n.Operator)
	}
	return f, refusalAt(node, "this has no place in a rule: no loops, calls, variables or slices")
}
