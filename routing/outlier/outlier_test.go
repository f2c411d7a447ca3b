package outlier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"calicohill/routing/outlier"
)

const now = time.Hour

// An ejected worker is probed after a second, then after a delay that doubles up to 8 s, while none of its attempts is in
// flight. An answer ends the ejection.
func TestProbationDelayDoubles(t *testing.T) {
	worker := outlier.NewWorker(now)
	worker.Eject(now, nil)
	sentAt := now
	for _, delay := range []time.Duration{1, 2, 4, 8, 8} {
		due := sentAt + delay*time.Second
		if worker.Eligible(due-1, 0) || !worker.Eligible(due, 0) || worker.Eligible(due, 1) {
			t.Errorf("not eligible for one probe %v s after the last, or for a second one", int64(delay))
		}
		worker.RecordSend(due, nil)
		sentAt = due
	}
	if !worker.RecordAnswer(sentAt) || worker.Ejected() || !worker.Eligible(sentAt, 5) {
		t.Error("an answer does not end the ejection")
	}
}

// Where peers find a worker unhealthy too, its probe comes at random between 4 and 12 s, so that schedulers take turns.
func TestProbationDelayOfConfirmedIsRandom(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 0))
	for range 100 {
		worker := outlier.NewWorker(now)
		worker.SetVerdict(outlier.Confirmed, now)
		worker.Eject(now, rng)
		if worker.Eligible(now+4*time.Second-1, 0) || !worker.Eligible(now+12*time.Second, 0) {
			t.Error("the probe is due before 4 s or after 12 s")
		}
	}
}

// A worker is unhealthy while peers report it and its own last answer is older than a second.
func TestOwnAnswersOutweighReports(t *testing.T) {
	detector := outlier.NewDetector(8*time.Second, true)
	worker := outlier.NewWorker(now)
	for _, testCase := range []struct {
		verdict    outlier.Verdict
		age        time.Duration // of the last answer
		eject, ill bool
	}{
		{outlier.Confirmed, time.Second, false, false},
		{outlier.Confirmed, time.Second + 1, true, true},
		{outlier.Reported, time.Second + 1, false, true},
		{outlier.NotReported, time.Minute, false, false},
	} {
		at := now + testCase.age
		if got := worker.SetVerdict(testCase.verdict, at); got != testCase.eject {
			t.Errorf("verdict %d, last answer %v ago: to be ejected %v", testCase.verdict, testCase.age, got)
		}
		if got := detector.IsUnhealthy(&worker, at); got != testCase.ill {
			t.Errorf("verdict %d, last answer %v ago: unhealthy %v", testCase.verdict, testCase.age, got)
		}
	}
}

// Three connections that break one after the other are too many; what breaks at one moment counts once.
func TestConnectionResets(t *testing.T) {
	worker := outlier.NewWorker(now)
	for i, after := range []time.Duration{1, 1, 2, 3} {
		if got, want := worker.RecordReset(now+after), i == 3; got != want {
			t.Errorf("reset %d: too many %v, want %v", i+1, got, want)
		}
	}
	worker.RecordAnswer(now + 4)
	if worker.RecordReset(now + 5) {
		t.Error("one reset after an answer is too many")
	}
}

// Answers show an error rate above 0.15 as a fault: two errors in a row do.
func TestErrorRate(t *testing.T) {
	detector := outlier.NewDetector(8*time.Second, true)
	worker := outlier.NewWorker(now)
	detector.RecordError(&worker, now)
	if got := detector.AnswerFault(&worker, now, true); got != outlier.Slow {
		t.Errorf("after one error and a slow answer the fault is %d", got)
	}
	detector.RecordError(&worker, now)
	if got := detector.AnswerFault(&worker, now, true); got != outlier.Failing {
		t.Errorf("after two errors the fault is %d", got)
	}
	detector.RecordServed(&worker, now+8*time.Second)
	if got := detector.AnswerFault(&worker, now+8*time.Second, false); got != outlier.Healthy {
		t.Errorf("a keep-alive later the fault is %d", got)
	}
}

// A fault is reported when it changes, and again with evidence that is a quarter of a second newer; health is not
// reported again unless peers report the worker.
func TestShouldReport(t *testing.T) {
	const again = 250 * time.Millisecond
	detector := outlier.NewDetector(8*time.Second, true)
	worker := outlier.NewWorker(now)
	for _, testCase := range []struct {
		name     string
		fault    outlier.Fault
		observed time.Duration
		want     bool
	}{
		{"healthy from the first", outlier.Healthy, now, false},
		{"a fault", outlier.Slow, now, true},
		{"the same at once", outlier.Slow, now + again, false},
		{"the same later", outlier.Slow, now + again + 1, true},
		{"recovered", outlier.Healthy, now + again + 2, true},
		{"healthy later", outlier.Healthy, now + time.Minute, false},
	} {
		if got := detector.ShouldReport(&worker, testCase.fault, testCase.observed); got != testCase.want {
			t.Errorf("%s: to be reported %v, want %v", testCase.name, got, testCase.want)
		}
	}
	worker.SetVerdict(outlier.Reported, now)
	if !detector.ShouldReport(&worker, outlier.Healthy, now+time.Minute) {
		t.Error("the health of a worker that peers report is not reported again")
	}
	if outlier.NewDetector(8*time.Second, false).ShouldReport(&worker, outlier.Slow, now) {
		t.Error("a fault is to be reported where nobody reads reports")
	}
}
