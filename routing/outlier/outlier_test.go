package outlier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"calicohill/routing/outlier"
)

const now = time.Hour

// Guards against probing an ejected worker too often. The first probe is due after 1 s, the following delays double up
// to 8 s, and no probe is due while an attempt is in flight. An answer ends the ejection.
func TestProbationDelayDoubles(t *testing.T) {
	worker := outlier.NewWorker(now)
	worker.Eject(now, nil)
	sentAt := now
	for _, delay := range []time.Duration{1, 2, 4, 8, 8} {
		due := sentAt + delay*time.Second
		if worker.Eligible(due-1, 0) || !worker.Eligible(due, 0) || worker.Eligible(due, 1) {
			t.Errorf("not eligible for exactly one probe %v s after the last", int64(delay))
		}
		worker.RecordSend(due, nil)
		sentAt = due
	}
	if !worker.RecordAnswer(sentAt) || worker.Ejected() || !worker.Eligible(sentAt, 5) {
		t.Error("an answer does not end the ejection")
	}
}

// Guards against simultaneous probes by all schedulers: if peers confirm the fault, the delay is random between 4 and
// 12 s.
func TestProbationDelayOfConfirmedIsRandom(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 0))
	for range 100 {
		worker := outlier.NewWorker(now)
		worker.SetVerdict(outlier.Confirmed, now)
		worker.Eject(now, rng)
		if worker.Eligible(now+4*time.Second-1, 0) || !worker.Eligible(now+12*time.Second, 0) {
			t.Error("the probe is due before 4 s or not due after 12 s")
		}
	}
}

// Guards against peer reports that override a recent answer: a reported worker is unhealthy only if its latest answer
// to this scheduler is older than a second.
func TestOwnAnswersOverrideReports(t *testing.T) {
	detector := outlier.NewDetector(8*time.Second, true)
	worker := outlier.NewWorker(now)
	for _, testCase := range []struct {
		verdict          outlier.Verdict
		age              time.Duration // of the latest answer
		eject, unhealthy bool
	}{
		{outlier.Confirmed, time.Second, false, false},
		{outlier.Confirmed, time.Second + 1, true, true},
		{outlier.Reported, time.Second + 1, false, true},
		{outlier.NotReported, time.Minute, false, false},
	} {
		at := now + testCase.age
		if got := worker.SetVerdict(testCase.verdict, at); got != testCase.eject {
			t.Errorf("verdict %d, latest answer %v ago: should eject is %v", testCase.verdict, testCase.age, got)
		}
		if got := detector.IsUnhealthy(&worker, at); got != testCase.unhealthy {
			t.Errorf("verdict %d, latest answer %v ago: unhealthy is %v", testCase.verdict, testCase.age, got)
		}
	}
}

// Guards against ejecting a worker for fewer than three consecutive connection resets. Resets at the same time count
// once, and an answer resets the count.
func TestConnectionResets(t *testing.T) {
	worker := outlier.NewWorker(now)
	for i, after := range []time.Duration{1, 1, 2, 3} {
		if got, want := worker.RecordReset(now+after), i == 3; got != want {
			t.Errorf("reset %d: too many is %v, want %v", i+1, got, want)
		}
	}
	worker.RecordAnswer(now + 4)
	if worker.RecordReset(now + 5) {
		t.Error("one reset after an answer counts as too many")
	}
}

// Guards against a wrong fault from answers: above an error rate of 0.15, which two consecutive errors exceed, a worker
// is failing. The rate decays with time.
func TestErrorRate(t *testing.T) {
	detector := outlier.NewDetector(8*time.Second, true)
	worker := outlier.NewWorker(now)
	detector.RecordError(&worker, now)
	if got := detector.AnswerFault(&worker, now, true); got != outlier.Slow {
		t.Errorf("after one error and a slow answer the fault is %d, want Slow", got)
	}
	detector.RecordError(&worker, now)
	if got := detector.AnswerFault(&worker, now, true); got != outlier.Failing {
		t.Errorf("after two errors the fault is %d, want Failing", got)
	}
	detector.RecordServed(&worker, now+8*time.Second)
	if got := detector.AnswerFault(&worker, now+8*time.Second, false); got != outlier.Healthy {
		t.Errorf("one decay time later the fault is %d, want Healthy", got)
	}
}

// Guards against missing or excessive reports to peers. A fault is reported when it changes, and again with evidence
// more than 250 ms newer. A healthy worker is not reported again unless peers report it.
func TestShouldReport(t *testing.T) {
	const refresh = 250 * time.Millisecond
	detector := outlier.NewDetector(8*time.Second, true)
	worker := outlier.NewWorker(now)
	for _, testCase := range []struct {
		name     string
		fault    outlier.Fault
		observed time.Duration
		want     bool
	}{
		{"initially healthy", outlier.Healthy, now, false},
		{"new fault", outlier.Slow, now, true},
		{"same fault within the refresh interval", outlier.Slow, now + refresh, false},
		{"same fault after the refresh interval", outlier.Slow, now + refresh + 1, true},
		{"recovered", outlier.Healthy, now + refresh + 2, true},
		{"still healthy", outlier.Healthy, now + time.Minute, false},
	} {
		if got := detector.ShouldReport(&worker, testCase.fault, testCase.observed); got != testCase.want {
			t.Errorf("%s: should report is %v, want %v", testCase.name, got, testCase.want)
		}
	}
	worker.SetVerdict(outlier.Reported, now)
	if !detector.ShouldReport(&worker, outlier.Healthy, now+time.Minute) {
		t.Error("the health of a worker that peers report is not reported again")
	}
	if outlier.NewDetector(8*time.Second, false).ShouldReport(&worker, outlier.Slow, now) {
		t.Error("a fault is due to be reported although reporting is off")
	}
}
