package routing

import (
	"testing"
	"time"

	"calicohill/routing/outlier"
	"calicohill/routing/pressure"
)

// Guards the conversion of faults and verdicts between this package and the detector, which relies on equal values.
func TestFaultsMatchDetector(t *testing.T) {
	for fault, want := range map[outlier.Fault]Fault{
		outlier.Healthy:      Healthy,
		outlier.Unresponsive: Unresponsive,
		outlier.Slow:         Slow,
		outlier.Failing:      Failing,
		outlier.Unreachable:  Unreachable,
	} {
		if Fault(fault) != want {
			t.Errorf("fault %d of the detector converts to %v, want %v", fault, Fault(fault), want)
		}
	}
	for verdict, want := range map[PeerVerdict]outlier.Verdict{
		NotReported: outlier.NotReported,
		Reported:    outlier.Reported,
		Confirmed:   outlier.Confirmed,
	} {
		if outlier.Verdict(verdict) != want {
			t.Errorf("%v converts to verdict %d of the detector, want %d", verdict, outlier.Verdict(verdict), want)
		}
	}
}

// Guards the order of the queue: requests are returned by deadline, and those with the same deadline in order of
// arrival.
func TestQueueDueBy(t *testing.T) {
	queue := &requestQueue{}
	for i, dueAt := range []time.Duration{3, 1, 2, 1} {
		queue.enqueue(&request{Request: Request{ID: string(rune('a' + i))}, dueAt: dueAt})
	}
	for deadline, want := range []string{"", "bd", "bdc", "bdca"} {
		got := ""
		for _, req := range queue.dueBy(time.Duration(deadline)) {
			got += req.ID
		}
		if got != want {
			t.Errorf("requests due by %d: %q, want %q", deadline, got, want)
		}
	}
}

// Guards against unlimited hedging: a lost answer earns credit for hedges, up to 8 in total, and each hedge spends one.
func TestHedgeCredit(t *testing.T) {
	var credit hedgeCredit
	if !credit.exhausted() {
		t.Error("a hedge is allowed before any answer was lost")
	}
	for range 3 {
		credit.earn(hedgeCreditPerTimeout)
	}
	spent := 0
	for ; !credit.exhausted(); spent++ {
		credit.spend()
	}
	if spent != 8 {
		t.Errorf("%d hedges after three timeouts, want 8", spent)
	}
}

// Guards against a repeat that starts after workers have forgotten its idempotency key. It has to start within the
// deduplication window minus one tick. Requests that do not rely on a key may start at any time.
func TestRetryStartsWithinDeduplicationWindow(t *testing.T) {
	deployed := settings(dedupInZone)
	policy := newRetryPolicy(&deployed)
	req := &request{class: &deployed.Classes[0]}
	if got := policy.startWithin(time.Hour, req); got != 0 {
		t.Errorf("the first attempt has to start within %v, want no limit", got)
	}
	req.attempts = []*attempt{{sentAt: time.Hour, neverRan: true}, {sentAt: time.Hour + time.Second}}
	if got, want := policy.startWithin(time.Hour+2*time.Second, req), 998*millisecond; got != want {
		t.Errorf("a repeat has to start within %v, want %v", got, want)
	}
	req.class.Idempotency = Idempotent
	if got := policy.startWithin(time.Hour+2*time.Second, req); got != 0 {
		t.Errorf("a repeat without a key has to start within %v, want no limit", got)
	}
}

// Guards against a missing or repeated resubscription: it is due once, a second after a list call has failed.
func TestResubscribesAfterFailedList(t *testing.T) {
	deployed := settings()
	endpoints := newEndpointTable(&deployed)
	endpoints.apply(time.Hour, WorkerList{Kind: ListFailed})
	for _, testCase := range []struct {
		after time.Duration
		want  bool
	}{{time.Second - 1, false}, {time.Second, true}, {time.Minute, false}} {
		if got := endpoints.resubscriptionDue(time.Hour + testCase.after); got != testCase.want {
			t.Errorf("%v after a failed call: due is %v, want %v", testCase.after, got, testCase.want)
		}
	}
}

// Guards the mapping of outcomes to pressure results. An attempt that may have waited for a load is inconclusive,
// unless its answer was lost.
func TestPressureResult(t *testing.T) {
	warm, unloaded, superseded := &attempt{}, &attempt{mayNeedLoad: true}, &attempt{superseded: true}
	for _, testCase := range []struct {
		ended   *attempt
		outcome Outcome
		want    pressure.Result
	}{
		{warm, Served, pressure.AnsweredWarm},
		{unloaded, Served, pressure.Inconclusive},
		{warm, Shed, pressure.ShedWarm},
		{unloaded, Shed, pressure.Inconclusive},
		{warm, TimedOut, pressure.Lost},
		{unloaded, TimedOut, pressure.Lost},
		{superseded, Canceled, pressure.Lost},
		{warm, Canceled, pressure.Inconclusive},
		{warm, Errored, pressure.Inconclusive},
	} {
		if got := pressureResult(testCase.ended, testCase.outcome); got != testCase.want {
			t.Errorf("outcome %d, may need a load %v: got %d, want %d",
				testCase.outcome, testCase.ended.mayNeedLoad, got, testCase.want)
		}
	}
}
