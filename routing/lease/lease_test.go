package lease_test

import (
	"testing"
	"time"

	"calicohill/routing/lease"

	"pgregory.net/rapid"
)

const (
	now   = time.Hour
	grace = time.Second
	// drainBound is the shortest time, by the protocol, from evidence that a worker is in service until a drain may
	// have taken effect.
	drainBound = 7*time.Second + grace
)

// Guards against leases that expire where discovery pushes changes and therefore never confirms the list.
func TestUnlimitedWithoutConfirmation(t *testing.T) {
	table := lease.NewTable(grace, 1)
	var worker lease.Worker
	table.RecordRejected(&worker, now, now)
	table.RecordDown(&worker, now)
	if !table.Valid(&worker, now+time.Hour) || table.ConfirmationOverdue(now) || table.Remaining(&worker, now) != 0 {
		t.Error("the lease is limited although the list was never confirmed")
	}
}

// Guards against sends that rely on a list of unknown age: a worker has no lease until it accepts a request.
func TestListOfUnknownAge(t *testing.T) {
	table := lease.NewTable(grace, 1)
	table.Confirm(0)
	var worker lease.Worker
	if table.Valid(&worker, now) {
		t.Error("a list of unknown age gives a valid lease")
	}
	table.RecordAccepted(&worker, now)
	if !table.Valid(&worker, now) {
		t.Error("no valid lease on a worker that has just accepted a request")
	}
}

// Guards against sends to a worker that may be draining while confirmation of the list is overdue. Two consecutive
// rejections, a reported drain, a failed connection attempt or a connection reset suspend the worker until it accepts a
// later request or the list is confirmed. While the list is current they have no effect.
func TestSuspicion(t *testing.T) {
	for name, fault := range map[string]func(table *lease.Table, worker *lease.Worker, at time.Duration) (suspected bool){
		"two rejections": func(table *lease.Table, worker *lease.Worker, at time.Duration) bool {
			first := table.RecordRejected(worker, at, at)
			return !first && table.RecordRejected(worker, at, at)
		},
		"draining or unreachable": func(table *lease.Table, worker *lease.Worker, at time.Duration) bool {
			return table.RecordDown(worker, at)
		},
		"connection reset": func(table *lease.Table, worker *lease.Worker, at time.Duration) bool {
			return table.RecordConnectionReset(worker, at, at)
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := lease.NewTable(grace, 1)
			table.Confirm(now)
			var worker lease.Worker
			if fault(table, &worker, now+time.Second) || !table.Valid(&worker, now+time.Second) {
				t.Error("suspected while the list is current")
			}
			overdue := now + 6*time.Second
			if !fault(table, &worker, overdue) || table.Valid(&worker, overdue) || !table.NeedsFirstCheck(&worker) {
				t.Error("not suspected while confirmation of the list is overdue")
			}
			table.RecordAccepted(&worker, overdue+1)
			if !table.Valid(&worker, overdue+1) {
				t.Error("still suspected after it accepted a request")
			}
			fault(table, &worker, overdue+2)
			table.Confirm(overdue + 3)
			if !table.Valid(&worker, overdue+4) {
				t.Error("still suspected after a confirmation")
			}
		})
	}
}

// Guards against a missed or false restart: a worker that was down and accepts requests again may have restarted, one
// that only rejected a request or reset a connection has not.
func TestPossibleRestart(t *testing.T) {
	table := lease.NewTable(grace, 1)
	table.Confirm(now)
	overdue := now + 6*time.Second
	var worker lease.Worker
	table.RecordConnectionReset(&worker, overdue, overdue)
	if table.RecordAccepted(&worker, overdue+1) {
		t.Error("a worker that reset a connection counts as restarted")
	}
	table.RecordDown(&worker, overdue+2)
	if table.RecordAccepted(&worker, overdue+2) || table.Valid(&worker, overdue+2) {
		t.Error("accepting a request sent before the worker was down ends the suspicion")
	}
	if !table.RecordAccepted(&worker, overdue+3) || table.RecordAccepted(&worker, overdue+4) {
		t.Error("a worker that was down does not count as restarted exactly once")
	}
}

// Guards against too many health checks. Those of one worker are at least a second apart, with a backoff while they
// fail. All schedulers together check a worker at most four times a second, but each maintains at least three leases.
func TestChecksAreBounded(t *testing.T) {
	table := lease.NewTable(grace, 300)
	table.Confirm(now)
	var worker lease.Worker
	var times []time.Duration
	for at := now + 6*time.Second; at < now+30*time.Second; at += 100 * time.Millisecond {
		if table.MayCheck(&worker, at) {
			table.BeginCheck(&worker, at)
			if table.MayCheck(&worker, at+time.Hour) {
				t.Error("a second health check is allowed while one is in flight")
			}
			table.EndCheck(&worker, false)
			times = append(times, at-now)
		}
	}
	want := []time.Duration{6, 7, 8, 9, 11, 15, 23}
	if len(times) != len(want) {
		t.Fatalf("checked at %v, want %v s", times, want)
	}
	for i := range want {
		if times[i] != want[i]*time.Second {
			t.Errorf("health check %d at %v, want at %d s", i, times[i], want[i])
		}
	}
	for workers, target := range map[int]int{1: 1, 3: 3, 24: 3, 120: 9, 3200: 251} {
		if got := table.RenewalTarget(workers); got != target {
			t.Errorf("%d of %d leases are renewed by health checks, want %d", got, workers, target)
		}
	}
}

// Guards against sends to a draining worker after any sequence of events. A lease must expire before a drain that was
// published right after the latest evidence of service can take effect. A confirmed list gives valid leases on all
// workers.
func TestLeaseEndsBeforeDrainTakesEffect(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := lease.NewTable(grace, rapid.IntRange(1, 900).Draw(rt, "schedulers"))
		var worker lease.Worker
		current, evidence := now, now
		table.Confirm(now)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			current += time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond
			past := current - time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ago"))*time.Millisecond
			switch rapid.SampledFrom([]string{"wait", "confirm", "accept", "reject", "down", "reset"}).Draw(rt, "event") {
			case "confirm":
				table.Confirm(past)
				evidence = max(evidence, past)
			case "accept":
				table.RecordAccepted(&worker, past)
				evidence = max(evidence, past)
			case "reject":
				table.RecordRejected(&worker, current, past)
			case "down":
				table.RecordDown(&worker, current)
			case "reset":
				table.RecordConnectionReset(&worker, current, past)
			}
			if table.Valid(&worker, current) && current >= evidence+drainBound {
				rt.Fatalf("lease still valid %v after the latest evidence", current-evidence)
			}
			if left := table.Remaining(&worker, current); current+left >= evidence+drainBound {
				rt.Fatalf("%v remaining on the lease %v after the latest evidence", left, current-evidence)
			}
			if !table.ConfirmationOverdue(current) && !table.Valid(&worker, current) {
				rt.Fatal("no valid lease although the list is confirmed")
			}
		}
	})
}
