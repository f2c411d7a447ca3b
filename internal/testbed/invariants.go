package testbed

import (
	"fmt"
	"sort"
	"time"
)

const (
	// ruleSlack is what a rule's time limits are longer by on sockets.
	ruleSlack = 50 * time.Millisecond
	// machineSlack is what one machine may take for the processes of a whole fleet on top.
	machineSlack = 150 * time.Millisecond
	// maxAnswerDelay is by how much a response may come after its client's time, as in docs: later it counts as lost.
	maxAnswerDelay = 500 * time.Millisecond
	// drainGrace is how long a scheduler that was notified of a drain may still send new requests to the worker.
	drainGrace = time.Second
	// maxAttempts is how many attempts a request may have.
	maxAttempts = 4
	// nonIdempotentClass is the class whose requests may reach one worker at most.
	nonIdempotentClass = "certificado"
)

// history checks what a fleet did against the rules.
type history struct {
	fleet      *Fleet
	slack      time.Duration // beyond each time limit
	polls      map[string][]Poll
	attempts   map[string]int // by request
	executions map[string]int // of requests of nonIdempotentClass
	violations []string
}

// brokenRules checks the history of a fleet against the rules: nothing new to a worker later than 1 s after its scheduler
// was notified that it leaves, at most 4 attempts, certificado never run twice, no worker overloaded while it is warming
// up, a response to each request.
func (f *Fleet) brokenRules(load LoadResult, slack time.Duration) []string {
	past := &history{
		fleet:      f,
		slack:      slack,
		polls:      map[string][]Poll{},
		attempts:   map[string]int{},
		executions: map[string]int{},
	}
	if load.Lost > 0 {
		past.violation("%d requests without an answer", load.Lost)
	}
	for _, poll := range f.List.Polls() {
		past.polls[poll.Scheduler] = append(past.polls[poll.Scheduler], poll)
	}
	for _, worker := range f.Workers {
		past.checkWorker(worker)
	}
	for id, count := range past.attempts {
		if count > maxAttempts {
			past.violation("%d attempts of %s", count, id)
		}
	}
	for id, count := range past.executions {
		if count > 1 {
			past.violation("certificado %s reached workers %d times", id, count)
		}
	}
	sort.Strings(past.violations)
	return past.violations
}

// violation notes that a rule was broken.
func (h *history) violation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// checkWorker checks what reached a worker.
func (h *history) checkWorker(worker *Worker) {
	if !worker.CrashedAt().IsZero() {
		h.violation("%s was overloaded while it was warming up and crashed", worker.ID)
	}
	departure, leaves := h.fleet.departures[worker]
	for _, arrival := range worker.Arrivals() {
		h.attempts[arrival.ID]++
		if arrival.Class == nonIdempotentClass {
			h.executions[arrival.ID]++
		}
		if leaves {
			h.checkDrain(worker, departure, arrival)
		}
	}
}

// checkDrain checks that a request for a worker that leaves was sent in time.
func (h *history) checkDrain(worker *Worker, departure departure, arrival Arrival) {
	notifiedAt := h.notifiedAt(departure, arrival)
	if notifiedAt.IsZero() {
		return
	}
	sentAt := arrival.At
	if link := h.fleet.linkTo(arrival.From, worker.ID); link != nil {
		sentAt = link.sentAt(arrival.At)
	}
	if late := sentAt.Sub(notifiedAt.Add(drainGrace + h.slack)); late > 0 {
		h.violation("%s sent %s to %s %v too late after its drain", arrival.From, arrival.ID, worker.ID, late.Round(time.Millisecond))
	}
}

// notifiedAt is when the scheduler of a request counts as notified of a departure: once it received it, and where the
// list service was healthy in time even if it did not; the zero time if neither. A process that did not run then is
// notified with its start.
func (h *history) notifiedAt(departure departure, arrival Arrival) time.Time {
	notified := h.fleet.List.effectiveAt(departure.at)
	received := receivedAt(h.polls[arrival.From], departure.event)
	if !received.IsZero() && (notified.IsZero() || received.Before(notified)) {
		notified = received
	}
	if notified.IsZero() {
		return notified
	}
	if start := h.fleet.processStart(arrival.From, arrival.At); start.After(notified) {
		notified = start
	}
	return notified
}

// processStart is when the process of a scheduler that ran at a time had been started.
func (f *Fleet) processStart(scheduler string, at time.Time) time.Time {
	for _, instance := range f.Instances {
		if instance.Name == scheduler {
			return instance.lastStartBefore(at)
		}
	}
	return time.Time{}
}

// receivedAt is when a scheduler was given an event, by its polls: the last response with it before a poll that shows it
// known. A response may go to a connection that was just given up.
func receivedAt(polls []Poll, event int) time.Time {
	var at time.Time
	for _, poll := range polls {
		if poll.After >= event {
			if at.IsZero() {
				at = poll.At // configured with it
			}
			return at
		}
		if !poll.AnsweredAt.IsZero() && poll.LastEvent >= event {
			at = poll.AnsweredAt
		}
	}
	return time.Time{}
}
