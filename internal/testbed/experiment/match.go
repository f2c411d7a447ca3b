package experiment

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"calicohill/internal/frontend/fastcgi"
	"calicohill/internal/rules/match"
	"calicohill/internal/testbed/process"
	"calicohill/internal/testbed/report"
	"calicohill/internal/testbed/workload"
	"calicohill/routing"
)

const (
	plainOperatorFile   = "log\n  format json\n"
	matchWorkers        = 14
	matchFunctions      = 14
	matchWarmUp         = 2 * time.Second
	maxValuePadding     = 252 // bytes after the prefix "zona" in a value of the maximum length
	maxPathPadding      = 251
	maxMethodBytes      = 16
	universalRules      = 2  // rules that apply to every request
	nearMissParameters  = 40 // parameters whose names differ from matchParameter in the last byte
	matchParameter      = "HTTP_X_CENTRE"
	matchParameterValue = "zona4"
)

// Match measures the cost of rules: of an isolated evaluation, and of requests through a scheduler with and without rules.
type Match struct {
	Program  string
	Env      []string
	Rules    int
	Rate     float64 // requests per second
	Hostile  bool    // requests have texts of the maximum length, many parameters, and near misses of names and prefixes
	Seconds  float64
	Seed     uint64
	Progress func(string)
}

// operatorFileWithRules returns an operator's file with rules that match one function each, and two that apply to every
// request.
func operatorFileWithRules(rules int) string {
	var file strings.Builder
	file.WriteString(plainOperatorFile)
	for i := range max(rules-universalRules, 0) {
		fmt.Fprintf(&file, "match f%d\n  when handler == \"%016x\" && param[\"HTTP_X_CENTRE\"].startsWith(\"zona\")\n"+
			"  key handler + \":\" + param[\"HTTP_X_CENTRE\"]\n  route lane\n", i, i+1)
	}
	file.WriteString("match wide\n  when path.startsWith(\"/rpc/\") && \"HTTP_X_CENTRE\" in param\n  label centre param[\"HTTP_X_CENTRE\"]\n")
	if rules > 1 {
		file.WriteString("match late\n  when hour >= 0 && lanes > 64\n  route late\n")
	}
	return file.String()
}

// generateRules returns the rules of operatorFileWithRules as input for match.Load.
func generateRules(count int) []match.Rule {
	text := func(source string) match.Expression { return match.Expression{Source: source} }
	var rules []match.Rule
	for i := range max(count-universalRules, 0) {
		rules = append(rules, match.Rule{
			Name:  fmt.Sprint(i),
			Route: text("lane"),
			Key:   text(`handler + ":" + param["HTTP_X_CENTRE"]`),
			When:  text(fmt.Sprintf(`handler == "%016x" && param["HTTP_X_CENTRE"].startsWith("zona")`, i+1)),
		})
	}
	rules = append(rules, match.Rule{
		Name:   "wide",
		When:   text(`path.startsWith("/rpc/") && "HTTP_X_CENTRE" in param`),
		Labels: []match.Label{{Name: "centre", Value: text(`param["HTTP_X_CENTRE"]`)}},
	})
	if count > 1 {
		rules = append(rules, match.Rule{Name: "late", When: text(`hour >= 0 && lanes > 64`), Route: text("late")})
	}
	return rules
}

// timeEvaluations returns the median and the 99th percentile of the evaluation time in nanoseconds.
func timeEvaluations(table *match.Table, request *match.Request) (p50, p99 float64) {
	const (
		batchSize = 50 // evaluations per timing: reading the clock takes longer than one evaluation
		batches   = 400
	)
	times := make([]float64, batches)
	for i := range times {
		began := time.Now()
		for range batchSize {
			table.Match(request)
		}
		times[i] = float64(time.Since(began).Nanoseconds()) / batchSize
	}
	slices.Sort(times)
	return times[batches/2], times[batches*99/100]
}

// Run runs the experiment.
func (e Match) Run(ctx context.Context) (report.MatchResult, error) {
	result := report.MatchResult{Rules: e.Rules, Rate: e.Rate, Hostile: e.Hostile}
	medians := map[int]float64{}
	for _, rules := range []int{1, 10, 100, 1000, 10000} {
		size, err := measureEvaluations(rules)
		if err != nil {
			return result, err
		}
		medians[rules] = size.Plain
		result.Sizes = append(result.Sizes, size)
		if rules <= e.Rules {
			result.HostileRatio = size.HostileP99 / size.Plain
		}
	}
	result.RulesRatio = medians[1000] / medians[10]
	with, err := e.measureLoad(ctx, operatorFileWithRules(e.Rules))
	if err != nil {
		return result, fmt.Errorf("with rules: %w", err)
	}
	result.Served = with.servedFraction
	result.P99Millis = with.p99Millis
	result.CPUMicros = with.cpuMicros
	result.MemoryKB = with.memoryKB
	plain, err := e.measureLoad(ctx, plainOperatorFile)
	if err != nil {
		return result, fmt.Errorf("without rules: %w", err)
	}
	result.ServedPlain = plain.servedFraction
	result.P99MillisPlain = plain.p99Millis
	result.CPUMicrosPlain = plain.cpuMicros
	result.MemoryKBPlain = plain.memoryKB
	return result, nil
}

