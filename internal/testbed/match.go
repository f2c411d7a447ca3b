package testbed

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"calicohill/internal/frontend/fastcgi"
	"calicohill/internal/rules/match"
	"calicohill/routing"
)

// MatchDay measures what rules cost: an evaluation by itself, and requests through a scheduler with and without.
type MatchDay struct {
	Program string
	Env     []string
	Rules   int
	Rate    float64 // requests a second
	Hostile bool    // requests carry the longest legal texts, many parameters and near misses of prefixes
	Seconds float64
	Seed    uint64
	Say     func(string)
}

// MatchResult is what a MatchDay gave.
type MatchResult struct {
	Rules        int         `json:"rules"`
	Rate         float64     `json:"rate"`
	Hostile      bool        `json:"hostile"`
	Sizes        []MatchSize `json:"sizes"`
	Flatness     float64     `json:"ns_1000_over_10"`            // medians
	HostileRatio float64     `json:"hostile_p99_over_plain_p50"` // at the given number of rules
	Served       float64     `json:"served_share"`
	ServedPlain  float64     `json:"served_share_without_rules"`
	P99          float64     `json:"p99_ms"`
	P99Plain     float64     `json:"p99_ms_without_rules"`
	CPU          float64     `json:"cpu_us_per_request"`
	CPUPlain     float64     `json:"cpu_us_per_request_without_rules"`
	Memory       int         `json:"memory_kb"`
	MemoryPlain  int         `json:"memory_kb_without_rules"`
}

// MatchSize is what an evaluation takes with so many rules, in nanoseconds.
type MatchSize struct {
	Rules      int     `json:"rules"`
	Plain      float64 `json:"plain_p50_ns"`
	PlainP99   float64 `json:"plain_p99_ns"`
	Hostile    float64 `json:"hostile_p50_ns"`
	HostileP99 float64 `json:"hostile_p99_ns"`
	Load       float64 `json:"load_ms"`
}

// rulesText is n rules that tell requests apart by function, as an operator's file has them, and two that are tried
// for every request.
func rulesText(n int) string {
	var b strings.Builder
	b.WriteString("log\n  format json\n")
	for i := range max(n-2, 0) {
		fmt.Fprintf(&b, "match f%d\n  when handler == \"%016x\" && param[\"HTTP_X_CENTRE\"].startsWith(\"zona\")\n"+
			"  key handler + \":\" + param[\"HTTP_X_CENTRE\"]\n  route lane\n", i, i+1)
	}
	b.WriteString("match wide\n  when path.startsWith(\"/rpc/\") && \"HTTP_X_CENTRE\" in param\n  label centre param[\"HTTP_X_CENTRE\"]\n")
	if n > 1 {
		b.WriteString("match late\n  when hour >= 0 && lanes > 64\n  route late\n")
	}
	return b.String()
}

func rulesOf(n int) (rules []match.Rule) {
	text := func(s string) match.Text { return match.Text{Source: s} }
	for i := range max(n-2, 0) {
		rules = append(rules, match.Rule{
			Name: fmt.Sprint(i), Route: text("lane"), Key: text(`handler + ":" + param["HTTP_X_CENTRE"]`),
			When: text(fmt.Sprintf(`handler == "%016x" && param["HTTP_X_CENTRE"].startsWith("zona")`, i+1)),
		})
	}
	rules = append(rules, match.Rule{
		Name: "wide", When: text(`path.startsWith("/rpc/") && "HTTP_X_CENTRE" in param`),
		Labels: []match.Label{{Name: "centre", Value: text(`param["HTTP_X_CENTRE"]`)}},
	})
	if n > 1 {
		rules = append(rules, match.Rule{Name: "late", When: text(`hour >= 0 && lanes > 64`), Route: text("late")})
	}
	return rules
}

// evaluations is how long n evaluations took, in order of length, by the median and the 99th of a hundred.
func evaluations(t *match.Table, q *match.Request) (p50, p99 float64) {
	const batch, batches = 50, 400 // a batch is timed as one: a clock is slower than an evaluation
	times := make([]float64, batches)
	for i := range times {
		began := time.Now()
		for range batch {
			t.Match(q)
		}
		times[i] = float64(time.Since(began).Nanoseconds()) / batch
	}
	slices.Sort(times)
	return times[batches/2], times[batches*99/100]
}

