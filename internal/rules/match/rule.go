package match

import (
	"fmt"

	"calicohill/routing"
)

// Position is a position in an operator's file.
type Position struct {
	File   string
	Line   int // from 1
	Column int // from 1, in bytes
}

// Expression is an expression and its position.
type Expression struct {
	Position
	Source string
}

// Rule is a rule as defined in the operator's file. An Expression with an empty Source is not set.
type Rule struct {
	Position
	Name   string
	When   Expression // the condition; always true if not set
	Class  Expression
	Key    Expression // affinity key
	Route  Expression
	Labels []Label
	Splits []Split // in order; the remaining requests get Route
	Stop   bool    // no further rule is evaluated if this one matches
}

// Split sends a fraction of the requests of a rule to a route. All requests with one idempotency key get the same
// route.
type Split struct {
	Position
	Route    string
	PerMille int
}

// Label is a label that a rule adds to a request.
type Label struct {
	Name  string
	Value Expression
}

// Class is a request class of the site.
type Class struct {
	Name        string
	Idempotency routing.Idempotency
}

// RuleError is an error in a rule, or a warning about a rule that is valid but probably wrong.
type RuleError struct {
	Position
	Directive string
	Reason    string
	Warning   bool
}

// Error returns the position, the directive and the reason in one line.
func (e RuleError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", e.File, e.Line, e.Column, e.Directive, e.Reason)
}

// RuleError converts the error of an expression in a directive to a RuleError at the position of the error in the file.
func (e Expression) RuleError(directive string, rejected *ExpressionError) RuleError {
	position := e.Position
	position.Column += rejected.Offset
	return RuleError{Position: position, Directive: directive, Reason: rejected.Reason}
}

// Result is the result of evaluating all rules for a request. Strings that no rule sets are empty.
type Result struct {
	Class  string
	Key    string // affinity key
	Route  string
	Labels map[string]string
	Rules  []string // names of the rules that matched, in order
	Cost   int      // estimated cost of the expressions that were evaluated, in units
	Failed []string // names of the rules whose evaluation failed, each with the error
}

// RuleCounts contains the counters of one rule since it was loaded.
type RuleCounts struct {
	Rule    string `json:"rule"`
	Tried   uint64 `json:"tried"`
	Matched uint64 `json:"matched"`
	Failed  uint64 `json:"failed"`
	Cost    uint64 `json:"cost"` // estimated cost of the expressions that were evaluated, in units
}
