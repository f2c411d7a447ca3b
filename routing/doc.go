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
// The design is SCORPIO's: earliest deadline first, admission by estimated finish time. Where the code
// departs from it, a comment that begins "A departure" gives the reason and the harm.
package routing
