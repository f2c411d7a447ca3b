// Package routing makes the decisions of a scheduler in front of workers that keep only some of many functions
// loaded: which worker gets a request, which requests are rejected, and when an attempt is retried or hedged.
//
// A Router is a deterministic state machine without I/O, clock or goroutines. Step takes the current time and the
// events since the last call and returns the actions to carry out. The caller owns sockets and timers and reports
// the results of actions as events (see Event and Action). All randomness is derived from the seed given to New, so
// that the same events always result in the same actions.
//
// Each mechanism is a component that owns its state. The Router owns the time, the random source and the order in
// which components process an event. Every file that makes decisions is listed as policy in deploy/balancer.toml:
//
//	router.go     Step, the order of events and the periodic sweep
//	endpoints.go  endpoint table: workers, staleness, rendezvous order, capacity of the eligible workers
//	placement.go  placement table: functions and the workers where they are loaded
//	admission.go  admission controller: rejections on arrival and their Retry-After
//	queue.go      earliest-deadline-first queue
//	picker.go     choice of a worker: warm instances first, rendezvous order otherwise
//	attempt.go    start of attempts and loads, load budget
//	retry.go      retry policy: which attempts a request's idempotency allows
//	hedging.go    retries and hedges of overdue attempts
//	lease.go      renewal of leases, by health checks while the endpoint list is unconfirmed
//	feedback.go   updates of components from the outcome of an attempt
//	pressure      estimate of the load on each worker
//	concurrency   limits on requests in flight per worker (AIMD), backoff after sheds
//	latency       service and load times of functions, relative latency of workers
//	outlier       ejection of unhealthy workers, their probation, fault reports
//	slowstart     budget of workers that are warming up, throughput of warm workers
//	demand        decaying counts of requests
//	lease         leases: how long a worker may get requests without newer information about it
//
// The last seven are packages below this one, which import neither it nor each other. The other files make no
// decisions: the records of requests and attempts (request.go), the learned state that survives a restart, the
// settings, events and actions.
//
// # Invariants
//
// These hold as long as the caller reports events as documented. Tests refer to them by name.
//
//   - One final answer: a request gets exactly one final answer, no later than Settings.AnswerSlack after the
//     client's timeout, and none after its client has disconnected.
//   - No unsafe repeat: after an attempt that may have been executed, the request is sent again only if the
//     Idempotency of its class allows it, and rejected only if the client can safely retry. A request has at most
//     Settings.MaxAttempts attempts, and two in flight together only with Settings.HedgingAllowed.
//   - Nothing to draining workers: a worker gets no Send and no Load after it was listed as Draining or Gone, or
//     was missing from a full list. If the caller reports confirmations of the list (EndpointsConfirmed), it also
//     gets no Send once an unannounced drain may have taken effect.
//   - Slow-start budget: all schedulers together send a worker that is warming up no more than it can handle
//     according to Settings.OverloadMultiple and OverloadDuration. Since they do not communicate, but use
//     estimates and random rounding, this holds with high probability only.
//   - Load budget: in any Settings.LoadBudgetWindow there are at most LoadBudgetBase Loads, plus
//     LoadBudgetPerRequest for each request that arrived in the window.
//
// The design follows SCORPIO: earliest deadline first, admission by estimated finish time. Where the code differs,
// a comment that begins with "Deviation from SCORPIO" gives the reason and the drawback.
package routing
