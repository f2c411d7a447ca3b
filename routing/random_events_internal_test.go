package routing

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// randomSimulation simulates the clients and workers of a Router with random events. It checks three invariants of the
// package on each action: one final answer, no unsafe repeat (for requests that must not be repeated at all) and
// nothing to draining workers.
type randomSimulation struct {
	t          *testing.T
	settings   Settings
	rng        *rand.Rand
	now        time.Duration
	step       int
	requests   map[string]*simulatedRequest
	requestIDs []string // in order of arrival
	workers    []Worker
	ready      map[string]bool // by worker id
}

// simulatedRequest is the state of a request at its client and at the workers.
type simulatedRequest struct {
	deadline   time.Duration
	inFlight   map[int]string // worker ids of the attempts in flight, by attempt number
	attempts   int
	mayHaveRun bool
	answered   bool
}

// simulateRandomEvents passes random valid events to a Router and returns its actions by step.
func simulateRandomEvents(t *testing.T, deployed Settings, seed uint64, steps int) [][]Action {
	t.Helper()
	router, err := New(deployed, seed)
	if err != nil {
		t.Fatal(err)
	}
	simulation := &randomSimulation{
		t:        t,
		settings: deployed,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		now:      time.Hour,
		requests: map[string]*simulatedRequest{},
		workers:  readyWorkers(6),
		ready:    map[string]bool{},
	}
	for _, w := range simulation.workers {
		simulation.ready[w.ID] = true
	}
	events := []Event{WorkerList{Kind: ListCached, Workers: simulation.workers}}
	var all [][]Action
	for simulation.step = range steps {
		actions := router.Step(simulation.now, events)
		all = append(all, actions)
		for _, action := range actions {
			simulation.check(action)
		}
		simulation.now += time.Duration(simulation.rng.IntN(8)+2) * millisecond
		events = append([]Event{TimerFired{tickToken}}, simulation.attemptEnds()...)
		events = append(events, simulation.newRequests()...)
		events = append(events, simulation.workerChanges()...)
	}
	return all
}

// check records an action, and fails the test if the action violates an invariant.
func (s *randomSimulation) check(action Action) {
	s.t.Helper()
	mustNotRepeat := s.settings.Classes[0].Idempotency == NonIdempotent
	switch action := action.(type) {
	case Send:
		req := s.requests[action.ID]
		if req == nil || req.answered || s.now >= req.deadline || !s.ready[action.Worker] ||
			len(req.inFlight) > 0 && !s.settings.HedgingAllowed || req.mayHaveRun && mustNotRepeat {
			s.t.Fatalf("step %d: %+v violates an invariant, request %+v", s.step, action, req)
		}
		req.inFlight[req.attempts] = action.Worker
		req.attempts++
	case Load:
		if !s.ready[action.Worker] {
			s.t.Fatalf("step %d: load ordered at %s, which is not ready", s.step, action.Worker)
		}
	case Fail:
		s.checkFinal(action.ID)
	case Reject:
		req := s.requests[action.ID]
		if req != nil && (req.mayHaveRun || len(req.inFlight) > 0) && mustNotRepeat {
			s.t.Fatalf("step %d: %s rejected although it may have run", s.step, action.ID)
		}
		s.checkFinal(action.ID)
	}
}

// checkFinal records the final answer of a request, and fails the test if it is not the first.
func (s *randomSimulation) checkFinal(id string) {
	s.t.Helper()
	if s.requests[id] == nil || s.requests[id].answered {
		s.t.Fatalf("step %d: second final answer for %s", s.step, id)
	}
	s.requests[id].answered = true
}

