package match_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"calicohill/internal/rules/match"

	"github.com/google/go-cmp/cmp"
)

// deepCondition has 200 nested pairs of parentheses.
var deepCondition = strings.Repeat("(", 200) + "true" + strings.Repeat(")", 200)

// accepted marks a condition in conditionErrors that must load.
const accepted = "ok"

// conditionErrors maps invalid conditions to a substring of the expected error, and valid ones to accepted.
var conditionErrors = map[string]string{
	`handlr == "a"`:               "unknown",
	`handler == 1`:                "mismatched",
	`handler`:                     "expected bool",
	`filter([1], # > 0) == [1]`:   "",
	`all(1..1000000000, true)`:    "",
	`len(1..1000000000) > 1`:      "",
	`repeat("a", 1000000) == ""`:  "no such function",
	`let x = 1; x == 1`:           "",
	`path[1:3] == "rp"`:           "not allowed in a rule",
	`param == nil`:                "",
	`param[handler] == "a"`:       "name of a parameter",
	`handler in param`:            "constant name",
	`path.matches(handler)`:       "must be a constant",
	`path.matches("(")`:           "regular expression",
	`path.matches("(a{30}){30}")`: "regular expression",
	`path.matches("` + strings.Repeat("a?", 250) + `")`: "instructions exceed the maximum of 200",
	`path + path + path + path + path == ""`:            "exceeds the maximum of 1024",
	`duration("soon") > budget`:                         "not a valid duration",
	`duration(path) > budget`:                           "constant",
	`slots_[0][0] == "a"`:                               "unknown field slots_",
	`has_[0]`:                                           "",
	`path ?? "a" == "b"`:                                "",
	`$env == nil`:                                       "",
	`env["x"] == 1`:                                     "",
	`handler.foo() == 1`:                                "no such function",
	`now() > 1`:                                         "no such function",
	`2 ** 100 > 1`:                                      `operator "**" is not supported`,
	deepCondition:                                       "",
	strings.Repeat("!", 60) + "true":                    "nested",
	strings.TrimSuffix(strings.Repeat("lanes == 1 || ", 120), " || "):                                            "too long",
	strings.Repeat(" ", 3000) + "true":                                                                           "3004 bytes exceeds the maximum of 2048",
	`path.matches("` + strings.Repeat("[a-z]", 40) + `") && path.matches("` + strings.Repeat("[a-y]", 40) + `")`: "worst-case cost of",
	`path ==`: "",
	`"`:       "",
	``:        accepted, // no condition
}

// TestInvalidRulesAreRejected guards against loading rules that are invalid or have unbounded cost, and against errors
// that are reported only one at a time or without their position.
func TestInvalidRulesAreRejected(t *testing.T) {
	for when, want := range conditionErrors {
		table, errs := match.Load([]match.Rule{ruleWhen(when)}, classes)
		if want == accepted {
			if table == nil {
				t.Errorf("%q is rejected: %v", when, errs)
			}
			continue
		}
		if when == deepCondition && table != nil {
			continue // the parser drops parentheses, so the tree is not deep
		}
		if table != nil || len(errs) != 1 || !strings.Contains(errs[0].Reason, want) || errs[0].Column < 1 {
			t.Errorf("%.60q: %v, want one with %q", when, errs, want)
		}
	}
	r := ruleWhen(`handler == "a" && nope == 1`)
	r.Class, r.Key = match.Expression{match.Position{"f", 2, 9}, "certificada"}, match.Expression{match.Position{"f", 3, 9}, `lanes`}
	r.Labels = []match.Label{{"centre", match.Expression{match.Position{"f", 4, 16}, `param["A"] + 1`}}}
	_, errs := match.Load([]match.Rule{r, ruleWhen("true")}, classes)
	var got []string
	for _, ruleError := range errs {
		got = append(got, fmt.Sprintf("%d:%d %s", ruleError.Line, ruleError.Column, ruleError.Directive))
	}
	if d := cmp.Diff([]string{"1:19 when", "2:9 class", "3:9 key", "4:27 label"}, got); d != "" {
		t.Errorf("%s\n%v", d, errs)
	}
}

// TestWarnings guards against rules that can never match without a warning.
func TestWarnings(t *testing.T) {
	_, errs := match.Load([]match.Rule{
		{Name: "a", When: expression(`class == "x" && class == "y"`)},
		{Name: "b", When: expression(`lanes == 1`), Stop: true},
		{Name: "c", When: expression(`lanes == 1`)},
		{Name: "d", Stop: true},
		{Name: "e", When: expression(`lanes == 2`)},
	}, classes)
	var got []string
	for _, warning := range errs {
		if !warning.Warning {
			t.Errorf("error instead of a warning: %v", warning)
		}
		got = append(got, warning.Directive)
	}
	if d := cmp.Diff([]string{"match a", "match c", "match e"}, got); d != "" {
		t.Error(d)
	}
}

// FuzzLoad guards against arbitrary conditions that make Load panic or take long, and against conditions that exceed
// their estimated cost.
func FuzzLoad(f *testing.F) {
	for _, s := range []string{
		`handler.startsWith("a") && "A" in param`, `param["A"] + path in ["x"]`, `path.matches("a+b")`,
		`budget > duration("1s") ? keyed : !keyed`, `1 + 2 * lanes % 3 == hour`, `a.b.c()`, `((((`,
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		began := time.Now()
		table, errs := match.Load([]match.Rule{ruleWhen(s)}, classes)
		if d := time.Since(began); d > 5*time.Second { // the target is 50 ms; the margin is for busy machines
			t.Errorf("loading took %v", d)
		}
		if table == nil {
			if len(errs) == 0 || errs[0].Column < 1 {
				t.Errorf("rejected without a position: %v", errs)
			}
			return
		}
		if got := table.Match(newRequest(table, map[string]string{"A": strings.Repeat("x", 256)})); got.Cost > table.Limit() {
			t.Errorf("cost %d over the limit of %d", got.Cost, table.Limit())
		}
	})
}

// TestPageShowsSchema guards against an operators' page that differs from Schema.
func TestPageShowsSchema(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/matching.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), schemaTable()) {
		t.Errorf("docs/operators/matching.md lacks the schema:\n%s", schemaTable())
	}
}

// schemaTable returns the Markdown table of the schema on the operators' page.
func schemaTable() string {
	var page strings.Builder
	page.WriteString("| field | type | at most | meaning |\n| --- | --- | --- | --- |\n")
	for _, field := range match.Schema {
		limit := "-"
		if field.MaxBytes > 0 {
			limit = fmt.Sprintf("%d bytes", field.MaxBytes)
		}
		help := strings.ReplaceAll(field.Help, "|", `\|`)
		fmt.Fprintf(&page, "| `%s` | %s | %s | %s |\n", field.Name, field.Type, limit, help)
	}
	return page.String()
}
