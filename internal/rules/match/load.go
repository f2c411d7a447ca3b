package match

import (
	"fmt"
	"strings"
)

// loader compiles rules and collects their errors.
type loader struct {
	compiler compiler
	classes  []Class // nil if unknown
	byName   map[string]Class
	errs     []RuleError
}

// Load loads rules for the classes of a site. Where the classes are not known (nil), no class name is checked. All
// errors are reported at once; unless they are all warnings, there is no Table.
func Load(rules []Rule, classes []Class) (*Table, []RuleError) {
	ruleLoader := &loader{
		compiler: compiler{schema: Schema, environment: &environment{}},
		classes:  classes,
		byName:   map[string]Class{},
	}
	for _, class := range classes {
		ruleLoader.byName[class.Name] = class
	}
	if len(rules) > MaxRules {
		ruleLoader.addError(rules[MaxRules].Position, "match", "%d rules are over %d", len(rules), MaxRules)
		return nil, ruleLoader.errs
	}
	table := &Table{classes: ruleLoader.byName}
	for _, source := range rules {
		table.rules = append(table.rules, ruleLoader.loadRule(source))
	}
	if len(ruleLoader.errs) > 0 {
		return nil, ruleLoader.errs
	}
	table.index = newRuleIndex(table.rules)
	worst := table.index.worstCost(table.rules)
	if worst > MaxPath {
		last := rules[len(rules)-1]
		ruleLoader.addError(last.Position, "match", "the rules that one request can meet cost up to %d, at most %d is allowed", worst, MaxPath)
		return nil, ruleLoader.errs
	}
	table.costLimit = worst
	table.machine.MemoryBudget = evaluationMemoryBudget
	table.slots = ruleLoader.compiler.slots
	table.env = newEnvironment(len(table.slots))
	return table, warnings(table.rules)
}

func (l *loader) addError(at Position, directive, format string, args ...any) {
	l.errs = append(l.errs, RuleError{Position: at, Directive: directive, Reason: fmt.Sprintf(format, args...)})
}

func (l *loader) loadRule(source Rule) *compiledRule {
	loaded := &compiledRule{Rule: source, counts: RuleCounts{Rule: source.Name}}
	when := source.When
	if when.Source == "" {
		when.Source = "true"
	}
	loaded.when = l.loadExpression(loaded, "when", when, boolResult)
	l.loadClass(loaded)
	loaded.key = l.loadExpression(loaded, "key", source.Key, textResult)
	route := source.Route
	if isPlainName(route.Source) {
		route.Source = `"` + route.Source + `"`
	}
	loaded.route = l.loadExpression(loaded, "route", route, textResult)
	l.checkSplits(source.Splits)
	for _, label := range source.Labels {
		loaded.labels = append(loaded.labels, l.loadExpression(loaded, "label", label.Value, textResult))
	}
	return loaded
}

// loadExpression compiles an expression and adds its cost to the rule's. It returns nil for one that was left out or
// is rejected.
func (l *loader) loadExpression(r *compiledRule, directive string, expression Expression, want resultKind) *compiledExpr {
	if expression.Source == "" {
		return nil
	}
	compiled, exprErr := l.compiler.compile(expression.Source, want)
	if exprErr != nil {
		l.errs = append(l.errs, expression.RuleError(directive, exprErr))
		return nil
	}
	r.maxCost += compiled.cost
	return compiled
}

// loadClass loads the class directive: a plain name is the name of a class, anything else an expression.
func (l *loader) loadClass(r *compiledRule) {
	class := r.Class
	if !isPlainName(class.Source) {
		r.class = l.loadExpression(r, "class", class, textResult)
		return
	}
	if _, ok := l.byName[class.Source]; !ok && l.classes != nil {
		l.addError(class.Position, "class", "no class %q is among the site's%s", class.Source, classList(l.classes))
	}
	r.constantClass = class.Source
}

func (l *loader) checkSplits(splits []Split) {
	total := 0
	for _, split := range splits {
		total += split.PerMille
		if total > totalBuckets {
			l.addError(split.Position, "split", "the parts add up to %d of 1,000", total)
		}
	}
}

// isPlainName reports whether a text is a name rather than an expression: letters, digits, hyphens and underscores.
func isPlainName(text string) bool {
	for _, c := range []byte(text) {
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		isDigit := c >= '0' && c <= '9'
		if !isLetter && !isDigit && c != '-' && c != '_' {
			return false
		}
	}
	return text != ""
}

// classList returns the names of classes for a message: a colon and the list, or "" if there are none.
func classList(classes []Class) string {
	if len(classes) == 0 {
		return ""
	}
	names := make([]string, len(classes))
	for i, class := range classes {
		names[i] = class.Name
	}
	return ": " + strings.Join(names, ", ")
}

// warnings finds rules that can never match, where that is cheap to see: behind one that always matches and stops,
// with the very condition of an earlier one that stops, or with a condition that contradicts itself.
func warnings(rules []*compiledRule) []RuleError {
	var list []RuleError
	stoppedBy := ""
	stopsFor := map[string]string{} // the first rule that stops, by its condition
	for _, checked := range rules {
		warn := func(format string, args ...any) {
			reason := fmt.Sprintf(format, args...)
			list = append(list, RuleError{Position: checked.Position, Directive: "match " + checked.Name, Reason: reason, Warning: true})
		}
		if stoppedBy != "" {
			warn("can never match: %s always does, and stops", stoppedBy)
			continue
		}
		condition := checked.When.Source
		if earlier, ok := stopsFor[condition]; ok && condition != "" {
			warn("can never match: %s has the same condition, and stops", earlier)
		}
		for _, field := range contradictions(checked.when.requirements) {
			warn("contradicts itself: %s can't be both", field)
		}
		if !checked.Stop {
			continue
		}
		if condition == "" || condition == "true" {
			stoppedBy = checked.Name
		}
		if _, ok := stopsFor[condition]; !ok {
			stopsFor[condition] = checked.Name
		}
	}
	return list
}

// contradictions returns the field of each pair of requirements that cannot both hold.
func contradictions(requirements []requirement) []string {
	var fields []string
	for i, a := range requirements {
		for _, b := range requirements[i+1:] {
			if a.contradicts(b) {
				fields = append(fields, a.field)
			}
		}
	}
	return fields
}
