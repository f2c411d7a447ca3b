package match_test

import (
	"fmt"
	"testing"
	"time"

	"calicohill/internal/rules/match"
	"calicohill/routing"

	"pgregory.net/rapid"
)

// classes are the classes of the site in all tests, from the least to the most strict about retries.
var classes = []match.Class{{"consulta", routing.Idempotent}, {"registro-horas", routing.IdempotentByKey}, {"certificado", routing.NonIdempotent}}

// expression returns an expression at line 1, column 1 of a file.
func expression(s string) match.Expression { return match.Expression{match.Position{"f", 1, 1}, s} }

// ruleWhen returns a rule that has only a condition.
func ruleWhen(when string) match.Rule {
	return match.Rule{Position: match.Position{"f", 1, 1}, Name: "r", When: expression(when)}
}

// load compiles rules and fails the test on errors other than warnings.
func load(tb testing.TB, rules ...match.Rule) *match.Table {
	tb.Helper()
	table, errs := match.Load(rules, classes)
	if table == nil {
		tb.Fatal(errs)
	}
	return table
}

// newRequest returns a request with the given parameters and applies the change functions in order.
func newRequest(t *match.Table, params map[string]string, change ...func(*match.Request)) *match.Request {
	request := &match.Request{
		Class: "consulta", Handler: "7f3a9c21e0b4d655", Path: "/rpc/consulta", Method: "POST", Client: "127.0.0.1",
		IdempotencyKey: "k1", TimeLeft: time.Second, BodyBytes: 10, MemoryMB: 512, Concurrency: 2, LocalTime: time.Date(2026, 11, 3, 14, 30, 0, 0, time.UTC),
	}
	for _, name := range t.Slots() {
		value, ok := params[name]
		request.Params = append(request.Params, match.Param{Value: value, Present: ok})
	}
	for _, apply := range change {
		apply(request)
	}
	return request
}

// randomCondition draws a condition that the index may or may not support.
func randomCondition(rt *rapid.T, depth int) string {
	lit := func() string { return rapid.SampledFrom([]string{"", "a", "ab", "abc", "b", "bc"}).Draw(rt, "literal") }
	field := rapid.SampledFrom([]string{"class", "handler", "path", "method"}).Draw(rt, "field")
	n := 6
	if depth > 2 {
		n = 4
	}
	switch rapid.IntRange(0, n).Draw(rt, "form") {
	case 0:
		return fmt.Sprintf(`%s == %q`, field, lit())
	case 1:
		return fmt.Sprintf(`%s.startsWith(%q)`, field, lit())
	case 2:
		return fmt.Sprintf(`%s in [%q, %q]`, field, lit(), lit())
	case 3:
		return fmt.Sprintf(`%s != %q`, field, lit())
	case 4:
		return fmt.Sprintf(`param["P"] == %q`, lit())
	case 5:
		return "(" + randomCondition(rt, depth+1) + ") && (" + randomCondition(rt, depth+1) + ")"
	default:
		return "(" + randomCondition(rt, depth+1) + ") || (" + randomCondition(rt, depth+1) + ")"
	}
}

// handlerRules returns n rules, each for a different function.
func handlerRules(n int) (rules []match.Rule) {
	for i := range n {
		rules = append(rules, match.Rule{
			Name: fmt.Sprint(i), When: expression(fmt.Sprintf(`handler == "%016x" && param["HTTP_X_CENTRE"].startsWith("zona")`, i)),
			Key: expression(`handler + ":" + param["HTTP_X_CENTRE"]`), Route: expression("lane"), Stop: true,
		})
	}
	return rules
}
