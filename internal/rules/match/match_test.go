package match_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"calicohill/internal/rules/match"
	"calicohill/routing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestConditions guards against wrong values of conditions, and against evaluations that exceed the cost limit.
func TestConditions(t *testing.T) {
	params := map[string]string{"HTTP_X_CENTRE": "zona4", "EMPTY": ""}
	for _, tt := range []struct {
		when   string
		want   bool
		failed bool
	}{
		{`handler.startsWith("7f3a") && budget >= duration("500ms")`, true, false},
		{`handler startsWith "7f3b" or budget < duration("500ms")`, false, false},
		{`path.endsWith("consulta") && method == "POST" && client != ""`, true, false},
		{`path.contains("rpc") && class in ["consulta", "certificado"]`, true, false},
		{`path.matches("^/rpc/[a-z-]+$")`, true, false},
		{`param["HTTP_X_CENTRE"] == "zona4"`, true, false},
		{`"HTTP_X_CENTRE" in param && "HTTP_X_OTHER" not in param`, true, false},
		{`"EMPTY" in param && param["EMPTY"] == ""`, true, false},
		{`param["HTTP_X_OTHER"] == ""`, false, true}, // missing is not empty
		{`!("HTTP_X_OTHER" in param) || param["HTTP_X_OTHER"] == "a"`, true, false},
		{`hour >= 14 && hour < 15 && weekday == 2 && minute == 30`, true, false},
		{`lanes * 2 == 4 && memory_mb / 2 > 200 && body + 1 == 11 && keyed`, true, false},
		{`lanes % 0 == 1`, false, true},
		{`body / 0 > 1.0`, true, false}, // floating-point division yields infinity
		{`(keyed ? "a" : "b") + handler == "a7f3a9c21e0b4d655"`, true, false},
		{`share >= 0 && share < 1000`, true, false},
	} {
		table := load(t, ruleWhen(tt.when))
		got := table.Match(newRequest(table, params))
		if matched, failed := len(got.Rules) == 1, len(got.Failed) == 1; matched != tt.want || failed != tt.failed {
			t.Errorf("%s: matched %v, failed %v", tt.when, matched, got.Failed)
		}
		if got.Cost > table.Limit() {
			t.Errorf("%s: cost %d over the limit of %d", tt.when, got.Cost, table.Limit())
		}
	}
}

// TestFirstMatch guards against a later rule that overrides a class, key, route or label of an earlier one, and against
// evaluation that continues after stop.
func TestFirstMatch(t *testing.T) {
	table := load(t,
		match.Rule{Name: "a", When: expression(`class == "consulta"`), Key: expression(`handler + ":" + param["C"]`), Labels: []match.Label{{"c", expression(`param["C"]`)}}},
		match.Rule{Name: "b", When: expression(`handler.startsWith("7f")`), Class: expression("certificado"), Route: expression("slow-lane"), Labels: []match.Label{{"c", expression(`"other"`)}, {"d", expression(`"x"`)}}},
		match.Rule{Name: "c", When: expression(`path == "/rpc/consulta"`), Class: expression(`"registro-horas"`), Key: expression(`"k"`), Stop: true},
		match.Rule{Name: "d", Route: expression(`"never"`)},
	)
	got := table.Match(newRequest(table, map[string]string{"C": "z4"}))
	want := match.Result{
		Class: "certificado", Key: "7f3a9c21e0b4d655:z4", Route: "slow-lane", Labels: map[string]string{"c": "z4", "d": "x"},
		Rules: []string{"a", "b", "c"}, Cost: got.Cost,
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	// A rule that reads a missing parameter does not match.
	got = table.Match(newRequest(table, nil))
	if got.Key != "k" || got.Labels["c"] != "other" || !slices.Equal(got.Rules, []string{"b", "c"}) || len(got.Failed) != 1 {
		t.Errorf("%+v", got)
	}
	for i, n := range []uint64{1, 2, 2, 0} {
		if table.Counts()[i].Matched != n {
			t.Errorf("counts %+v", table.Counts())
		}
	}
}

// TestClassIsNeverLessStrict guards against rules that assign a request to a class that is less strict about retries,
// or a request without an idempotency key to a class that needs one.
func TestClassIsNeverLessStrict(t *testing.T) {
	strict := map[string]routing.Idempotency{}
	for _, c := range classes {
		strict[c.Name] = c.Idempotency
	}
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"consulta", "registro-horas", "certificado"}
		var rules []match.Rule
		for i := range rapid.IntRange(1, 5).Draw(rt, "rules") {
			to := rapid.SampledFrom(names).Draw(rt, "to")
			r := match.Rule{Name: fmt.Sprint(i), Class: expression(to)}
			if rapid.Bool().Draw(rt, "computed") {
				r.Class = expression(`keyed ? "` + to + `" : param["CLASS"]`)
			}
			rules = append(rules, r)
		}
		table, errs := match.Load(rules, classes)
		if table == nil {
			rt.Fatal(errs)
		}
		q := newRequest(table, map[string]string{"CLASS": rapid.SampledFrom(append(names, "zzz", "")).Draw(rt, "param")})
		q.Class = rapid.SampledFrom(append(names, "")).Draw(rt, "asked")
		if rapid.Bool().Draw(rt, "keyless") {
			q.IdempotencyKey = ""
		}
		got := table.Match(q)
		if got.Class == "" {
			return
		}
		if _, known := strict[got.Class]; !known || q.Class != "" && strict[got.Class] < strict[q.Class] {
			rt.Fatalf("requested class %q, got %q", q.Class, got.Class)
		}
		if strict[got.Class] == routing.IdempotentByKey && q.IdempotencyKey == "" {
			rt.Fatalf("%q without a key", got.Class)
		}
	})
}

