package standin

import (
	"slices"
	"time"
)

const (
	// PollPeriod is the time in which each scheduler of a healthy fleet polls once, by the protocol.
	PollPeriod = 2 * time.Second
	// MaxPollDuration is how long a poll may last by the protocol: a scheduler that waits polls once in this time.
	MaxPollDuration = 7 * time.Second
)

// EvenPollsPer100ms returns how many polls come within 100 ms where those of all schedulers are spread out evenly.
func EvenPollsPer100ms(schedulers int) float64 {
	const tenthsPerPoll = float64(PollPeriod / (100 * time.Millisecond))
	return float64(schedulers) / tenthsPerPoll
}

// ListFault is what is wrong with the stand-in list service.
type ListFault int

// The faults of the list service.
const (
	ListHealthy      ListFault = iota // none
	ListRefusing                      // refuses new connections, and closes those that are open
	ListUnresponsive                  // accepts connections and polls, and answers none
	ListOverloaded                    // answers 503 with a Retry-After of 2 s
	ListTruncating                    // closes in the middle of each response that has an update
	ListRateLimited                   // answers PollQueue.AnswersPerSecond polls a second, in the order of their arrival
)

// PollQueue is the stand-in list service without clock and sockets: which polls are pending and when each is to be
// answered. ListService uses it on loopback, PollSimulation in virtual time. It is not safe for concurrent use.
type PollQueue struct {
	Fault            ListFault
	AnswersPerSecond float64 // while ListRateLimited
	LastEvent        int     // number of the last event published

	added      int // polls so far
	pending    map[*PendingPoll]bool
	nextAnswer time.Duration // when the next response may go while ListRateLimited
}

// PendingPoll is a poll that is not answered yet.
type PendingPoll struct {
	After    int           // number of the last event that the scheduler has
	Deadline time.Duration // until when it may wait for an update
	Answer   func()        // called by whoever took it from Due

	sequence int
}

// Add adds a poll.
func (q *PollQueue) Add(poll *PendingPoll) {
	if q.pending == nil {
		q.pending = map[*PendingPoll]bool{}
	}
	q.added++
	poll.sequence = q.added
	q.pending[poll] = true
}

// Remove forgets a poll whose connection is gone.
func (q *PollQueue) Remove(poll *PendingPoll) { delete(q.pending, poll) }

// RemoveAll forgets every poll.
func (q *PollQueue) RemoveAll() { clear(q.pending) }

// Len returns how many polls are pending.
func (q *PollQueue) Len() int { return len(q.pending) }

// Due removes and returns the polls to be answered by now, in the order of their arrival, and when to call it again; 0 if
// no time is known.
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
