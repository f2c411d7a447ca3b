package match

import (
	"fmt"

	"calicohill/routing"

	"github.com/expr-lang/expr/vm"
)

// compiledRule is a rule with its compiled expressions. Expressions that the rule does not have are nil.
type compiledRule struct {
	Rule
	when          *compiledExpr
	class         *compiledExpr // nil if the class is a constant
	constantClass string        // "" if the class is not a constant
	key           *compiledExpr
	route         *compiledExpr
	labels        []*compiledExpr // in the order of Rule.Labels
	maxCost       int             // worst-case cost of all expressions of the rule, in units
	counts        RuleCounts
}

// Table is an ordered list of compiled rules. It is not safe for concurrent use.
type Table struct {
	rules     []*compiledRule
	classes   map[string]Class // by name
	index     *ruleIndex
	slots     []string
	costLimit int // maximum cost of evaluating one request, in units

	// State of the latest evaluation, reused to avoid allocations.
	env        environment
	candidates []int
	machine    vm.VM

	unindexed bool // evaluate all rules without a cost limit, for tests and measurements
}

// Slots returns the names of the parameters that the rules read, in the order of Request.Params.
func (t *Table) Slots() []string { return t.slots }

// Limit returns the maximum cost of evaluating one request, in units.
func (t *Table) Limit() int { return t.costLimit }

// Len returns the number of rules.
func (t *Table) Len() int { return len(t.rules) }

// Counts returns the counters of all rules, in the order of the rules.
func (t *Table) Counts() []RuleCounts {
	list := make([]RuleCounts, len(t.rules))
	for i, r := range t.rules {
		list[i] = r.counts
	}
	return list
}

// Match evaluates the rules for a request in order. Class, key, route and each label are set by the first matching rule
// that defines them. A rule whose evaluation fails does not match.
func (t *Table) Match(request *Request) Result {
	t.env.fill(request)
	t.findCandidates()
	eval := evaluation{table: t, request: request}
	for _, i := range t.candidates {
		r := t.rules[i]
		r.counts.Tried++
		// Enforce the cost limit even if an estimate was too low. The remaining rules do not match.
		if !t.unindexed && eval.result.Cost+r.maxCost > t.costLimit {
			eval.fail(r, errCostLimit)
			break
		}
		if eval.evaluateRule(r) && r.Stop {
			break
		}
	}
	return eval.result
}

// findCandidates stores the rules that can match the request in t.env in t.candidates.
func (t *Table) findCandidates() {
	if !t.unindexed {
		t.candidates = t.index.candidates(&t.env, t.candidates)
		return
	}
	t.candidates = t.candidates[:0]
	for i := range t.rules {
		t.candidates = append(t.candidates, i)
	}
}

// checkClassChange returns an error if a rule may not assign a request to a class. The class must be at least as strict
// about retries as the class that the client requested. A class that is idempotent by key requires an idempotency key.
func (t *Table) checkClassChange(request *Request, name string) error {
	to, ok := t.classes[name]
	if !ok {
		return fmt.Errorf("unknown class %.40q", name)
	}
	if from, ok := t.classes[request.Class]; ok && to.Idempotency < from.Idempotency {
		return fmt.Errorf("class %s is less strict about retries than %s", to.Name, from.Name)
	}
	if to.Idempotency == routing.IdempotentByKey && request.IdempotencyKey == "" {
		return fmt.Errorf("class %s needs an idempotency key", to.Name)
	}
	return nil
}
