package match

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"calicohill/routing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var classes = []Class{{"consulta", routing.Idempotent}, {"registro-horas", routing.IdempotentByKey}, {"certificado", routing.NonIdempotent}}

func expression(s string) Text { return Text{Place{"f", 1, 1}, s} }

func ruleWhen(when string) Rule {
	return Rule{Place: Place{"f", 1, 1}, Name: "r", When: expression(when)}
}

func load(t testing.TB, rules ...Rule) *Table {
	t.Helper()
	table, faults := Load(rules, classes)
	if table == nil {
		t.Fatal(faults)
	}
	return table
}

// ask is a request with these parameters.
func newRequest(t *Table, params map[string]string, change ...func(*Request)) *Request {
	q := &Request{
		Class: "consulta", Handler: "7f3a9c21e0b4d655", Path: "/rpc/consulta", Method: "POST", Client: "127.0.0.1",
		OnceKey: "k1", Budget: time.Second, Body: 10, Memory: 512, Lanes: 2, Local: time.Date(2026, 11, 3, 14, 30, 0, 0, time.UTC),
	}
	for _, name := range t.Slots() {
		var v []string
		if s, ok := params[name]; ok {
			v = []string{s}
		}
		q.Params = append(q.Params, v)
	}
	for _, c := range change {
		c(q)
	}
	return q
}

func TestConditions(t *testing.T) {
	params := map[string]string{"HTTP_X_CENTRE": "zona4", "EMPTY": ""}
	for _, c := range []struct {
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
		{`body / 0 > 1.0`, true, false}, // as numbers of floating point have it
		{`(keyed ? "a" : "b") + handler == "a7f3a9c21e0b4d655"`, true, false},
		{`share >= 0 && share < 1000`, true, false},
	} {
		table := load(t, ruleWhen(c.when))
		got := table.Match(newRequest(table, params))
		if matched, failed := len(got.Rules) == 1, len(got.Failed) == 1; matched != c.want || failed != c.failed {
			t.Errorf("%s: matched %v, failed %v", c.when, matched, got.Failed)
		}
		if got.Cost > table.Limit() {
			t.Errorf("%s: cost %d over the limit of %d", c.when, got.Cost, table.Limit())
		}
	}
}

// What can't be bounded or makes no sense is refused at load, all in one pass, each with its place.
func TestRefused(t *testing.T) {
	deep := strings.Repeat("(", 200) + "true" + strings.Repeat(")", 200)
	not := strings.Repeat("!", 60) + "true"
	wide := strings.TrimSuffix(strings.Repeat("lanes == 1 || ", 120), " || ")
	for when, want := range map[string]string{
		`handlr == "a"`:               "unknown",
		`handler == 1`:                "mismatched",
		`handler`:                     "expected bool",
		`filter([1], # > 0) == [1]`:   "",
		`all(1..1000000000, true)`:    "",
		`len(1..1000000000) > 1`:      "",
		`repeat("a", 1000000) == ""`:  "no such function",
		`let x = 1; x == 1`:           "",
		`path[1:3] == "rp"`:           "no place in a rule",
		`param == nil`:                "",
		`param[handler] == "a"`:       "name of a parameter",
		`handler in param`:            "constant name",
		`path.matches(handler)`:       "must be a constant",
		`path.matches("(")`:           "regular expression",
		`path.matches("(a{30}){30}")`: "regular expression",
		`path.matches("` + strings.Repeat("a?", 250) + `")`: "instructions are over",
		`path + path + path + path + path == ""`:            "is over 1024",
		`duration("soon") > budget`:                         "no duration",
		`duration(path) > budget`:                           "constant",
		`slots_[0][0] == "a"`:                               "unknown field slots_",
		`has_[0]`:                                           "",
		`path ?? "a" == "b"`:                                "",
		`$env == nil`:                                       "",
		`env["x"] == 1`:                                     "",
		`handler.foo() == 1`:                                "no such function",
		`now() > 1`:                                         "no such function",
		`2 ** 100 > 1`:                                      "no operator",
		deep:                                                "",
		not:                                                 "nested",
		wide:                                                "too long",
		strings.Repeat(" ", 3000) + "true":                  "bytes are over",
		`path.matches("` + strings.Repeat("[a-z]", 40) + `") && path.matches("` + strings.Repeat("[a-y]", 40) + `")`: "worst cost",
		`path ==`: "",
		`"`:       "",
		``:        "ok", // no condition
	} {
		table, faults := Load([]Rule{ruleWhen(when)}, classes)
		if want == "ok" {
			if table == nil {
				t.Errorf("%q is refused: %v", when, faults)
			}
			continue
		}
		if when == deep && table != nil {
			continue // brackets leave nothing behind once they are read
		}
		if table != nil || len(faults) != 1 || !strings.Contains(faults[0].Reason, want) || faults[0].Column < 1 {
			t.Errorf("%.60q: %v, want one with %q", when, faults, want)
		}
	}
	r := ruleWhen(`handler == "a" && nope == 1`)
	r.Class, r.Key = Text{Place{"f", 2, 9}, "certificada"}, Text{Place{"f", 3, 9}, `lanes`}
	r.Labels = []Label{{"centre", Text{Place{"f", 4, 16}, `param["A"] + 1`}}}
	_, faults := Load([]Rule{r, ruleWhen("true")}, classes)
	var got []string
	for _, f := range faults {
		got = append(got, fmt.Sprintf("%d:%d %s", f.Line, f.Column, f.Directive))
	}
	if d := cmp.Diff([]string{"1:19 when", "2:9 class", "3:9 key", "4:27 label"}, got); d != "" {
		t.Errorf("%s\n%v", d, faults)
	}
}

