package routing

import "time"

const (
	tickInterval, tickToken = 10 * time.Millisecond, 1 // how often held and overdue requests are looked at

	maxCandidates = 4 // workers of the hash order that a request may try before it waits
	// Weights of a new latency in the means of a function, of a worker, which is seen seldom, and of all.
	functionMeanWeight, workerMeanWeight, fleetMeanWeight = 0.2, 0.5, 0.05

	initialFleetLimit  = 12.0      // calls of all schedulers at a worker that a limit starts from
	minLimit, maxLimit = 1.0, 48.0 // its range
	// An answer from a warm copy that takes longer than limitAims of its aim leaves limitCut of the limit.
	limitDecreaseFactor, limitObjectiveFraction = 0.8, 0.7

	// An attempt is overdue after this share of the aim or this multiple of the function's mean, whichever is
	// more (the aim at most), and this multiple of a load where one is due.
	overdueObjectiveFraction, overdueMeanMultiple, overdueLoadMultiple = 0.5, 3.0, 2.0

	presumedWarmRequests = 4 // calls by others within a keep-alive that leave a copy standing
	// share of lanes taken up to which a function that stands may be loaded elsewhere too
	maxSpillUtilization = 0.4
	// calls of ours that may wait for loads at a worker when another load is sent there
	maxWaitingForLoads = 4

	// pause before a suspect worker is tried again; doubles so often
	baseProbationDelay, maxProbationDoublings = time.Second, 3

	// own answers this young outweigh others' word; stalled: so slow
	ownObservationLifetime, slowLatencyRatio = time.Second, 4.0

	maxConnectionBreaks = 3 // connections that break in a row, with no answer between, make a worker suspect

	// A worker of whose late answers more than errsMost are errors gets no calls that must not be repeated.
	errorRateWeight, maxErrorRate = 0.1, 0.15

	// Calls overdue alone, at a worker that answers others, that may be sent elsewhere too: for each whose
	// answer never came, and how many in all.
	hedgeCreditPerTimeout, maxHedgeCredit = 4, 8

	// a worker that turns a call away is left alone for two such parts of a service time
	shedBackoffDivisor = 16

	spreadFactor     = 2.0 // workers for a function, as a multiple of its part of the calls times all workers
	spreadKeepAlives = 2.0 // keep-alives over which that part is counted
	// A worker is pressed by the share of its cores that is busy, and by what an answer takes, in least aims.
	// From the first on functions leave it for the next in their order; from the second on all have.
	leavePressureStart, leavePressureFull = 0.9, 1.7
	// of one that turns calls away; of an answer that tells of no queue
	shedPressure, idleLatencyPressure = 2.0, 0.2

	rejectPressureExcess = 0.5 // calls for workers pressed by this over 1 begin to be refused; by twice that
	// no more than this share is, or nothing would show that the worker is well again
	maxRejectProbability = 0.8

	unansweredPenalty = 0.25 // calls that a worker which answered nothing here lately counts as busier by

	slowStartBudgetMargin = 0.9 // share of a cold worker's budget that is used
	// times that a cold worker may be called as much as the mean of all, at the least
	minSlowStartSkew = 3.0
	// The same for each of the workers: the home of a function with a tenth of all calls is called a tenth of
	// their number times the mean, of which it bears six times coldEven.
	slowStartSkewPerWeight = 0.025
)

func (r *Router) initialLimit() float64 {
	return max(2, initialFleetLimit/float64(r.settings.Schedulers))
}
