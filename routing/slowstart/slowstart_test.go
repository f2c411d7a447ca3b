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

// Guards against a capacity that does not grow linearly from the configured fraction at the start to the full capacity.
func TestFactor(t *testing.T) {
	budget := slowstart.NewBudget(testConfig())
	for _, testCase := range []struct {
		started, age time.Duration
		want         float64
	}{{started, 0, 0.25}, {started, 4 * time.Second, 0.55}, {started, 10 * time.Second, 1}, {0, 0, 1}, {started, -1, 0.25}} {
		if got := budget.CapacityFraction(started+testCase.age, testCase.started); math.Abs(got-testCase.want) > 1e-12 {
			t.Errorf("started at %v, %v after %v: %v, want %v", testCase.started, testCase.age, started, got, testCase.want)
		}
	}
}

// measure records a throughput measurement of one worker of weight 1, which gave this number of answers in the second
// before started. workerStarted is the worker's start time, or 0 if it is warm.
func measure(budget *slowstart.Budget, answers int, workerStarted time.Duration) {
	budget.StartMeasurement(started - time.Second)
	budget.ResetTotals()
	budget.AddToTotals(started, slowstart.Capacity{Started: workerStarted, Weight: 1}, false)
	budget.CompleteTotals()
	for range answers {
		budget.RecordServed(started, workerStarted)
	}
	budget.MeasureThroughput(started)
}

// Guards against overloading a warming worker: its quota is 0.9 of the overload limit, rounded at random, and sends
// count against it for a window and an eighth.
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
	if sent != 9 && sent != 10 { // 0.9 * 2 * 0.25 * 20 = 9, plus a random number below 1
		t.Errorf("%d requests are sent in a window, want 9 or 10", sent)
	}
	if budget.QuotaExpired(&worker, started+time.Second-1) || !budget.QuotaExpired(&worker, started+time.Second) {
		t.Error("a new quota is not needed after exactly one second")
	}
	overlap := started + time.Second + time.Second/8
	if budget.HasQuota(&worker, overlap-1) || !budget.HasQuota(&worker, overlap) {
		t.Error("sends do not count against the quota for exactly a window and an eighth")
	}
}

// Guards against a wrong throughput: it is measured once per second, per unit of weight. While all workers are warming
// up, a higher measurement replaces the average.
func TestMeasure(t *testing.T) {
	warm := slowstart.NewBudget(testConfig())
	measure(warm, 20, 0)
	if got := warm.ThroughputPerWeight(); got != 20 {
		t.Errorf("the first throughput of a warm worker is %v, want 20", got)
	}
	if warm.MeasureThroughput(started + time.Second - 1) {
		t.Error("measured again in less than a second")
	}
	if !warm.MeasureThroughput(started+time.Second) || warm.ThroughputPerWeight() != 16 {
		t.Errorf("after a second without answers the throughput is %v, want 16", warm.ThroughputPerWeight())
	}
	warming := slowstart.NewBudget(testConfig())
	warming.RestoreThroughput(10)
	measure(warming, 20, started) // its weight counts for a quarter
	if got := warming.ThroughputPerWeight(); got != 80 {
		t.Errorf("the throughput while all workers are warming up is %v, want 80", got)
	}
}

// Guards against a quota for a warm worker, or in a deployment where a warming worker cannot be overloaded.
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
		if got := slowstart.NewBudget(testCase.config).QuotaApplies(started+time.Second, testCase.started); got != testCase.want {
			t.Errorf("%s: limited %v, want %v", name, got, testCase.want)
		}
	}
}
