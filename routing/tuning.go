package routing

import "time"

// Periodic work.
const (
	tickInterval     = 10 * time.Millisecond // between two sweeps over queued and overdue requests
	tickToken        = 1                     // token of the sweep's timer
	resubscribeDelay = time.Second           // after a failed list call, before the next subscription
)

// workRoundingError is how many seconds of work in flight count as none: the sum's rounding error.
const workRoundingError = 1e-9

// Overdue attempts. One is overdue after the larger of a fraction of its latency objective and a multiple of
// the mean service time, but no later than the objective; a load adds a multiple of its time.
const (
	overdueObjectiveFraction = 0.5
	overdueMeanMultiple      = 3.0
	overdueLoadMultiple      = 2.0
	minSendTimeout           = time.Millisecond // shortest timeout of an attempt
)

// Choice of a worker.
const (
	maxCandidates        = 4    // workers of the rendezvous order that a first attempt considers
	presumedWarmRequests = 4    // peers' requests within a keep-alive that keep an instance loaded
	maxWaitingForLoads   = 4    // requests of ours that may wait for loads at a worker that gets another
	spreadFactor         = 2.0  // preferred workers of a function, as a multiple of its part of all requests
	unansweredPenalty    = 0.25 // requests that a worker with no recent answer counts as busier by
	pressureSteps        = 4    // steps in which pressure counts; less is noise, and all would follow it
)

// Admission and queue.
const (
	expiryMargin = 2 * tickInterval // before the client gives up, when a queued request is ended
)

// Outlier detection and hedging.
const (
	// Hedges of a single overdue attempt at a worker that answers others: how many are allowed.
	hedgeCreditPerTimeout = 4 // for each answer that never came
	hedgeCreditPerHedge   = 1 // for each hedge that was answered first
	maxHedgeCredit        = 8
)
