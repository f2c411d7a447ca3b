package slowstart_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"calicohill/routing/slowstart"
)

const started = time.Hour

func testConfig() slowstart.Config {
	return slowstart.Config{
		Fraction:         0.25,
		Duration:         10 * time.Second,
		OverloadMultiple: 2,
		OverloadDuration: time.Second,
		InitialRate:      1,
	}
}

// The capacity of a worker grows linearly from the fraction at its start to all of it.
func TestFactor(t *testing.T) {
	budget := slowstart.NewBudget(testConfig())
	for _, testCase := range []struct {
		started, age time.Duration
		want         float64
	}{{started, 0, 0.25}, {started, 4 * time.Second, 0.55}, {started, 10 * time.Second, 1}, {0, 0, 1}, {started, -1, 0.25}} {
		if got := budget.Factor(started+testCase.age, testCase.started); math.Abs(got-testCase.want) > 1e-12 {
			t.Errorf("started at %v, %v after %v: %v, want %v", testCase.started, testCase.age, started, got, testCase.want)
		}
	}
}

// measure has a budget learn that its workers answered so many requests in the second before the start, by one warm worker
// or one that is warming up.
func measure(budget *slowstart.Budget, answers int, workerStarted time.Duration) {
	budget.Begin(started - time.Second)
	budget.BeginSurvey()
	budget.Survey(started, slowstart.Capacity{Started: workerStarted, Weight: 1}, false)
	budget.EndSurvey()
	for range answers {
		budget.RecordServed(started, workerStarted)
	}
	budget.Measure(started)
}

// A quota is 0.9 of what overloads the worker, rounded at random, and holds for a window and one part in eight beyond.
func TestQuotaHoldsForWindow(t *testing.T) {
	budget := slowstart.NewBudget(testConfig())
	measure(budget, 20, 0)
	rng := rand.New(rand.NewPCG(7, 0))
	var worker slowstart.Worker
	capacity := slowstart.Capacity{Started: started, Weight: 1}
	budget.DrawQuota(&worker, started, capacity, slowstart.Demand{Requests: 320, Seconds: 16}, rng)
	sent := 0
	for budget.HasQuota(&worker, started) {
		budget.RecordSend(&worker, started, started)
		sent++
	}
	if sent != 9 && sent != 10 { // 0.9 * 2 * 0.25 * 20 is 9, and less than one more
		t.Errorf("%d requests are sent in a window, want 9 or 10", sent)
	}
	if budget.NeedsQuota(&worker, started+time.Second-1) || !budget.NeedsQuota(&worker, started+time.Second) {
		t.Error("the quota is not drawn anew after just a second")
	}
	overlap := started + time.Second + time.Second/8
	if budget.HasQuota(&worker, overlap-1) || !budget.HasQuota(&worker, overlap) {
		t.Error("what was sent does not count for a window and an eighth")
	}
}

// Throughput is measured once a second, per unit of weight; what warming workers answer raises it at once.
func TestMeasure(t *testing.T) {
	warm := slowstart.NewBudget(testConfig())
	measure(warm, 20, 0)
	if got := warm.ThroughputPerWeight(); got != 20 {
		t.Errorf("first throughput of a warm worker is %v, want 20", got)
	}
	if warm.Measure(started + time.Second - 1) {
		t.Error("measured again in less than a second")
	}
	if !warm.Measure(started+time.Second) || warm.ThroughputPerWeight() != 16 {
		t.Errorf("after a second without answers the throughput is %v, want 16", warm.ThroughputPerWeight())
	}
	warming := slowstart.NewBudget(testConfig())
	warming.RestoreThroughput(10)
	measure(warming, 20, started) // its weight counts for a quarter
	if got := warming.ThroughputPerWeight(); got != 80 {
		t.Errorf("throughput while all workers are warming up is %v, want 80", got)
	}
}

// Only a worker that is warming up has a quota, and only where something overloads it.
func TestLimits(t *testing.T) {
	noMultiple, noDuration := testConfig(), testConfig()
	noMultiple.OverloadMultiple = 0
	noDuration.OverloadDuration = 0
	for name, testCase := range map[string]struct {
		config  slowstart.Config
		started time.Duration
		want    bool
	}{
		"warming up":           {testConfig(), started, true},
		"warm":                 {testConfig(), 0, false},
		"no overload multiple": {noMultiple, started, false},
		"no overload duration": {noDuration, started, false},
	} {
		if got := slowstart.NewBudget(testCase.config).Limits(started+time.Second, testCase.started); got != testCase.want {
			t.Errorf("%s: limited %v, want %v", name, got, testCase.want)
		}
	}
}
