package main

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// apply carries out the action of one reply line.
func (w *simulatedWorld) apply(line string) error {
	fields := strings.Split(line, "\t")
	switch fields[0] {
	case "try":
		return w.attempt(fields[1], fields[2], fields[3])
	case "recall":
		w.recall(fields[1], fields[2])
	case "say_no", "surrender":
		q := w.requests[fields[1]]
		if q == nil {
			return nil // of a call that unexpectedEvent made up
		}
		q.final = true
		if fields[0] == "say_no" && w.chance(300) {
			w.schedule(50000+w.rng.Int64N(400000), func() string { return w.call(q.function, 2) })
		}
	case "arm":
		after, err := strconv.ParseFloat(fields[1], 64)
		if err != nil {
			return err
		}
		token, late := fields[2], int64(0)
		if w.chance(10) {
			late = w.rng.Int64N(300000)
		}
		w.schedule(int64(after*1000)+late, func() string { return "reminder\t" + token + "\n" })
	case "ping":
		worker := fields[1]
		w.schedule(1500, func() string { return "sampled\tdelivered\t" + worker + "\t1.5\t-\n" })
	case "pin_up":
		w.load(fields[1], fields[2])
	case "observe":
		on := fields[1] == "1"
		w.schedule(2000+w.rng.Int64N(30000), func() string {
			if w.chance(300) {
				return w.list(3, nil)
			}
			w.subscribed, w.changed = on, nil
			return w.list(1, w.workers)
		})
	case "resolve":
		w.schedule(2000, func() string { return w.list(2, w.workers) })
	case "unmount", "give_in":
	default:
		return fmt.Errorf("reply %q is not known to the world", line)
	}
	return nil
}

// recall calls an attempt off; now and then its answer comes first.
func (w *simulatedWorld) recall(id, attempt string) {
	q := w.requests[id]
	n, err := strconv.Atoi(attempt)
	if q == nil || err != nil || n >= len(q.attempts) || w.chance(50) {
		return
	}
	a := q.attempts[n]
	w.schedule(1000+w.rng.Int64N(4000), func() string {
		if a.ended {
			return ""
		}
		return w.end(q, a, n, "-", "revoked", "-")
	})
}

// load plays an order to load.
func (w *simulatedWorld) load(workerID, function string) {
	worker := w.worker(workerID)
	i := slices.IndexFunc(w.functions, func(f *simulatedFunction) bool { return f.name == function })
	outcome, copies, took := "delivered", 1+w.rng.IntN(2), int64(200000)
	if i >= 0 {
		took = w.functions[i].loadMicros
	}
	switch {
	case worker == nil || worker.state == 0:
		outcome, copies, took = "dial_failed", 0, 3000
	case worker.condition == conditionSilent:
		outcome, copies, took = "expired", 0, 10000000
	case w.chance(60):
		outcome, copies, took = "shed", 0, 4000
	case w.chance(40):
		copies = 0
	}
	w.schedule(took, func() string {
		if outcome == "delivered" && copies > 0 {
			worker.loaded[function] = true
		}
		copiesText := cmp.Or(strings.TrimPrefix(strconv.Itoa(copies), "0"), "-")
		return fmt.Sprintf("brought_up\t%s\t%s\t%s\t%s\t%s\n", workerID, millisText(took), copiesText, function, outcome)
	})
}