// Each of class, key, route and a label is given by the first rule that matches and gives it; stop ends the table.
func TestFirstMatch(t *testing.T) {
	table := load(t,
		Rule{Name: "a", When: expression(`class == "consulta"`), Key: expression(`handler + ":" + param["C"]`), Labels: []Label{{"c", expression(`param["C"]`)}}},
		Rule{Name: "b", When: expression(`handler.startsWith("7f")`), Class: expression("certificado"), Route: expression("slow-lane"), Labels: []Label{{"c", expression(`"other"`)}, {"d", expression(`"x"`)}}},
		Rule{Name: "c", When: expression(`path == "/rpc/consulta"`), Class: expression(`"registro-horas"`), Key: expression(`"k"`), Stop: true},
		Rule{Name: "d", Route: expression(`"never"`)},
	)
	got := table.Match(newRequest(table, map[string]string{"C": "z4"}))
	want := Result{
		Class: "certificado", Key: "7f3a9c21e0b4d655:z4", Route: "slow-lane", Labels: map[string]string{"c": "z4", "d": "x"},
		Rules: []string{"a", "b", "c"}, Cost: got.Cost,
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	// With a parameter missing, a rule that reads it matches not at all.
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

func TestWarnings(t *testing.T) {
	_, faults := Load([]Rule{
		{Name: "a", When: expression(`class == "x" && class == "y"`)},
		{Name: "b", When: expression(`lanes == 1`), Stop: true},
		{Name: "c", When: expression(`lanes == 1`)},
		{Name: "d", Stop: true},
		{Name: "e", When: expression(`lanes == 2`)},
	}, classes)
	var got []string
	for _, f := range faults {
		if !f.Warning {
			t.Errorf("a fault: %v", f)
		}
		got = append(got, f.Directive)
	}
	if d := cmp.Diff([]string{"match a", "match c", "match e"}, got); d != "" {
		t.Error(d)
	}
}

// No rule makes a request less strict about repeats, whatever it yields, nor keyed without a key.
func TestSafety(t *testing.T) {
	strict := map[string]routing.Idempotency{}
	for _, c := range classes {
		strict[c.Name] = c.Effect
	}
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"consulta", "registro-horas", "certificado"}
		var rules []Rule
		for i := range rapid.IntRange(1, 5).Draw(t, "rules") {
			to := rapid.SampledFrom(names).Draw(t, "to")
			r := Rule{Name: fmt.Sprint(i), Class: expression(to)}
			if rapid.Bool().Draw(t, "computed") {
				r.Class = expression(`keyed ? "` + to + `" : param["CLASS"]`)
			}
			rules = append(rules, r)
		}
		table, faults := Load(rules, classes)
		if table == nil {
			t.Fatal(faults)
		}
		q := newRequest(table, map[string]string{"CLASS": rapid.SampledFrom(append(names, "zzz", "")).Draw(t, "param")})
		q.Class = rapid.SampledFrom(append(names, "")).Draw(t, "asked")
		if rapid.Bool().Draw(t, "keyless") {
			q.OnceKey = ""
		}
		got := table.Match(q)
		if got.Class == "" {
			return
		}
		if _, known := strict[got.Class]; !known || q.Class != "" && strict[got.Class] < strict[q.Class] {
			t.Fatalf("asked for %q, got %q", q.Class, got.Class)
		}
		if strict[got.Class] == routing.IdempotentByKey && q.OnceKey == "" {
			t.Fatalf("%q without a key", got.Class)
		}
	})
}

// drawn makes a condition of a kind that the index knows, or not.
func randomCondition(t *rapid.T, depth int) string {
	lit := func() string { return rapid.SampledFrom([]string{"", "a", "ab", "abc", "b", "bc"}).Draw(t, "literal") }
	field := rapid.SampledFrom([]string{"class", "handler", "path", "method"}).Draw(t, "field")
	n := 6
	if depth > 2 {
		n = 4
	}
	switch rapid.IntRange(0, n).Draw(t, "form") {
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
		return "(" + randomCondition(t, depth+1) + ") && (" + randomCondition(t, depth+1) + ")"
	default:
		return "(" + randomCondition(t, depth+1) + ") || (" + randomCondition(t, depth+1) + ")"
	}
}

