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

// Rule is a rule as the operator wrote it. An Expression with an empty Source was left out.
type Rule struct {
	Position
	Name   string
	When   Expression // the condition; left out, it always holds
	Class  Expression
	Key    Expression // affinity key
	Route  Expression
	Labels []Label
	Splits []Split // in order; the rest of the requests goes to Route
	Stop   bool    // no further rule is evaluated if this one matches
}

// Split sends a fraction of a rule's requests to a route. All requests under one idempotency key go the same way.
type Split struct {
	Position
	Route    string
	PerMille int // of 1,000
}

// Label is a label that a rule gives to a request.
type Label struct {
	Name  string
	Value Expression
}

// Class is a class of requests, as the site declares it.
type Class struct {
	Name        string
	Idempotency routing.Idempotency
}

// RuleError is an error in a rule or, as a warning, a likely one.
type RuleError struct {
	Position
	Directive string
	Reason    string
	Warning   bool
}

// Error returns the position, the directive and the reason on one line.
func (e RuleError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", e.File, e.Line, e.Column, e.Directive, e.Reason)
}

// RuleError returns the error of a directive whose expression was rejected, at the position of what is wrong.
func (e Expression) RuleError(directive string, rejected *ExpressionError) RuleError {
	position := e.Position
	position.Column += rejected.Offset
	return RuleError{Position: position, Directive: directive, Reason: rejected.Reason}
}

// Result is the outcome of all rules for a request. A string is empty where no rule gives one.
type Result struct {
	Class  string
	Key    string // affinity key
	Route  string
	Labels map[string]string
	Rules  []string // that matched, in order
	Cost   int      // estimated, of the expressions that were evaluated
	Failed []string // rules whose evaluation failed, each with the reason
}

// RuleCounts holds the counters of one rule since it was loaded.
type RuleCounts struct {
	Rule    string `json:"rule"`
	Tried   uint64 `json:"tried"`
	Matched uint64 `json:"matched"`
	Failed  uint64 `json:"failed"`
	Cost    uint64 `json:"cost"` // estimated, of the expressions that were evaluated
}
