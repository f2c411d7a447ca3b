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

// Load compiles rules for the classes of a site. If classes is nil, class names are not checked. Load returns all
// errors and warnings of the rules; the Table is nil if there is an error that is not a warning.
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
		ruleLoader.addError(rules[MaxRules].Position, "match", "%d rules exceed the maximum of %d", len(rules), MaxRules)
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
	if worst > MaxRequestCost {
		last := rules[len(rules)-1]
		ruleLoader.addError(last.Position, "match", "the worst-case cost of all rules for one request is %d; the maximum is %d", worst, MaxRequestCost)
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

// loadExpression compiles an expression and adds its cost to the rule. It returns nil if the expression is empty or
// rejected.
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

// loadClass compiles the class directive: a plain name is the name of a class, anything else an expression.
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
			l.addError(split.Position, "split", "the splits add up to %d of 1,000", total)
		}
	}
}

// isPlainName reports whether text is a name rather than an expression. A name consists of letters, digits, hyphens and
// underscores.
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

// classList formats the names of classes for an error message: a colon and the list, or "" if there are no classes.
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

// warnings returns a warning for each rule that can never match, as far as that is cheap to detect. Such a rule follows
// one that always matches and stops, repeats the condition of an earlier rule that stops, or has a condition that
// contradicts itself.
func warnings(rules []*compiledRule) []RuleError {
	var list []RuleError
	stoppedBy := ""
	stopRuleByCondition := map[string]string{} // the first rule with stop, by its condition
	for _, checked := range rules {
		warn := func(format string, args ...any) {
			reason := fmt.Sprintf(format, args...)
			list = append(list, RuleError{Position: checked.Position, Directive: "match " + checked.Name, Reason: reason, Warning: true})
		}
		if stoppedBy != "" {
			warn("can never match: rule %s always matches and stops", stoppedBy)
			continue
		}
		condition := checked.When.Source
		if earlier, ok := stopRuleByCondition[condition]; ok && condition != "" {
			warn("can never match: rule %s has the same condition and stops", earlier)
		}
		for _, field := range contradictions(checked.when.requirements) {
			warn("can never match: the condition requires two different values of %s", field)
		}
		if !checked.Stop {
			continue
		}
		if condition == "" || condition == "true" {
			stoppedBy = checked.Name
		}
		if _, ok := stopRuleByCondition[condition]; !ok {
			stopRuleByCondition[condition] = checked.Name
		}
	}
	return list
}

// contradictions returns the field of each pair of requirements that contradict each other.
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
