package outlier

import (
	"math/rand/v2"
	"time"

	"calicohill/internal/stats/decay"
)

// Ejected reports whether a worker gets only probes.
func (w *Worker) Ejected() bool { return w.ejected }

// Eligible reports whether a worker with so many attempts in flight may get another: an ejected one gets only
// one probe at a time.
func (w *Worker) Eligible(now time.Duration, inFlight int) bool {
	return !w.ejected || inFlight == 0 && now >= w.probationAt
}

// AnsweredAfter reports whether a worker has answered after a time.
func (w *Worker) AnsweredAfter(at time.Duration) bool { return w.lastAnswerAt > at }

// SilentSince reports whether a worker has not answered since a time.
func (w *Worker) SilentSince(at time.Duration) bool { return w.lastAnswerAt < at }

// AnsweredWithin reports whether a worker has ever answered, and for the last time no longer ago than maxAge.
func (w *Worker) AnsweredWithin(now, maxAge time.Duration) bool {
	return w.answeredAt != 0 && now-w.answeredAt <= maxAge
}

// answeredLately reports whether this scheduler's own observation outweighs the reports of peers.
func (w *Worker) answeredLately(now time.Duration) bool {
	return now-w.lastAnswerAt <= ownObservationLifetime
}

// RecordAnswer notes that a worker answered, whatever it said: that ends an ejection. It reports whether
// there was one.
func (w *Worker) RecordAnswer(now time.Duration) (readmitted bool) {
	w.lastAnswerAt = now
	w.answeredAt = now
	w.connectionResets = 0
	readmitted = w.ejected
	if readmitted {
		w.ejected = false
		w.probes = 0
	}
	return readmitted
}

// RecordReset counts a broken connection, and reports whether there were too many. One says little of its
// worker: an answer that cannot be read breaks it too, and after a crash the next connection is refused. A
// worker whose connections break time and again with no answer between is unhealthy.
func (w *Worker) RecordReset(now time.Duration) (tooMany bool) {
	if w.lastResetAt < now { // what was lost with one connection counts once
		w.connectionResets++
	}
	w.lastResetAt = now
	return w.connectionResets >= maxConnectionResets
}

// Eject takes a worker out of use: it gets nothing but probes until it answers.
func (w *Worker) Eject(now time.Duration, rng *rand.Rand) {
	if w.ejected {
		return
	}
	w.ejected = true
	w.probes = 0
	w.probationAt = now + w.probationDelay(rng)
}

// RecordSend notes that a worker was sent an attempt, which is a probe if it is ejected.
func (w *Worker) RecordSend(now time.Duration, rng *rand.Rand) {
	if w.ejected {
		w.probes++
		w.probationAt = now + w.probationDelay(rng)
	}
}

// probationDelay is how long an ejected worker is left alone before a probe. Where peers find it unhealthy
// too, the delays are spread at random, so that schedulers take turns.
func (w *Worker) probationDelay(rng *rand.Rand) time.Duration {
	if w.verdict == Confirmed {
		longest := (baseProbationDelay << maxProbationDoublings).Seconds()
		return time.Duration((minProbationJitter + rng.Float64()) * longest * float64(time.Second))
	}
	return baseProbationDelay << min(w.probes, maxProbationDoublings)
}

// SetVerdict takes in what peers report, and reports whether that is reason to eject the worker: enough of
// them find it unhealthy, and it did not answer here lately.
func (w *Worker) SetVerdict(verdict Verdict, now time.Duration) (confirmed bool) {
	w.verdict = verdict
	return verdict == Confirmed && !w.answeredLately(now)
}

// Clear lets an ejected worker be probed at once: it has just answered a peer.
func (w *Worker) Clear(now time.Duration) { w.probationAt = now }

// Restart forgets what a restart of the worker makes void.
func (w *Worker) Restart() {
	w.ejected = false
	w.probes = 0
	w.recentErrors = decay.Value{}
}

// Probed reports whether a worker was sent a probe since it was ejected.
func (w *Worker) Probed() bool { return w.probes > 0 }
