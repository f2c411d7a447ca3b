package match

import (
	"errors"
	"fmt"
	"maps"

	"github.com/expr-lang/expr/vm"
)

// evaluationMemoryBudget limits the values that one expression may allocate, as counted by the expression library.
const evaluationMemoryBudget = 4 * maxTextBytes

// errCostLimit is returned for a rule that would exceed the cost limit of the request.
var errCostLimit = errors.New("cost limit of the request reached")

// evaluate runs an expression. A panic would be a bug in the expression library; it is returned as an error because it
// must not terminate the scheduler.
func (x *compiledExpr) evaluate(machine *vm.VM, env any) (value any, err error) {
	defer func() {
		if p := recover(); p != nil {
			value = nil
			err = fmt.Errorf("evaluation: %v", p)
		}
	}()
	return machine.Run(x.program, env)
}

// evaluation is the state of evaluating a table for one request.
type evaluation struct {
	table   *Table
	request *Request
	result  Result
}

// evaluateRule evaluates the condition of a rule and applies the rule if the condition is true. It reports whether the
// rule matched. A rule whose evaluation fails does not match.
func (e *evaluation) evaluateRule(candidate *compiledRule) bool {
	candidate.counts.Cost += uint64(candidate.when.cost)
	e.result.Cost += candidate.when.cost
	value, err := candidate.when.evaluate(&e.table.machine, &e.table.env)
	if err == nil && value != true {
		return false
	}
	if err == nil {
		err = e.apply(candidate)
	}
	if err != nil {
		e.fail(candidate, err)
		return false
	}
	candidate.counts.Matched++
	e.result.Rules = append(e.result.Rules, candidate.Name)
	return true
}

func (e *evaluation) fail(r *compiledRule, err error) {
	r.counts.Failed++
	e.result.Failed = append(e.result.Failed, r.Name+": "+err.Error())
}

// apply merges the class, key, route and labels of a rule into the result. After an error the result is unchanged
// except for its cost.
func (e *evaluation) apply(r *compiledRule) error {
	next := e.result
	if err := e.applyClass(r, &next); err != nil {
		return err
	}
	if err := e.applyKey(r, &next); err != nil {
		return err
	}
	if err := e.applyRoute(r, &next); err != nil {
		return err
	}
	if err := e.applyLabels(r, &next); err != nil {
		return err
	}
	next.Cost = e.result.Cost
	e.result = next
	return nil
}

// evaluateText evaluates an expression to a text of 1 to maxBytes bytes and adds its cost to the result.
func (e *evaluation) evaluateText(r *compiledRule, expression *compiledExpr, maxBytes int) (string, error) {
	e.result.Cost += expression.cost
	r.counts.Cost += uint64(expression.cost)
	value, err := expression.evaluate(&e.table.machine, &e.table.env)
	if err != nil {
		return "", err
	}
	text, _ := value.(string)
	if text == "" || len(text) > maxBytes {
		return "", fmt.Errorf("value of %d bytes, expected 1 to %d bytes", len(text), maxBytes)
	}
	return text, nil
}

func (e *evaluation) applyClass(r *compiledRule, next *Result) error {
	if next.Class != "" || r.constantClass == "" && r.class == nil {
		return nil
	}
	name := r.constantClass
	if r.class != nil {
		computed, err := e.evaluateText(r, r.class, maxClassBytes)
		if err != nil {
			return err
		}
		name = computed
	}
	if err := e.table.checkClassChange(e.request, name); err != nil {
		return err
	}
	next.Class = name
	return nil
}

func (e *evaluation) applyKey(r *compiledRule, next *Result) error {
	if next.Key != "" || r.key == nil {
		return nil
	}
	key, err := e.evaluateText(r, r.key, maxTextBytes)
	if err != nil {
		return err
	}
	next.Key = key
	return nil
}

// applyRoute sets the route of the split that contains the request's bucket. If no split contains it, applyRoute sets
// the route of the rule.
func (e *evaluation) applyRoute(r *compiledRule, next *Result) error {
	if next.Route != "" {
		return nil
	}
	next.Route = r.splitRoute(e.table.env.Bucket)
	if next.Route != "" || r.route == nil {
		return nil
	}
	route, err := e.evaluateText(r, r.route, maxNameBytes)
	if err != nil {
		return err
	}
	next.Route = route
	return nil
}

// splitRoute returns the route of the split that contains a bucket, or "" if there is none.
func (r *compiledRule) splitRoute(bucket int) string {
	offset := bucket // relative to the first bucket of the split
	for _, split := range r.Splits {
		offset -= split.PerMille
		if offset < 0 {
			return split.Route
		}
	}
	return ""
}

func (e *evaluation) applyLabels(r *compiledRule, next *Result) error {
	var labels map[string]string // a copy, so that the result is unchanged if a later label fails
	for i, label := range r.Labels {
		if _, isSet := next.Labels[label.Name]; isSet {
			continue
		}
		value, err := e.evaluateText(r, r.labels[i], maxValueBytes)
		if err != nil {
			return err
		}
		if labels == nil {
			labels = map[string]string{}
			maps.Copy(labels, next.Labels)
		}
		labels[label.Name] = value
	}
	if labels != nil {
		next.Labels = labels
	}
	return nil
}
