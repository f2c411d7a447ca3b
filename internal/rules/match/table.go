package match

import (
	"errors"
	"fmt"
	"slices"

	"calicohill/routing"

	"github.com/expr-lang/expr/vm"
)

// Place is where something stands in a file.
type Place struct {
	File         string
	Line, Column int
}

// Text is an expression and where it stands.
type Text struct {
	Place
	Source string
}

// Rule is a rule as it is written. A Text without a Source is left out.
type Rule struct {
	Place
	Name   string
	When   Text // no condition always holds
	Class  Text
	Key    Text
	Route  Text
	Labels []Label
	Splits []Split // in order; what is left goes to Route
	Stop   bool
}

// Split sends a part of a rule's requests to a route: the same ones for all tries under a key.
type Split struct {
	Place
	Route string
	Part  int // of 1,000
}

// Label is a label that a rule gives.
type Label struct {
	Name  string
	Value Text
}

// Class is a class of the site.
type Class struct {
	Name   string
	Effect routing.Idempotency
}

// Fault is what is wrong with a rule, or, as a warning, what seems to be.
type Fault struct {
	Place
	Directive, Reason string
	Warning           bool
}

func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Directive, f.Reason)
}

// Result is what the rules make of a request.
type Result struct {
	Class  string // "" where no rule gives one
	Key    string // affinity key; "" where no rule gives one
	Route  string
	Labels map[string]string
	Rules  []string // that matched, in order
	Cost   int      // estimated, of what was evaluated
	Failed []string // rules whose evaluation failed, each with the reason
}

// Count is what became of one rule so far.
type Count struct {
	Rule    string `json:"rule"`
	Tried   uint64 `json:"tried"`
	Matched uint64 `json:"matched"`
	Failed  uint64 `json:"failed"`
	Cost    uint64 `json:"cost"` // estimated, of what was evaluated
}

var errCostLimit = errors.New("the limit of a request's cost is reached")

// memoryBudget is how many values an expression may put together, by the library's own count.
const evaluationMemoryBudget = 4 * maxTextBytes

type compiledRule struct {
	Rule
	when, class, key, route *compiledExpr
	constantClass           string // the class, where it is one
	labels                  []*compiledExpr
	maxCost                 int
	counts                  Count
}

// Table is rules that were loaded. It is not safe for concurrent use.
type Table struct {
	rules      []*compiledRule
	classes    map[string]Class
	index      *ruleIndex
	slots      []string
	costLimit  int // the worst that a request can cost
	env        environment
	candidates []int
	machine    vm.VM
	unindexed  bool // without the index, for tests and measurements
}

// Load loads rules for a site's classes; nil where they are not known, and then no name of one is checked. It reports everything wrong with them at once; with a fault that is no
// warning there is no Table.
func Load(rules []Rule, classes []Class) (*Table, []Fault) {
	t := &Table{classes: map[string]Class{}}
	for _, c := range classes {
		t.classes[c.Name] = c
	}
	var faults []Fault
	bad := 0
	fault := func(at Place, directive, format string, args ...any) {
		faults = append(faults, Fault{Place: at, Directive: directive, Reason: fmt.Sprintf(format, args...)})
		bad++
	}
	if len(rules) > MaxRules {
		fault(rules[MaxRules].Place, "match", "%d rules are over %d", len(rules), MaxRules)
		return nil, faults
	}
	c := &compiler{schema: Schema, env: &environment{}}
	for _, in := range rules {
		r := &compiledRule{Rule: in, counts: Count{Rule: in.Name}}
		load := func(directive string, x Text, want resultKind) *compiledExpr {
			if x.Source == "" {
				return nil
			}
			code, refusal := c.compile(x.Source, want)
			if refusal != nil {
				at := x.Place
				at.Column += refusal.At
				fault(at, directive, "%s", refusal.Reason)
				return nil
			}
			r.maxCost += code.cost
			return code
		}
		when := in.When
		if when.Source == "" {
			when.Source = "true"
		}
		r.when = load("when", when, boolResult)
		if in.Class.Source != "" {
			// A plain word is the name of a class; anything else an expression that yields one.
			if name := in.Class.Source; isPlainName(name) {
				if _, ok := t.classes[name]; !ok && classes != nil {
					fault(in.Class.Place, "class", "no class %q is among the site's%s", name, classNames(classes))
				}
				r.constantClass = name
			} else {
				r.class = load("class", in.Class, textResult)
			}
		}
		r.key = load("key", in.Key, textResult)
		if isPlainName(in.Route.Source) {
			in.Route.Source = `"` + in.Route.Source + `"`
		}
		r.route = load("route", in.Route, textResult)
		parts := 0
		for _, s := range in.Splits {
			if parts += s.Part; parts > 1000 {
				fault(s.Place, "split", "the parts add up to %d of 1,000", parts)
			}
		}
		for _, l := range in.Labels {
			r.labels = append(r.labels, load("label", l.Value, textResult))
		}
		t.rules = append(t.rules, r)
	}
	if bad > 0 {
		return nil, faults
	}
	t.index = newRuleIndex(t.rules)
	// What one request can meet: all rules without a need, and of the others those that share what they need.
	worst, at := t.worstCost()
	if worst > MaxPath {
		fault(at, "match", "the rules that one request can meet cost up to %d, at most %d is allowed", worst, MaxPath)
		return nil, faults
	}
	t.costLimit = worst
	t.machine.MemoryBudget = evaluationMemoryBudget
	t.slots = c.slots
	t.env.Slots, t.env.Has = make([][]string, len(c.slots)), make([]bool, len(c.slots))
	return t, append(faults, t.warnings()...)
}

