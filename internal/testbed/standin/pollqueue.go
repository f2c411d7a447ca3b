package standin

import (
	"slices"
	"time"
)

const (
	// PollPeriod is the protocol's poll interval for each scheduler of a healthy fleet.
	PollPeriod = 2 * time.Second
	// MaxPollDuration is the protocol's maximum duration of a long poll. A waiting scheduler polls once in this time.
	MaxPollDuration = 7 * time.Second
)

// EvenPollsPer100ms returns the number of polls per 100 ms if the polls of all schedulers are evenly distributed.
func EvenPollsPer100ms(schedulers int) float64 {
	const tenthsPerPoll = float64(PollPeriod / (100 * time.Millisecond))
	return float64(schedulers) / tenthsPerPoll
}

// ListFault is a fault of the stand-in list service.
type ListFault int

// List service faults.
const (
	ListHealthy      ListFault = iota // no fault
	ListRefusing                      // refuses new connections and closes the open ones
	ListUnresponsive                  // accepts connections and polls and answers none
	ListOverloaded                    // responds 503 with a Retry-After of 2 s
	ListTruncating                    // closes the connection halfway through each response with an update
	ListRateLimited                   // responds to PollQueue.AnswersPerSecond polls per second, in order of arrival
)

// PollQueue is the core of the stand-in list service, without clock and sockets. It tracks pending polls and decides
// when each is answered. ListService uses it on loopback, PollSimulation in virtual time. It is not safe for concurrent
// use.
type PollQueue struct {
	Fault            ListFault
	AnswersPerSecond float64 // rate limit of ListRateLimited
	LastEvent        int     // number of the last published event

	arrived    int // number of polls that have arrived so far
	pending    map[*PendingPoll]bool
	nextAnswer time.Duration // earliest time of the next response under ListRateLimited
}

// PendingPoll is a poll that has not been answered yet.
type PendingPoll struct {
	After    int           // number of the last event that the scheduler has
	Deadline time.Duration // time at which the poll is answered even without an update
	Answer   func()        // the caller of Due calls it to answer the poll

	sequence int // order of arrival
}

// Add adds a poll.
func (q *PollQueue) Add(poll *PendingPoll) {
	if q.pending == nil {
		q.pending = map[*PendingPoll]bool{}
	}
	q.arrived++
	poll.sequence = q.arrived
	q.pending[poll] = true
}

// Remove removes a poll whose connection is closed.
func (q *PollQueue) Remove(poll *PendingPoll) { delete(q.pending, poll) }

// RemoveAll removes all polls.
func (q *PollQueue) RemoveAll() { clear(q.pending) }

// Len returns the number of pending polls.
func (q *PollQueue) Len() int { return len(q.pending) }

// Due removes and returns the polls to answer now, in order of arrival. next is the time of the next call, or 0 if none
// is scheduled.
func (q *PollQueue) Due(now time.Duration) (due []*PendingPoll, next time.Duration) {
	if q.Fault == ListUnresponsive {
		return nil, 0
	}
	for poll := range q.pending {
		switch {
		case poll.After < q.LastEvent || poll.Deadline <= now || q.Fault == ListOverloaded:
			due = append(due, poll)
		case next == 0 || poll.Deadline < next:
			next = poll.Deadline
		}
	}
	slices.SortFunc(due, func(a, b *PendingPoll) int { return a.sequence - b.sequence })
	for i, poll := range due {
		if q.Fault == ListRateLimited {
			if q.nextAnswer > now {
				return due[:i], q.nextAnswer
			}
			q.nextAnswer = now + time.Duration(float64(time.Second)/q.AnswersPerSecond)
		}
		delete(q.pending, poll)
	}
	return due, next
}