// The indexed table gives what the plain one gives, for any rules and requests.
func TestIndexedAsPlain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rules []Rule
		for i := range rapid.IntRange(0, 12).Draw(t, "rules") {
			r := Rule{Name: fmt.Sprint(i), When: expression(randomCondition(t, 0)), Stop: rapid.IntRange(0, 4).Draw(t, "stop") == 0}
			if rapid.Bool().Draw(t, "keyed") {
				r.Key = expression(fmt.Sprintf(`"k%d" + param["Q"]`, i))
			}
			rules = append(rules, r)
		}
		indexed, faults := Load(rules, classes)
		plain, _ := Load(rules, classes)
		if indexed == nil {
			t.Skip(faults)
		}
		plain.unindexed = true
		texts := []string{"", "a", "ab", "abc", "abcd", "b", "bcd", "c"}
		for range 8 {
			params := map[string]string{}
			for _, p := range []string{"P", "Q"} {
				if rapid.Bool().Draw(t, "has") {
					params[p] = rapid.SampledFrom(texts).Draw(t, p)
				}
			}
			q := newRequest(indexed, params)
			for _, f := range []*string{&q.Class, &q.Handler, &q.Path, &q.Method} {
				*f = rapid.SampledFrom(texts).Draw(t, "text")
			}
			a, b := indexed.Match(q), plain.Match(q)
			if a.Cost > indexed.Limit() {
				t.Fatalf("cost %d over the limit of %d", a.Cost, indexed.Limit())
			}
			a.Cost, b.Cost, a.Failed, b.Failed = 0, 0, nil, nil // the plain one also evaluates what can't hold
			if d := cmp.Diff(b, a); d != "" {
				t.Fatal(d)
			}
		}
	})
}

// FuzzLoad loads any text as a condition: it ends soon, never panics, and what is accepted runs within its estimate.
func FuzzLoad(f *testing.F) {
	for _, s := range []string{
		`handler.startsWith("a") && "A" in param`, `param["A"] + path in ["x"]`, `path.matches("a+b")`,
		`budget > duration("1s") ? keyed : !keyed`, `1 + 2 * lanes % 3 == hour`, `a.b.c()`, `((((`,
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		began := time.Now()
		table, faults := Load([]Rule{ruleWhen(s)}, classes)
		if d := time.Since(began); d > 5*time.Second { // 50 ms is the aim; a busy machine must not fail this
			t.Errorf("loading took %v", d)
		}
		if table == nil {
			if len(faults) == 0 || faults[0].Column < 1 {
				t.Errorf("refused without a place: %v", faults)
			}
			return
		}
		if got := table.Match(newRequest(table, map[string]string{"A": strings.Repeat("x", 256)})); got.Cost > table.Limit() {
			t.Errorf("cost %d over the limit of %d", got.Cost, table.Limit())
		}
	})
}

// Many is a table of n rules that tell requests apart by handler.
func handlerRules(n int) (rules []Rule) {
	for i := range n {
		rules = append(rules, Rule{
			Name: fmt.Sprint(i), When: expression(fmt.Sprintf(`handler == "%016x" && param["HTTP_X_CENTRE"].startsWith("zona")`, i)),
			Key: expression(`handler + ":" + param["HTTP_X_CENTRE"]`), Route: expression("lane"), Stop: true,
		})
	}
	return rules
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000, 10000} {
		table := load(b, handlerRules(n)...)
		for name, q := range map[string]*Request{
			"plain":   newRequest(table, map[string]string{"HTTP_X_CENTRE": "zona4"}, func(q *Request) { q.Handler = fmt.Sprintf("%016x", n/2) }),
			"hostile": newRequest(table, map[string]string{"HTTP_X_CENTRE": strings.Repeat("zon", 85)}, func(q *Request) { q.Handler = fmt.Sprintf("%016x", n/2) }),
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

// The operators' page has the schema as it is declared.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/matching.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), Fields()) {
		t.Errorf("docs/operators/matching.md lacks the schema:\n%s", Fields())
	}
}

// The meter ends a request at its limit, with what was decided until then.
func TestMeter(t *testing.T) {
	table := load(t, Rule{Name: "a", Key: expression(`"a"`)}, Rule{Name: "b", Route: expression("b")}, Rule{Name: "c", Route: expression("c")})
	table.costLimit = table.rules[0].maxCost + table.rules[1].maxCost - 1 // as if the estimate had been too low
	got := table.Match(newRequest(table, nil))
	if got.Key != "a" || got.Route != "" || len(got.Failed) != 1 || table.Counts()[1].Failed != 1 || table.Counts()[2].Tried != 0 {
		t.Errorf("%+v, %+v", got, table.Counts())
	}
}

// A split sends each key the same way every time, and the told part of all keys.
func TestSplit(t *testing.T) {
	table := load(t, Rule{Name: "r", Route: expression("old"), Splits: []Split{{Route: "trial", Part: 100}, {Route: "other", Part: 250}}})
	routes := map[string]int{}
	for i := range 10000 {
		q := newRequest(table, nil, func(q *Request) { q.OnceKey = fmt.Sprint(i) })
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
	if _, faults := Load([]Rule{{Name: "r", Splits: []Split{{Route: "a", Part: 600}, {Route: "b", Part: 600}}}}, classes); len(faults) != 1 {
		t.Errorf("parts over the whole: %v", faults)
	}
}
