// Package routing decides, for a scheduler in front of workers that keep only some of many functions loaded,
// to which worker each request goes, which requests are rejected, and when an attempt is retried or hedged.
//
// A Router is a deterministic state machine without I/O, clock or goroutines: Step takes the time and the
// events since the last call and returns the actions to carry out. The caller owns sockets and timers and
// answers each action with events (see Event and Action). All randomness comes from the seed given to New,
// so that the same events give the same actions.
//
// Each mechanism is a component that owns its state; the Router keeps the time, the random source and the order
// in which components see an event. Every file that decides is listed as policy in deploy/balancer.toml:
//
//	router.go     the step, the order of events and the periodic sweep
//	endpoints.go  the endpoint table: workers, staleness, rendezvous order, and the fleet of eligible workers
//	placement.go  the placement table: functions, and at which workers they are loaded
//	admission.go  the admission controller: which requests are rejected on arrival, and the Retry-After advice
//	queue.go      the earliest-deadline-first queue
//	picker.go     choice of a worker: warm instances first, rendezvous order otherwise
//	attempt.go    start of an attempt, order of a load, the load budget
//	retry.go      which further attempts a request's idempotency allows
//	hedging.go    overdue attempts, and retries or hedges for them
//	lease.go      proofs that workers take requests, health checks while the endpoint list is in doubt
//	feedback.go   which component learns what from the outcome of an attempt
//	pressure      under how much load a worker is
//	concurrency   how many requests may be in flight at a worker (AIMD), backoff after sheds
//	latency       how long functions run and load, how workers compare
//	outlier       ejection of unhealthy workers, their probation, faults to report
//	slowstart     the budget of a worker that is warming up, the throughput of warm ones
//	demand        decaying counts of requests
//	lease         for how long a worker may be sent requests by what was last known of it
//
// The last seven are packages below this one, which import neither it nor each other. The other files decide
// nothing: the records of requests and attempts (request.go), the learned state that survives a restart, the
// settings, and the messages in and out.
//
// # Invariants
//
// These hold as long as the caller reports events as they are documented. Tests refer to them by name.
//
//   - One final answer: a request gets exactly one, no later than Settings.AnswerSlack after its client gives
//     up, and none once its client has left.
//   - No unsafe repeat: once an attempt may have run, the request is sent again only as the Idempotency of its
//     class allows, and it is rejected only if a repeat by its client is harmless too. A request has no more
//     than Settings.MaxAttempts attempts, and two in flight together only with Settings.HedgingAllowed.
//   - Nothing to draining workers: a worker gets no Send and no Load from the moment that it is listed as
//     Draining or Gone, or that a full list leaves it out. Where the caller reports when the list was confirmed
//     (EndpointsConfirmed), it gets no Send either once a drain may bind that nobody could tell.
//   - Slow-start budget: all schedulers together send a worker that is warming up no more than it bears, as
//     Settings.OverloadMultiple and OverloadDuration say. They do so without asking each other, by estimates
//     and random rounding, so this one holds with high probability.
//   - Load budget: in no Settings.LoadBudgetWindow are there more orders to load than LoadBudgetBase, plus
//     LoadBudgetPerRequest for each request that arrived in it.
//
// The design is SCORPIO's: earliest deadline first, admission by estimated finish time. Where the code
// departs from it, a comment that begins "A departure" gives the reason and the harm.
package routing
