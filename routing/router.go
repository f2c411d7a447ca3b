// Package routing decides, for a scheduler in front of workers that keep only some of many functions
// loaded, where each request goes, which requests are refused, and when an attempt is given up for another.
// Every decision is in the files that deploy/balancer.toml names as policy: the step in router.go, order and
// refusal in queue.go, choice of a worker in choice.go, guards of the rules in rules.go, what answers teach
// in learn.go, whom to trust in health.go. What they hold is in state.go, what they are told and ask for in
// api.go. Departures from the design are marked "A departure".
package routing

import (
	"maps"
	"slices"
	"time"
)

const (
	beat, beatToken = 10 * time.Millisecond, 1 // how often held and overdue requests are looked at

	walkDepth = 4 // workers of the hash order that a request may try before it waits
	// Weights of a new latency in the means of a function, of a worker, which is seen seldom, and of all.
	meanWeight, workerWeight, fleetWeight = 0.2, 0.5, 0.05

	callsThere         = 12.0      // calls of all schedulers at a worker that a limit starts from
	limitMin, limitMax = 1.0, 48.0 // its range
	// An answer from a warm copy that takes longer than limitAims of its aim leaves limitCut of the limit.
	limitCut, limitAims = 0.8, 0.7

	// An attempt is overdue after this share of the aim or this multiple of the function's mean, whichever is
	// more (the aim at most), and this multiple of a load where one is due.
	overdueAims, overdueMeans, overdueLoads = 0.5, 3.0, 2.0

	presumedFrom = 4   // calls by others within a keep-alive that leave a copy standing
	spillMost    = 0.4 // share of lanes taken up to which a function that stands may be loaded elsewhere too
	loadLanes    = 4   // calls of ours that may wait for loads at a worker when another load is sent there

	trialAfter, trialMost = time.Second, 3 // pause before a suspect worker is tried again; doubles so often

	wordOwn, stalledPace = time.Second, 4.0 // own answers this young outweigh others' word; stalled: so slow

	breaksMost = 3 // connections that break in a row, with no answer between, make a worker suspect

	// A worker of whose late answers more than errsMost are errors gets no calls that must not be repeated.
	errsWeight, errsMost = 0.1, 0.15

	// Calls overdue alone, at a worker that answers others, that may be sent elsewhere too: for each whose
	// answer never came, and how many in all.
	aloneMore, aloneMost = 4, 8

	shedPauses = 16 // a worker that turns a call away is left alone for two such parts of a service time

	widthMore = 2.0 // workers for a function, as a multiple of its part of the calls times all workers
	widthTau  = 2.0 // keep-alives over which that part is counted
	// A worker is pressed by the share of its cores that is busy, and by what an answer takes, in least aims.
	// From the first on functions leave it for the next in their order; from the second on all have.
	leaveFrom, leaveAll = 0.9, 1.7
	shedPress, idleTook = 2.0, 0.2 // of one that turns calls away; of an answer that tells of no queue

	refuseFrom = 0.5 // calls for workers pressed by this over 1 begin to be refused; by twice that
	refuseMost = 0.8 // no more than this share is, or nothing would show that the worker is well again

	unmetCalls = 0.25 // calls that a worker which answered nothing here lately counts as busier by

	coldMargin = 0.9 // share of a cold worker's budget that is used
	coldEven   = 3.0 // times that a cold worker may be called as much as the mean of all, at the least
	// The same for each of the workers: the home of a function with a tenth of all calls is called a tenth of
	// their number times the mean, of which it bears six times coldEven.
	coldTop = 0.025
)

// Step tells the Router everything that happened at one moment, in order, and returns what is to be done.
// Ids that the Router does not hold are passed over.
func (r *Router) Step(now time.Duration, events []Event) []Action {
	r.now, r.acts = max(now, r.now), nil
	if !r.started {
		r.started, r.servedAt = true, now
		r.act(SetTimer{beat, beatToken})
		if r.set.SubscriptionRequired {
			r.act(Subscribe{true})
		}
	}
	r.survey()
	due := false
	for _, e := range events {
		switch e := e.(type) {
		case WorkerList:
			r.follow(e)
		case Request:
			r.admit(e)
		case StreamStarted:
			if q := r.requests[e.ID]; q != nil {
				q.streams = true
			}
		case AttemptEnded:
			r.ended(e)
		case ClientCanceled:
			if q := r.requests[e.ID]; q != nil {
				r.close(q)
			}
		case LoadEnded:
			r.loaded(e)
		case PeerReports:
			r.heed(e)
		case EndpointsStale:
			r.blindTill = now + e.Duration
		case StateRestored:
			r.recall(e.State)
		case PoolsChanged:
			r.version++
		case Shutdown:
			for _, id := range slices.Sorted(maps.Keys(r.requests)) {
				r.finish(r.requests[id])
			}
		case TimerFired:
			due = due || e.Token == beatToken
		}
	}
	// After a stall all that came meanwhile is in one batch: answers are read before a worker is judged.
	if due {
		r.act(SetTimer{beat, beatToken})
		r.look()
	}
	r.release()
	return r.acts
}

func (r *Router) act(a Action) { r.acts = append(r.acts, a) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
