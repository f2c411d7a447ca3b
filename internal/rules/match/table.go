package match

import (
	"fmt"

	"calicohill/routing"

	"github.com/expr-lang/expr/vm"
)

// compiledRule is a rule that was loaded. An expression that the rule leaves out is nil.
type compiledRule struct {
	Rule
	when          *compiledExpr
	class         *compiledExpr
	constantClass string // the class, where it is a constant; class is nil then
	key           *compiledExpr
	route         *compiledExpr
	labels        []*compiledExpr // in the order of Rule.Labels
	maxCost       int             // of all its expressions, in units
	counts        RuleCounts
}

// Table is a list of rules that were loaded. It is not safe for concurrent use.
type Table struct {
	rules     []*compiledRule
	classes   map[string]Class
	index     *ruleIndex
	slots     []string
	costLimit int // of a request, in units

	// The state of the latest evaluation, kept to save allocations.
	env        environment
	candidates []int
	machine    vm.VM

	unindexed bool // evaluates all rules without a limit, for tests and measurements
}

// Slots returns the parameters that the rules read, in the order in which Request.Params has them.
func (t *Table) Slots() []string { return t.slots }

// Limit is the worst-case cost of a request, in units.
func (t *Table) Limit() int { return t.costLimit }

// Len is the number of rules.
func (t *Table) Len() int { return len(t.rules) }

// Counts returns the counters of each rule, in order.
func (t *Table) Counts() []RuleCounts {
	list := make([]RuleCounts, len(t.rules))
	for i, r := range t.rules {
		list[i] = r.counts
	}
	return list
}

// Match evaluates the rules for a request. Class, key, route and each label are given by the first rule that matches
// and gives one. A rule whose evaluation fails does not match.
func (t *Table) Match(request *Request) Result {
	t.env.fill(request)
	t.findCandidates()
	pass := evaluation{table: t, request: request}
	for _, i := range t.candidates {
		r := t.rules[i]
		r.counts.Tried++
		// Whatever an estimate may have missed, a request is evaluated no further than its limit. The rules that are
		// left do not match.
		if !t.unindexed && pass.result.Cost+r.maxCost > t.costLimit {
			pass.fail(r, errCostLimit)
			break
		}
		if pass.evaluateRule(r) && r.Stop {
			break
		}
	}
	return pass.result
}

// findCandidates lists the rules that can match the request in the environment.
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

// checkClassChange reports why a rule may not move a request to a class. The class must be at least as strict about
// retries as the one that the client requested, and one by idempotency key needs a key.
func (t *Table) checkClassChange(request *Request, name string) error {
	to, ok := t.classes[name]
	if !ok {
		return fmt.Errorf("no class %.40q", name)
	}
	if from, ok := t.classes[request.Class]; ok && to.Idempotency < from.Idempotency {
		return fmt.Errorf("class %s is less strict about repeats than %s", to.Name, from.Name)
	}
	if to.Idempotency == routing.IdempotentByKey && request.IdempotencyKey == "" {
		return fmt.Errorf("class %s needs an idempotency key", to.Name)
	}
	return nil
}
