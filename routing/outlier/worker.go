package outlier

import (
	"math/rand/v2"
	"time"

	"calicohill/internal/stats/decay"
)

// Ejected reports whether the worker is ejected and gets only probes.
func (w *Worker) Ejected() bool { return w.ejected }

// Eligible reports whether the worker may be sent another attempt in addition to those in flight. An ejected
// worker gets one probe at a time.
func (w *Worker) Eligible(now time.Duration, inFlight int) bool {
	return !w.ejected || inFlight == 0 && now >= w.probationAt
}

// AnsweredAfter reports whether the worker has answered after the time at.
func (w *Worker) AnsweredAfter(at time.Duration) bool { return w.lastAnswerAt > at }

// SilentSince reports whether the worker has not answered since the time at.
func (w *Worker) SilentSince(at time.Duration) bool { return w.lastAnswerAt < at }

// AnsweredWithin reports whether the worker has answered, and its latest answer is no older than maxAge.
func (w *Worker) AnsweredWithin(now, maxAge time.Duration) bool {
	return w.answeredAt != 0 && now-w.answeredAt <= maxAge
}

// answeredRecently reports whether the latest answer to this scheduler overrides the reports of peers.
func (w *Worker) answeredRecently(now time.Duration) bool {
	return now-w.lastAnswerAt <= ownObservationLifetime
}

// RecordAnswer records any answer of the worker, which ends an ejection. It reports whether the worker was
// ejected.
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

// RecordReset counts a connection reset, and reports whether there were too many. A single reset does not
// show that a worker is unhealthy: an unreadable answer also resets the connection, and after a crash the
// next connection attempt is refused. Repeated resets without an answer in between do.
func (w *Worker) RecordReset(now time.Duration) (tooMany bool) {
	if w.lastResetAt < now { // attempts lost on one connection count once
		w.connectionResets++
	}
	w.lastResetAt = now
	return w.connectionResets >= maxConnectionResets
}

// Eject ejects the worker: it gets only probes until it answers.
func (w *Worker) Eject(now time.Duration, rng *rand.Rand) {
	if w.ejected {
		return
	}
	w.ejected = true
	w.probes = 0
	w.probationAt = now + w.probationDelay(rng)
}

// RecordSend records that an attempt was sent to the worker. If the worker is ejected, the attempt is a
// probe.
func (w *Worker) RecordSend(now time.Duration, rng *rand.Rand) {
	if w.ejected {
		w.probes++
		w.probationAt = now + w.probationDelay(rng)
	}
}

// probationDelay returns the delay before the next probe of an ejected worker. If peers confirm the fault the
// delay is random, so that the schedulers do not all probe the worker at once.
func (w *Worker) probationDelay(rng *rand.Rand) time.Duration {
	if w.verdict == Confirmed {
		longest := (baseProbationDelay << maxProbationDoublings).Seconds()
		return time.Duration((minProbationJitter + rng.Float64()) * longest * float64(time.Second))
	}
	return baseProbationDelay << min(w.probes, maxProbationDoublings)
}

// SetVerdict sets the verdict of peers and reports whether the worker should be ejected. It should be if the
// verdict is Confirmed and the worker has not answered this scheduler recently.
func (w *Worker) SetVerdict(verdict Verdict, now time.Duration) (confirmed bool) {
	w.verdict = verdict
	return verdict == Confirmed && !w.answeredRecently(now)
}

// AllowProbe allows an immediate probe of an ejected worker. It is called when the worker has answered a
// peer.
func (w *Worker) AllowProbe(now time.Duration) { w.probationAt = now }

// Restart ends the ejection and resets the error rate after a restart of the worker.
func (w *Worker) Restart() {
	w.ejected = false
	w.probes = 0
	w.errorRate = decay.Value{}
}

// Probed reports whether the worker has been sent a probe since it was ejected.
func (w *Worker) Probed() bool { return w.probes > 0 }
