package experiment

import (
	"fmt"
	"sort"
	"time"

	"calicohill/internal/testbed/process"
	"calicohill/internal/testbed/standin"
	"calicohill/internal/testbed/workload"
)

const (
	// ruleSlack extends the rules' time limits by what sockets may delay.
	ruleSlack = 50 * time.Millisecond
	// machineSlack extends them further, as one machine runs the processes of a whole fleet.
	machineSlack = 150 * time.Millisecond
	// maxAnswerDelay is by how much a response may come after its client's time, as in docs: later it counts as lost.
	maxAnswerDelay = 500 * time.Millisecond
	// publicationBound is how long after its publication an event counts as delivered at the latest, whatever becomes of the
	// list service.
	publicationBound = 7 * time.Second
	// maxTimeoutExcess is by how much the time that a scheduler tells a worker may exceed what is left of the client's.
	maxTimeoutExcess = 150 * time.Millisecond
	// drainGrace is how long a scheduler that was notified of a drain may still send new requests to the worker.
	drainGrace = time.Second
	// maxAttempts is how many attempts a request may have.
	maxAttempts = 4
	// nonIdempotentClass is the class whose requests may reach one worker at most.
	nonIdempotentClass = "certificado"
)

// ruleChecker checks what a fleet did against the rules.
type ruleChecker struct {
	fleet      *process.Fleet
	slack      time.Duration // beyond each time limit
	polls      map[string][]standin.Poll
	attempts   map[string]int // by request
	executions map[string]int // of requests of nonIdempotentClass
	violations []string
}

// ruleViolations checks what a fleet did against the rules: nothing new to a worker later than 1 s after its scheduler
// was notified that it leaves, at most 4 attempts, certificado never run twice, no worker overloaded while it is warming
// up, a response to each request.
func ruleViolations(fleet *process.Fleet, load workload.Result, slack time.Duration) []string {
	checker := &ruleChecker{
		fleet:      fleet,
		slack:      slack,
		polls:      map[string][]standin.Poll{},
		attempts:   map[string]int{},
		executions: map[string]int{},
	}
	if load.Lost > 0 {
		checker.addViolation("%d requests without an answer", load.Lost)
	}
	for _, poll := range fleet.List.Polls() {
		checker.polls[poll.Scheduler] = append(checker.polls[poll.Scheduler], poll)
	}
	for _, worker := range fleet.Workers {
		checker.checkWorker(worker)
	}
	for id, count := range checker.attempts {
		if count > maxAttempts {
			checker.addViolation("%d attempts of %s", count, id)
		}
	}
	for id, count := range checker.executions {
		if count > 1 {
			checker.addViolation("certificado %s ran on workers %d times", id, count)
		}
	}
	sort.Strings(checker.violations)
	return checker.violations
}

// addViolation notes that a rule was broken.
func (c *ruleChecker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkWorker checks what reached a worker.
func (c *ruleChecker) checkWorker(worker *standin.Worker) {
	if !worker.CrashedAt().IsZero() {
		c.addViolation("%s was overloaded while it was warming up and crashed", worker.ID)
	}
	departure, leaves := c.fleet.Departure(worker)
	for _, arrival := range worker.Arrivals() {
		c.attempts[arrival.ID]++
		if arrival.Class == nonIdempotentClass && !arrival.Rejected {
			c.executions[arrival.ID]++
		}
		if leaves {
			c.checkDrain(worker, departure, arrival)
		}
	}
}

// checkDrain checks that a request for a worker that leaves was sent in time.
func (c *ruleChecker) checkDrain(worker *standin.Worker, departure process.Departure, arrival standin.Arrival) {
	notifiedAt := c.notifiedAt(departure, arrival)
	sentAt := sentToWorkerAt(c.fleet, worker, arrival)
	if late := sentAt.Sub(notifiedAt.Add(drainGrace + c.slack)); late > 0 {
		c.addViolation("%s sent %s to %s %v too late after its drain", arrival.Scheduler, arrival.ID, worker.ID, late.Round(time.Millisecond))
	}
}

// notifiedAt returns when the scheduler of a request counts as notified of a departure: when it received the event, when a
// healthy list service should have delivered it, or publicationBound after its publication, whichever is earliest. A process
// that was started later counts as notified at its start.
func (c *ruleChecker) notifiedAt(departure process.Departure, arrival standin.Arrival) time.Time {
	notified := departure.At.Add(publicationBound)
	for _, earlier := range []time.Time{
		c.fleet.List.DeliveredAt(departure.At),
		receivedAt(c.polls[arrival.Scheduler], departure.Event),
	} {
		if !earlier.IsZero() && earlier.Before(notified) {
			notified = earlier
		}
	}
	if start := c.fleet.ProcessStart(arrival.Scheduler, arrival.At); start.After(notified) {
		notified = start
	}
	return notified
}

// receivedAt returns when a scheduler received an event: with the last response that had it before the first poll that shows
// it known. An earlier response may have gone to a connection that the scheduler had just closed. The zero time if no poll
// shows it known.
func receivedAt(polls []standin.Poll, event int) time.Time {
	var at time.Time
	for _, poll := range polls {
		if poll.After >= event {
			if at.IsZero() {
				at = poll.At // the scheduler was configured with it
			}
			return at
		}
		if !poll.AnsweredAt.IsZero() && poll.LastEvent >= event {
			at = poll.AnsweredAt
		}
	}
	return time.Time{}
}
