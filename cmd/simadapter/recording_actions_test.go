package main

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// apply simulates the effect of the action in one reply line.
func (w *simulatedWorld) apply(line string) error {
	fields := strings.Split(line, "\t")
	switch fields[0] {
	case wireSend:
		return w.startAttempt(fields[1], fields[2], fields[3])
	case wireCancel:
		w.cancel(fields[1], fields[2])
	case wireReject, wireFail:
		request := w.requests[fields[1]]
		if request == nil {
			return nil // request invented by unexpectedEvent
		}
		request.over = true
		if fields[0] == wireReject && w.chance(300) {
			w.schedule(50000+w.rng.Int64N(400000), func() string { return w.newRequest(request.function, wireRetryFlag) })
		}
	case wireSetTimer:
		after, err := strconv.ParseFloat(fields[1], 64)
		if err != nil {
			return err
		}
		token, late := fields[2], int64(0)
		if w.chance(10) {
			late = w.rng.Int64N(300000)
		}
		w.schedule(int64(after*1000)+late, func() string { return "reminder\t" + token + "\n" })
	case wireProbe:
		worker := fields[1]
		w.schedule(1500, func() string { return "sampled\t" + wireServed + "\t" + worker + "\t1.5\t-\n" })
	case wireLoad:
		w.load(fields[1], fields[2])
	case wireSubscribe:
		on := fields[1] == "1"
		w.schedule(2000+w.rng.Int64N(30000), func() string {
			if w.chance(300) {
				return w.endpointList(wireListFailed, nil)
			}
			w.subscribed, w.changed = on, nil
			return w.endpointList(wireListFull, w.workers)
		})
	case wireFetchList:
		w.schedule(2000, func() string { return w.endpointList(wireListCached, w.workers) })
	case wireUnload, wireInstanceFailed:
	default:
		return fmt.Errorf("unknown reply %q", line)
	}
	return nil
}

// cancel schedules the end of an attempt as canceled. Some cancellations are lost, and the attempt continues.
func (w *simulatedWorld) cancel(id, attemptNumber string) {
	request := w.requests[id]
	number, err := strconv.Atoi(attemptNumber)
	if request == nil || err != nil || number >= len(request.attempts) || w.chance(50) {
		return
	}
	attempt := request.attempts[number]
	w.schedule(1000+w.rng.Int64N(4000), func() string {
		if attempt.ended {
			return ""
		}
		return w.attemptEnded(request, attempt, number, wireUnknown, wireCanceled, wireUnknown)
	})
}

// load simulates the loading of a function at a worker and schedules the result.
func (w *simulatedWorld) load(workerID, function string) {
	worker := w.worker(workerID)
	i := slices.IndexFunc(w.functions, func(f *simulatedFunction) bool { return f.name == function })
	outcome, instances, took := wireServed, 1+w.rng.IntN(2), int64(200000)
	if i >= 0 {
		took = w.functions[i].loadMicros
	}
	switch {
	case worker == nil || worker.state == wireGone:
		outcome, instances, took = wireConnectFailed, 0, 3000
	case worker.condition == conditionUnresponsive:
		outcome, instances, took = wireTimedOut, 0, 10000000
	case w.chance(60):
		outcome, instances, took = wireShed, 0, 4000
	case w.chance(40):
		instances = 0
	}
	w.schedule(took, func() string {
		if outcome == wireServed && instances > 0 {
			worker.loaded[function] = true
		}
		instancesText := cmp.Or(strings.TrimPrefix(strconv.Itoa(instances), "0"), wireUnknown)
		return fmt.Sprintf("brought_up\t%s\t%s\t%s\t%s\t%s\n", workerID, millisText(took), instancesText, function, outcome)
	})
}