// millis returns a duration in milliseconds with microsecond resolution.
func millis(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / float64(time.Millisecond/time.Microsecond)
}

// measureEvaluations measures isolated evaluations of a table with the given number of rules.
func measureEvaluations(rules int) (report.MatchSize, error) {
	classes := []match.Class{{Name: "consulta", Idempotency: routing.Idempotent}}
	began := time.Now()
	table, faults := match.Load(generateRules(rules), classes)
	if table == nil {
		return report.MatchSize{}, fmt.Errorf("rules: %v", faults)
	}
	size := report.MatchSize{Rules: rules, LoadMillis: millis(time.Since(began))}
	plain := &match.Request{
		Class: "consulta", Path: "/rpc/consulta", Method: "POST", Handler: fmt.Sprintf("%016x", rules/2+1),
		IdempotencyKey: "k", TimeLeft: time.Second, Concurrency: 2, LocalTime: time.Now(), Params: []match.Param{match.PresentParam(matchParameterValue)},
	}
	hostile := *plain
	hostile.Path = "/rpc/" + strings.Repeat("r", maxPathPadding)
	hostile.Method = strings.Repeat("M", maxMethodBytes)
	hostile.Params = []match.Param{match.PresentParam(longestParameterValue())}
	size.Plain, size.PlainP99 = timeEvaluations(table, plain)
	size.Hostile, size.HostileP99 = timeEvaluations(table, &hostile)
	return size, nil
}

// longestParameterValue returns a value of the maximum length that has the prefix in the rules.
func longestParameterValue() string { return "zona" + strings.Repeat("z", maxValuePadding) }

// loadMeasurement is the result of offering a load to a scheduler.
type loadMeasurement struct {
	servedFraction float64
	p99Millis      float64
	cpuMicros      float64 // CPU time per request
	memoryKB       int
}

// measureLoad measures a scheduler with an operator's file under load.
func (e Match) measureLoad(ctx context.Context, operatorFile string) (loadMeasurement, error) {
	fleet, err := e.fleet(ctx, operatorFile)
	if err != nil {
		return loadMeasurement{}, err
	}
	defer fleet.CloseAndRemove()
	load := e.load()
	offerFor := func(duration time.Duration) workload.Result {
		ctx, cancel := context.WithTimeout(ctx, duration)
		defer cancel()
		return fleet.Offer(ctx, load)
	}
	offerFor(matchWarmUp)
	scheduler := fleet.Instances[0]
	cpuBefore := scheduler.CPUTime()
	result := offerFor(time.Duration(e.Seconds * float64(time.Second)))
	measured := loadMeasurement{
		servedFraction: result.ServedFraction(),
		memoryKB:       scheduler.MemoryKB(),
		cpuMicros:      float64((scheduler.CPUTime() - cpuBefore).Microseconds()) / float64(max(result.Offered, 1)),
	}
	slices.Sort(result.ResponseTimes)
	if count := len(result.ResponseTimes); count > 0 {
		measured.p99Millis = millis(result.ResponseTimes[count*99/100])
	}
	e.Progress(fmt.Sprintf("%d bytes of rules: served %.4f of %d, p99 %.1f ms, %.0f us of CPU per request, %d kB", len(operatorFile),
		measured.servedFraction, result.Offered, measured.p99Millis, measured.cpuMicros, measured.memoryKB))
	return measured, scheduler.Stop()
}

// fleet starts a scheduler with an operator's file. The caller ends it with CloseAndRemove.
func (e Match) fleet(ctx context.Context, operatorFile string) (*process.Fleet, error) {
	dir, err := os.MkdirTemp("", "calicohill-testbed-")
	if err != nil {
		return nil, err
	}
	fleet := &process.Fleet{Program: e.Program, Env: e.Env, Dir: dir}
	if err := startOne(ctx, fleet, operatorFile); err != nil {
		fleet.CloseAndRemove()
		return nil, err
	}
	return fleet, nil
}

// startOne prepares a fleet with one scheduler, and waits until it serves.
func startOne(ctx context.Context, fleet *process.Fleet, operatorFile string) error {
	if err := fleet.Prepare(1, matchWorkers); err != nil {
		return err
	}
	scheduler := fleet.Instances[0]
	if err := scheduler.WriteOperatorFile(operatorFile); err != nil {
		return err
	}
	if err := scheduler.Start(); err != nil {
		return err
	}
	return fleet.WaitHealthy(ctx, process.StartTimeout)
}

// load returns a load whose requests have the parameter that the rules match on.
func (e Match) load() workload.Load {
	value := matchParameterValue
	nearMisses := 0
	if e.Hostile {
		value = longestParameterValue()
		nearMisses = nearMissParameters
	}
	addParameters := func(request *fastcgi.Request) {
		request.Params = append(request.Params, fastcgi.Param{Name: matchParameter, Value: value})
		for i := range nearMisses {
			request.Params = append(request.Params, fastcgi.Param{Name: fmt.Sprintf("HTTP_X_CENTR%d", i), Value: value[:100]})
		}
	}
	return workload.Load{Rate: e.Rate, Functions: matchFunctions, Seed: e.Seed, Modify: addParameters}
}