// attemptEnds returns the ends of some attempts in flight. It fails the test if a request has no final answer in time.
func (s *randomSimulation) attemptEnds() []Event {
	s.t.Helper()
	var events []Event
	for _, id := range s.requestIDs {
		req := s.requests[id]
		if !req.answered && s.now > req.deadline+s.settings.AnswerSlack {
			s.t.Fatalf("step %d: %s has no final answer in time", s.step, id)
		}
		for number := range req.attempts {
			target, inFlight := req.inFlight[number]
			expires := s.now >= req.deadline-5*millisecond
			if !inFlight || !expires && s.rng.IntN(12) > 0 {
				continue
			}
			delete(req.inFlight, number)
			outcome := Outcome(s.rng.IntN(int(NotLoaded) + 1))
			if expires {
				outcome = TimedOut
			}
			switch outcome {
			case Served:
				req.answered = true
			case Shed, ConnectFailed, NotSent, NotLoaded:
			default:
				req.mayHaveRun = true
			}
			events = append(events, AttemptEnded{
				ID: id, Attempt: number, Worker: target, Outcome: outcome, RequestAnswered: req.answered,
				Latency: 30 * millisecond, StartType: StartType(s.rng.IntN(4)), InFlightForFunction: s.rng.IntN(3),
			})
		}
	}
	return events
}

// newRequests returns a new request in one of three steps on average.
func (s *randomSimulation) newRequests() []Event {
	if s.rng.IntN(3) != 0 {
		return nil
	}
	req := newTestRequest(fmt.Sprint("r", s.step), fmt.Sprint("f", s.rng.IntN(9)))
	req.TimeLeft = time.Duration(100+s.rng.IntN(900)) * millisecond
	s.requests[req.ID] = &simulatedRequest{deadline: s.now + req.TimeLeft, inFlight: map[int]string{}}
	s.requestIDs = append(s.requestIDs, req.ID)
	return []Event{req}
}

// workerChanges changes the state of a worker in one of a hundred steps on average.
func (s *randomSimulation) workerChanges() []Event {
	if s.rng.IntN(100) != 0 {
		return nil
	}
	changed := s.workers[s.rng.IntN(len(s.workers))]
	changed.State = WorkerState(s.rng.IntN(3))
	s.ready[changed.ID] = changed.State == Ready
	return []Event{WorkerList{Workers: []Worker{changed}}}
}

// Guards against sequences of events that violate an invariant.
func TestRandomEventsKeepInvariants(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"idempotent": unchangedSettings, "non-idempotent": nonIdempotent,
		"by key": dedupInZone, "hedging": hedgingAllowed, "loads": loadsAllowed, "no cancel": cancelForbidden,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				simulateRandomEvents(t, settings(change), seed, 3000)
			}
		})
	}
}

// Guards against non-determinism: the same seed and events must give the same actions.
func TestSameEventsSameActions(t *testing.T) {
	one := simulateRandomEvents(t, settings(hedgingAllowed, loadsAllowed), 5, 2000)
	two := simulateRandomEvents(t, settings(hedgingAllowed, loadsAllowed), 5, 2000)
	if !reflect.DeepEqual(one, two) {
		t.Error("the same events and seed gave different actions")
	}
}

// Guards against state shared between Routers: a Router's actions must not depend on another Router in the same
// process.
func TestRoutersShareNothing(t *testing.T) {
	stepOneRequest := func(r *Router, i int) []Action {
		now := time.Hour + time.Duration(i)*millisecond
		return r.Step(now, []Event{newTestRequest(fmt.Sprint("r", i), fmt.Sprint("f", i%5))})
	}
	newRouter := func() *Router {
		r, err := New(settings(), 3)
		if err != nil {
			t.Fatal(err)
		}
		r.Step(time.Hour, []Event{WorkerList{Kind: ListCached, Workers: readyWorkers(5)}})
		return r
	}
	alone, shared, other := newRouter(), newRouter(), newRouter()
	for i := range 200 {
		want := stepOneRequest(alone, i)
		if got := stepOneRequest(shared, i); !reflect.DeepEqual(got, want) {
			t.Fatalf("step %d: got %v with another Router in the process, want %v", i, got, want)
		}
		stepOneRequest(other, 2*i)
	}
}
