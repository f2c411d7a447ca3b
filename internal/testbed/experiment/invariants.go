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
	// ruleSlack extends the time limits of the rules by the delay of sockets.
	ruleSlack = 50 * time.Millisecond
	// machineSlack extends the time limits further, because one machine runs the processes of a whole fleet.
	machineSlack = 150 * time.Millisecond
	// maxAnswerDelay is how late after the client's timeout a response may arrive. A later response counts as lost, as
	// defined in docs.
	maxAnswerDelay = 500 * time.Millisecond
	// publicationBound is the time after its publication at which an event counts as delivered, even if the list service
	// fails.
	publicationBound = 7 * time.Second
	// maxTimeoutExcess is how much the timeout that a scheduler sends to a worker may exceed the client's remaining time.
	maxTimeoutExcess = 150 * time.Millisecond
	// drainGrace is how long a scheduler may keep sending new requests to a worker after it was notified of the drain.
	drainGrace = time.Second
	// maxAttempts is the maximum number of attempts per request.
	maxAttempts = 4
	// nonIdempotentClass is the class whose requests may run on at most one worker.
	nonIdempotentClass = "certificado"
)

// ruleChecker checks the recorded activity of a fleet against the rules.
type ruleChecker struct {
	fleet      *process.Fleet
	slack      time.Duration // added to each time limit
	polls      map[string][]standin.Poll
	attempts   map[string]int // by request ID
	executions map[string]int // by request ID, for nonIdempotentClass only
	violations []string
}

// ruleViolations checks a fleet against these rules:
//   - a scheduler sends a worker no new requests later than 1 s after it was notified of the worker's departure;
//   - a request has at most 4 attempts;
//   - a certificado request never runs twice;
//   - no worker is overloaded while it is warming up;
//   - each request gets a response.
func ruleViolations(fleet *process.Fleet, load workload.Result, slack time.Duration) []string {
	checker := &ruleChecker{
		fleet:      fleet,
		slack:      slack,
		polls:      map[string][]standin.Poll{},
		attempts:   map[string]int{},
		executions: map[string]int{},
	}
	if load.Lost > 0 {
		checker.addViolation("%d requests without a response", load.Lost)
	}
	for _, poll := range fleet.List.Polls() {
		checker.polls[poll.Scheduler] = append(checker.polls[poll.Scheduler], poll)
	}
	for _, worker := range fleet.Workers {
		checker.checkWorker(worker)
	}
	for id, count := range checker.attempts {
		if count > maxAttempts {
			checker.addViolation("%d attempts of request %s", count, id)
		}
	}
	for id, count := range checker.executions {
		if count > 1 {
			checker.addViolation("certificado request %s ran %d times", id, count)
		}
	}
	sort.Strings(checker.violations)
	return checker.violations
}

// addViolation records a rule violation.
func (c *ruleChecker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkWorker checks the requests that reached a worker.
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

// checkDrain checks that a request to a departing worker was not sent after the grace period.
func (c *ruleChecker) checkDrain(worker *standin.Worker, departure process.Departure, arrival standin.Arrival) {
	notifiedAt := c.notifiedAt(departure, arrival)
	sentAt := sentToWorkerAt(c.fleet, worker, arrival)
	if late := sentAt.Sub(notifiedAt.Add(drainGrace + c.slack)); late > 0 {
		c.addViolation("%s sent request %s to departing worker %s %v after the grace period", arrival.Scheduler, arrival.ID, worker.ID, late.Round(time.Millisecond))
	}
}

// notifiedAt returns when the scheduler of a request counts as notified of a departure. This is the earliest of three
// times: when it received the event, when a healthy list service should have delivered it, and publicationBound after its
// publication. A process that started later counts as notified at its start.
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

// receivedAt returns when a scheduler received an event, or the zero time if no poll acknowledges it. The event counts as
// received with the last response that contains it before the first poll that acknowledges it: an earlier response may have
// been sent on a connection that the scheduler had just closed.
func receivedAt(polls []standin.Poll, event int) time.Time {
	var at time.Time
	for _, poll := range polls {
		if poll.After >= event {
			if at.IsZero() {
				at = poll.At // the event was in the scheduler's configuration
			}
			return at
		}
		if !poll.AnsweredAt.IsZero() && poll.LastEvent >= event {
			at = poll.AnsweredAt
		}
	}
	return time.Time{}
}
