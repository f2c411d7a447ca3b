package virtual

import (
	"fmt"
	"math/rand/v2"
	"time"

	"calicohill/internal/testbed/workload"
	"calicohill/routing"
)

// scheduler is a simulated scheduler.
type scheduler struct {
	*fleet
	index       int
	incarnation int // number of starts
	router      *routing.Router
	inFlight    map[string]*request // by the request's ID
}

// request is a request without a response yet.
type request struct {
	function        string
	arrivedAt       time.Duration
	attemptInFlight []bool // by attempt number
}

// start starts the scheduler, or restarts it without its learned state.
func (s *scheduler) start() error {
	seed := s.Seed<<20 + uint64(s.index)<<1 + uint64(s.incarnation)
	router, err := routing.New(s.settings, seed)
	if err != nil {
		return err
	}
	s.incarnation++
	s.router = router
	s.inFlight = map[string]*request{}
	s.step(s.list)
	return nil
}

// offerLoad sends client requests to the scheduler until the experiment ends.
func (s *scheduler) offerLoad(rng *rand.Rand, rate float64, functions int) {
	zipf := workload.NewFunctionDistribution(rng, functions)
	pause := func() time.Duration { return time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) }
	number := 0
	var next func()
	next = func() {
		number++
		class := workload.PickClass(rng.Float64())
		function := workload.FunctionName(zipf)
		id := fmt.Sprintf("%d-%d", s.index, number)
		s.inFlight[id] = &request{function: function, arrivedAt: s.now}
		s.offered[s.secondOf(s.now)]++
		s.step(routing.Request{ID: id, Class: class, Function: function, TimeLeft: workload.RequestTimeout, Concurrency: 4})
		s.schedule(pause(), next)
	}
	s.schedule(pause(), next)
}

// step passes events to the Router and executes its actions.
func (s *scheduler) step(events ...routing.Event) {
	for _, action := range s.router.Step(s.now, events) {
		s.execute(action)
	}
}

// execute executes an action of the Router.
func (s *scheduler) execute(action routing.Action) {
	switch action := action.(type) {
	case routing.SetTimer:
		wait := action.After
		if len(s.inFlight) == 0 { // an idle Router needs no frequent timer
			wait *= 10
		}
		s.whileRunning(wait, func() { s.step(routing.TimerFired{Token: action.Token}) })
	case routing.Reject:
		s.metrics.Rejected++
		delete(s.inFlight, action.ID)
	case routing.Fail:
		delete(s.inFlight, action.ID)
	case routing.Cancel:
		s.whileRunning(0, func() {
			s.attemptEnded(action.ID, action.Attempt, routing.AttemptEnded{Outcome: routing.Canceled})
		})
	case routing.Send:
		s.send(action)
	}
}

// whileRunning calls a function after a delay, unless the scheduler has restarted in the meantime.
func (s *scheduler) whileRunning(delay time.Duration, call func()) {
	incarnation := s.incarnation
	s.schedule(delay, func() {
		if s.incarnation == incarnation {
			call()
		}
	})
}

// send sends an attempt to its worker.
func (s *scheduler) send(action routing.Send) {
	request := s.inFlight[action.ID]
	attempt := len(request.attemptInFlight)
	request.attemptInFlight = append(request.attemptInFlight, true)
	worker := s.workers[action.Worker]
	latency, inFlight, ok := worker.serve(s, request.function)
	result := routing.AttemptEnded{
		Worker:              action.Worker,
		Outcome:             routing.Served,
		RequestAnswered:     true,
		Latency:             latency,
		InFlightForFunction: inFlight,
	}
	endsAfter := latency
	switch {
	case !ok:
		result.Outcome = routing.ConnectFailed
		result.RequestAnswered = false
		endsAfter = 2 * networkDelay
	case latency > action.Timeout:
		result.Outcome = routing.TimedOut
		result.RequestAnswered = false
		endsAfter = action.Timeout
	}
	s.whileRunning(endsAfter, func() {
		if result.Outcome == routing.Served {
			result.Report = worker.report(s.now)
		}
		s.attemptEnded(action.ID, attempt, result)
	})
}

// attemptEnded passes the result of an attempt to the Router. Later results of the same attempt are ignored.
func (s *scheduler) attemptEnded(id string, attempt int, result routing.AttemptEnded) {
	request := s.inFlight[id]
	if request == nil || !request.attemptInFlight[attempt] {
		return
	}
	request.attemptInFlight[attempt] = false
	if result.RequestAnswered {
		s.served[s.secondOf(request.arrivedAt)]++
		delete(s.inFlight, id)
	}
	result.ID = id
	result.Attempt = attempt
	s.step(result)
}