// TestIndexDoesNotChangeResults guards against an index that skips a rule which would match. It compares the results
// with those of evaluating all rules, for random rules and requests.
func TestIndexDoesNotChangeResults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var rules []match.Rule
		for i := range rapid.IntRange(0, 12).Draw(rt, "rules") {
			r := match.Rule{Name: fmt.Sprint(i), When: expression(randomCondition(rt, 0)), Stop: rapid.IntRange(0, 4).Draw(rt, "stop") == 0}
			if rapid.Bool().Draw(rt, "keyed") {
				r.Key = expression(fmt.Sprintf(`"k%d" + param["Q"]`, i))
			}
			rules = append(rules, r)
		}
		indexed, errs := match.Load(rules, classes)
		unindexed, _ := match.Load(rules, classes)
		if indexed == nil {
			rt.Skip(errs)
		}
		unindexed.EvaluateAllRules()
		texts := []string{"", "a", "ab", "abc", "abcd", "b", "bcd", "c"}
		for range 8 {
			params := map[string]string{}
			for _, p := range []string{"P", "Q"} {
				if rapid.Bool().Draw(rt, "has") {
					params[p] = rapid.SampledFrom(texts).Draw(rt, p)
				}
			}
			q := newRequest(indexed, params)
			for _, f := range []*string{&q.Class, &q.Handler, &q.Path, &q.Method} {
				*f = rapid.SampledFrom(texts).Draw(rt, "text")
			}
			a, b := indexed.Match(q), unindexed.Match(q)
			if a.Cost > indexed.Limit() {
				rt.Fatalf("cost %d over the limit of %d", a.Cost, indexed.Limit())
			}
			a.Cost, b.Cost, a.Failed, b.Failed = 0, 0, nil, nil // without the index, conditions that cannot be true are evaluated too
			if d := cmp.Diff(b, a); d != "" {
				rt.Fatal(d)
			}
		}
	})
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000, 10000} {
		table := load(b, handlerRules(n)...)
		for name, q := range map[string]*match.Request{
			"plain":   newRequest(table, map[string]string{"HTTP_X_CENTRE": "zona4"}, func(q *match.Request) { q.Handler = fmt.Sprintf("%016x", n/2) }),
			"hostile": newRequest(table, map[string]string{"HTTP_X_CENTRE": strings.Repeat("zon", 85)}, func(q *match.Request) { q.Handler = fmt.Sprintf("%016x", n/2) }),
		} {
			b.Run(fmt.Sprintf("rules=%d/%s", n, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					table.Match(q)
				}
			})
		}
	}
}

// TestEvaluationEndsAtCostLimit guards against evaluation beyond the cost limit, and against a loss of the results up
// to it.
func TestEvaluationEndsAtCostLimit(t *testing.T) {
	table := load(t, match.Rule{Name: "a", Key: expression(`"a"`)}, match.Rule{Name: "b", Route: expression("b")}, match.Rule{Name: "c", Route: expression("c")})
	table.SetLimit(table.MaxCostOf(0) + table.MaxCostOf(1) - 1) // as if the estimate had been too low
	got := table.Match(newRequest(table, nil))
	if got.Key != "a" || got.Route != "" || len(got.Failed) != 1 || table.Counts()[1].Failed != 1 || table.Counts()[2].Tried != 0 {
		t.Errorf("%+v, %+v", got, table.Counts())
	}
}

// TestSplit guards against a split whose route changes between requests with the same key, or whose share of the keys
// differs from its definition.
func TestSplit(t *testing.T) {
	table := load(t, match.Rule{Name: "r", Route: expression("old"), Splits: []match.Split{{Route: "trial", PerMille: 100}, {Route: "other", PerMille: 250}}})
	routes := map[string]int{}
	for i := range 10000 {
		q := newRequest(table, nil, func(q *match.Request) { q.IdempotencyKey = fmt.Sprint(i) })
		route := table.Match(q).Route
		if again := table.Match(q).Route; again != route {
			t.Fatalf("key %d went to %s and %s", i, route, again)
		}
		routes[route]++
	}
	for route, want := range map[string]int{"trial": 1000, "other": 2500, "old": 6500} {
		if got := routes[route]; got < want-200 || got > want+200 {
			t.Errorf("%d of 10000 keys went to %s, want about %d", got, route, want)
		}
	}
	if _, errs := match.Load([]match.Rule{{Name: "r", Splits: []match.Split{{Route: "a", PerMille: 600}, {Route: "b", PerMille: 600}}}}, classes); len(errs) != 1 {
		t.Errorf("splits that add up to more than 1,000: %v", errs)
	}
}