func isPlainName(s string) bool {
	for _, c := range []byte(s) {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return s != ""
}

func classNames(classes []Class) string {
	names := ""
	for i, c := range classes {
		names += map[bool]string{true: ": ", false: ", "}[i == 0] + c.Name
	}
	return names
}

// path is the worst cost of the rules that one request can meet, and the last of them.
func (t *Table) worstCost() (worst int, at Place) {
	sum := func(list []int) (n int) {
		for _, i := range list {
			n += t.rules[i].maxCost
		}
		return n
	}
	worst = sum(t.index.unindexed)
	for _, f := range t.index.fields {
		most := 0
		for _, list := range f.byValue {
			most = max(most, sum(list))
		}
		worst += most
		// A text may have one prefix of each length.
		byLength := map[int]int{}
		for p, list := range f.byPrefix {
			byLength[len(p)] = max(byLength[len(p)], sum(list))
		}
		for _, n := range byLength {
			worst += n
		}
	}
	if n := len(t.rules); n > 0 {
		at = t.rules[n-1].Place
	}
	return worst, at
}

// warnings finds rules that nothing can reach, where that is cheap to see: behind one that always holds and stops,
// with the very condition of an earlier one that stops, or needing one field to be two things.
func (t *Table) warnings() (list []Fault) {
	stopped, seen := "", map[string]string{}
	for _, r := range t.rules {
		warn := func(format string, args ...any) {
			list = append(list, Fault{Place: r.Place, Directive: "match " + r.Name, Reason: fmt.Sprintf(format, args...), Warning: true})
		}
		if stopped != "" {
			warn("can never match: %s always does, and stops", stopped)
			continue
		}
		if other, ok := seen[r.When.Source]; ok && r.When.Source != "" {
			warn("can never match: %s has the same condition, and stops", other)
		}
		for i, a := range r.when.requirements {
			for _, b := range r.when.requirements[i+1:] {
				if a.field == b.field && len(a.prefixes)+len(b.prefixes) == 0 &&
					!slices.ContainsFunc(a.values, func(s string) bool { return slices.Contains(b.values, s) }) {
					warn("contradicts itself: %s can't be both", a.field)
				}
			}
		}
		if r.Stop {
			if r.When.Source == "" || r.When.Source == "true" {
				stopped = r.Name
			}
			if _, ok := seen[r.When.Source]; !ok {
				seen[r.When.Source] = r.Name
			}
		}
	}
	return list
}

// Slots is the parameters that the rules read, in the order in which Request.Params has them.
func (t *Table) Slots() []string { return t.slots }

// Limit is the worst that a request can cost.
func (t *Table) Limit() int { return t.costLimit }

// Len is the number of rules.
func (t *Table) Len() int { return len(t.rules) }

// Counts is what became of each rule so far.
func (t *Table) Counts() []Count {
	list := make([]Count, len(t.rules))
	for i, r := range t.rules {
		list[i] = r.counts
	}
	return list
}

// Match evaluates the rules for a request. Class, key, route and each label are given by the first rule that matches
// and gives one. A rule whose evaluation fails does not match.
func (t *Table) Match(q *Request) (out Result) {
	e := t.fillEnvironment(q)
	if t.unindexed {
		t.candidates = t.candidates[:0]
		for i := range t.rules {
			t.candidates = append(t.candidates, i)
		}
	} else {
		t.candidates = t.index.candidates(e, t.candidates)
	}
	for _, i := range t.candidates {
		r := t.rules[i]
		r.counts.Tried++
		// The meter: whatever an estimate may have missed, a request is evaluated no further than its limit. What is
		// left does not match.
		if !t.unindexed && out.Cost+r.maxCost > t.costLimit {
			r.counts.Failed++
			out.Failed = append(out.Failed, r.Name+": "+errCostLimit.Error())
			break
		}
		r.counts.Cost += uint64(r.when.cost)
		out.Cost += r.when.cost
		v, err := t.evaluate(r.when, e)
		if err == nil && v != true {
			continue
		}
		if err == nil {
			err = t.apply(r, e, q, &out)
		}
		if err != nil {
			r.counts.Failed++
			out.Failed = append(out.Failed, r.Name+": "+err.Error())
			continue
		}
		r.counts.Matched++
		out.Rules = append(out.Rules, r.Name)
		if r.Stop {
			break
		}
	}
	return out
}

func (t *Table) evaluate(c *compiledExpr, e *environment) (v any, err error) {
	// The library reports what goes wrong as an error; a fault of its own must not end the scheduler either.
	defer func() {
		if p := recover(); p != nil {
			v, err = nil, fmt.Errorf("evaluation: %v", p)
		}
	}()
	return t.machine.Run(c.program, e)
}

// apply takes in what follows from a rule, all of it or, with an error, nothing.
func (t *Table) apply(r *compiledRule, e *environment, q *Request, out *Result) error {
	next := *out
	value := func(c *compiledExpr, most int) (string, error) {
		out.Cost += c.cost
		r.counts.Cost += uint64(c.cost)
		v, err := t.evaluate(c, e)
		if err != nil {
			return "", err
		}
		s, _ := v.(string)
		if s == "" || len(s) > most {
			return "", fmt.Errorf("a value of %d bytes, 1 to %d are allowed", len(s), most)
		}
		return s, nil
	}
	if next.Class == "" && (r.constantClass != "" || r.class != nil) {
		name, err := r.constantClass, error(nil)
		if r.class != nil {
			name, err = value(r.class, maxClassBytes)
		}
		if err != nil {
			return err
		}
		if err := t.checkClassChange(q, name); err != nil {
			return err
		}
		next.Class = name
	}
	if next.Key == "" && r.key != nil {
		s, err := value(r.key, maxTextBytes)
		if err != nil {
			return err
		}
		next.Key = s
	}
	if x := e.Share; next.Route == "" {
		for _, s := range r.Splits {
			if x -= s.Part; x < 0 {
				next.Route = s.Route
				break
			}
		}
	}
	if next.Route == "" && r.route != nil {
		s, err := value(r.route, maxNameBytes)
		if err != nil {
			return err
		}
		next.Route = s
	}
	var labels map[string]string
	for i, l := range r.Labels {
		if _, ok := next.Labels[l.Name]; ok {
			continue
		}
		s, err := value(r.labels[i], maxValueBytes)
		if err != nil {
			return err
		}
		if labels == nil {
			labels = map[string]string{}
			for k, v := range next.Labels {
				labels[k] = v
			}
		}
		labels[l.Name] = s
	}
	if labels != nil {
		next.Labels = labels
	}
	next.Cost = out.Cost
	*out = next
	return nil
}

// may reports whether a rule may move a request to a class: one that is at least as strict about repeats as the one
// that its client named, and a keyed one only with a key.
func (t *Table) checkClassChange(q *Request, name string) error {
	to, ok := t.classes[name]
	if !ok {
		return fmt.Errorf("no class %.40q", name)
	}
	if from, ok := t.classes[q.Class]; ok && to.Effect < from.Effect {
		return fmt.Errorf("class %s is less strict about repeats than %s", to.Name, from.Name)
	}
	if to.Effect == routing.IdempotentByKey && q.OnceKey == "" {
		return fmt.Errorf("class %s needs an idempotency key", to.Name)
	}
	return nil
}
