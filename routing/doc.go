// Package routing decides, for a scheduler in front of workers that keep only some of many functions loaded,
// to which worker each request goes, which requests are rejected, and when an attempt is retried or hedged.
//
// A Router is a deterministic state machine without I/O, clock or goroutines: Step takes the time and the
// events since the last call and returns the actions to carry out. The caller owns sockets and timers and
// answers each action with events (see Event and Action). All randomness comes from the seed given to New,
// so that the same events give the same actions.
//
// Every decision is in the files that deploy/balancer.toml lists as policy:
//
//	router.go     the step and the periodic sweep
//	tuning.go     every threshold, weight and period
//	admission.go  admission control: which requests are rejected on arrival
//	queue.go      the earliest-deadline-first queue and the Retry-After advice
//	picker.go     choice of a worker: warm instances first, rendezvous order otherwise
//	attempt.go    start of an attempt, order of a load
//	retry.go      which further attempts a request's idempotency allows
//	slowstart.go  the budget of a worker that is warming up
//	feedback.go   what the outcome of an attempt teaches
//	outlier.go    ejection of unhealthy workers, and their probation
//	hedging.go    detection of overdue attempts, and retries or hedges for them
//
// The other files hold records and plumbing and decide nothing: what is known of workers, functions and
// requests, the endpoint list, the learned state that survives a restart, the settings, and the messages in
// and out.
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
//     Draining or Gone, or that a full list leaves it out.
//   - Slow-start budget: all schedulers together send a worker that is warming up no more than it bears, as
//     Settings.OverloadMultiple and OverloadDuration say. They do so without asking each other, by estimates
//     and random rounding, so this one holds with high probability.
//   - Load budget: in no Settings.LoadBudgetWindow are there more orders to load than LoadBudgetBase, plus
//     LoadBudgetPerRequest for each request that arrived in it.
//
// The design is SCORPIO's: earliest deadline first, admission by estimated finish time. Where the code
// departs from it, a comment that begins "A departure" gives the reason and the harm.
package routing
