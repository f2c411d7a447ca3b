package operatorfile

import (
	"calicohill/internal/rules/match"
	"calicohill/internal/rules/pools"
)

// rules returns the rules of the file in order of appearance. Compile validates their expressions.
func (r *settingsReader) rules() []match.Rule {
	var rules []match.Rule
	for _, name := range r.document.names[sectionMatch] {
		rules = append(rules, r.rule(sectionKey{sectionMatch, name}))
	}
	return rules
}

func (r *settingsReader) rule(key sectionKey) match.Rule {
	rule := match.Rule{
		Position: r.document.sections[key].position,
		Name:     key.name,
		When:     r.document.expression(key, "when"),
		Class:    r.document.expression(key, "class"),
		Key:      r.document.expression(key, "key"),
		Route:    r.document.expression(key, "route"),
		Stop:     len(r.document.occurrences(key, "stop")) > 0,
	}
	for _, e := range r.document.occurrences(key, "label") {
		rule.Labels = append(rule.Labels, match.Label{Name: e.values[0].text, Value: e.expression(1)})
	}
	for _, e := range r.document.occurrences(key, "split") {
		split := match.Split{Position: e.position, Route: e.values[0].text, PerMille: int(e.values[1].number)}
		rule.Splits = append(rule.Splits, split)
	}
	return rule
}

// pools returns the definitions of pools in order of appearance.
func (r *settingsReader) pools() []pools.Pool {
	var definitions []pools.Pool
	for _, name := range r.document.names[sectionPool] {
		key := sectionKey{sectionPool, name}
		definitions = append(definitions, pools.Pool{
			Position: r.document.sections[key].position,
			Name:     name,
			Workers:  r.document.expression(key, "workers"),
		})
	}
	return definitions
}

// routes returns the definitions of routes in order of appearance.
func (r *settingsReader) routes() []pools.Route {
	var definitions []pools.Route
	for _, name := range r.document.names[sectionRoute] {
		key := sectionKey{sectionRoute, name}
		route := pools.Route{Position: r.document.sections[key].position, Name: name}
		for _, e := range r.document.occurrences(key, "pool") {
			route.Pools = append(route.Pools, e.expression(0))
		}
		definitions = append(definitions, route)
	}
	return definitions
}

// Compiled is the result of compiling the sections match, pool and route of an operator's file.
type Compiled struct {
	Rules    *match.Table
	Routes   *pools.Core
	Warnings ParseErrors // directives that are valid but have no effect
}

// Compile compiles the rules, pools and routes of the file. classes are the classes of the site, or nil if they are not
// known. The error has type ParseErrors; the result then contains only the warnings.
func (s *Settings) Compile(classes []match.Class) (Compiled, error) {
	table, ruleErrors := match.Load(s.Rules, classes)
	routes, routeErrors := pools.Load(s.Pools, s.Routes)
	var warnings, errs ParseErrors
	for _, ruleError := range append(ruleErrors, routeErrors...) {
		parseError := ParseError{Position: ruleError.Position, Directive: ruleError.Directive, Reason: ruleError.Reason}
		if ruleError.Warning {
			warnings = append(warnings, parseError)
		} else {
			errs = append(errs, parseError)
		}
	}
	if len(errs) > 0 {
		return Compiled{Warnings: warnings}, errs
	}
	return Compiled{Rules: table, Routes: routes, Warnings: warnings}, nil
}