// Run measures.
func (d MatchDay) Run(ctx context.Context) (MatchResult, error) {
	r := MatchResult{Rules: d.Rules, Rate: d.Rate, Hostile: d.Hostile}
	classes := []match.Class{{Name: "consulta", Effect: routing.Idempotent}}
	medians := map[int]float64{}
	for _, n := range []int{1, 10, 100, 1000, 10000} {
		began := time.Now()
		t, faults := match.Load(rulesOf(n), classes)
		if t == nil {
			return r, fmt.Errorf("rules: %v", faults)
		}
		s := MatchSize{Rules: n, Load: float64(time.Since(began).Microseconds()) / 1000}
		plain := &match.Request{
			Class: "consulta", Path: "/rpc/consulta", Method: "POST", Handler: fmt.Sprintf("%016x", n/2+1),
			OnceKey: "k", Budget: time.Second, Lanes: 2, Local: time.Now(), Params: [][]string{{"zona4"}},
		}
		hostile := *plain
		hostile.Path, hostile.Method = "/rpc/"+strings.Repeat("r", 251), strings.Repeat("M", 16)
		hostile.Params = [][]string{{"zona" + strings.Repeat("z", 252)}}
		s.Plain, s.PlainP99 = evaluations(t, plain)
		s.Hostile, s.HostileP99 = evaluations(t, &hostile)
		medians[n] = s.Plain
		r.Sizes = append(r.Sizes, s)
		if n <= d.Rules {
			r.HostileRatio = s.HostileP99 / s.Plain
		}
	}
	r.Flatness = medians[1000] / medians[10]
	with, err := d.through(ctx, rulesText(d.Rules))
	if err != nil {
		return r, fmt.Errorf("with rules: %w", err)
	}
	plain, err := d.through(ctx, "log\n  format json\n")
	if err != nil {
		return r, fmt.Errorf("without rules: %w", err)
	}
	r.Served, r.P99, r.CPU, r.Memory = with.served, with.p99, with.cpu, with.memory
	r.ServedPlain, r.P99Plain, r.CPUPlain, r.MemoryPlain = plain.served, plain.p99, plain.cpu, plain.memory
	return r, nil
}

type passage struct {
	served, p99, cpu float64
	memory           int
}

// through offers a scheduler with an operator's file a load, and tells what became of it.
func (d MatchDay) through(ctx context.Context, operator string) (p passage, err error) {
	dir, err := os.MkdirTemp("", "calicohill-lab-")
	if err != nil {
		return p, err
	}
	f := &Fleet{Program: d.Program, Env: d.Env, Dir: dir}
	defer f.end()
	if err := f.Prepare(1, 14); err != nil {
		return p, err
	}
	in := f.Instances[0]
	if err := in.Rewrite(operator); err != nil {
		return p, err
	}
	if err := in.Start(); err != nil {
		return p, err
	}
	if err := f.Wait(ctx, 20*time.Second); err != nil {
		return p, err
	}
	value, more := "zona4", 0
	if d.Hostile {
		value, more = "zona"+strings.Repeat("z", 252), 40
	}
	load := Load{Rate: d.Rate, Functions: 14, Seed: d.Seed, Change: func(q *fastcgi.Request) {
		q.Params = append(q.Params, [2]string{"HTTP_X_CENTRE", value})
		for i := range more {
			q.Params = append(q.Params, [2]string{fmt.Sprintf("HTTP_X_CENTR%d", i), value[:100]})
		}
	}}
	warm, cancel := context.WithTimeout(ctx, 2*time.Second)
	f.Offer(warm, load)
	cancel()
	before := in.CPU()
	day, cancel := context.WithTimeout(ctx, time.Duration(d.Seconds*float64(time.Second)))
	defer cancel()
	tally := f.Offer(day, load)
	p.served, p.memory = tally.Share(), in.Memory()
	p.cpu = float64((in.CPU() - before).Microseconds()) / float64(max(tally.Asked, 1))
	slices.Sort(tally.Times)
	if n := len(tally.Times); n > 0 {
		p.p99 = float64(tally.Times[n*99/100].Microseconds()) / 1000
	}
	d.Say(fmt.Sprintf("%d bytes of rules: served %.4f of %d, p99 %.1f ms, %.0f us of processor a request, %d kB", len(operator), p.served,
		tally.Asked, p.p99, p.cpu, p.memory))
	return p, in.Stop()
}
