package routing

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// randomPlay plays the clients and workers of a Router at random. It checks three invariants of the package on each action:
// one final answer, no unsafe repeat (for requests that must not be repeated at all) and nothing to draining workers.
type randomPlay struct {
	t        *testing.T
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	step     int
	requests map[string]*playedRequest
	order    []string // ids of the requests, oldest first
	workers  []Worker
	ready    map[string]bool // by worker
}

// playedRequest is a request as its client and the workers see it.
type playedRequest struct {
	end        time.Duration  // when the client gives up
	inFlight   map[int]string // worker of each attempt without an end
	attempts   int
	mayHaveRun bool
	answered   bool
}

// playRandomEvents feeds a Router random legal events and returns its actions, step by step.
func playRandomEvents(t *testing.T, deployed Settings, seed uint64, steps int) [][]Action {
	t.Helper()
	router, err := New(deployed, seed)
	if err != nil {
		t.Fatal(err)
	}
	play := &randomPlay{
		t:        t,
		settings: deployed,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		now:      time.Hour,
		requests: map[string]*playedRequest{},
		workers:  readyWorkers(6),
		ready:    map[string]bool{},
	}
	for _, w := range play.workers {
		play.ready[w.ID] = true
	}
	events := []Event{WorkerList{Kind: ListCached, Workers: play.workers}}
	var all [][]Action
	for play.step = range steps {
		actions := router.Step(play.now, events)
		all = append(all, actions)
		for _, action := range actions {
			play.check(action)
		}
		play.now += time.Duration(play.rng.IntN(8)+2) * millisecond
		events = append([]Event{TimerFired{tickToken}}, play.attemptEnds()...)
		events = append(events, play.newRequests()...)
		events = append(events, play.workerChanges()...)
	}
	return all
}

// check fails the test if an action breaks a rule, and notes it otherwise.
func (p *randomPlay) check(action Action) {
	p.t.Helper()
	nonIdempotent := p.settings.Classes[0].Idempotency == NonIdempotent
	switch action := action.(type) {
	case Send:
		req := p.requests[action.ID]
		if req == nil || req.answered || p.now >= req.end || !p.ready[action.Worker] ||
			len(req.inFlight) > 0 && !p.settings.HedgingAllowed || req.mayHaveRun && nonIdempotent {
			p.t.Fatalf("step %d: %+v breaks a rule: %+v", p.step, action, req)
		}
		req.inFlight[req.attempts] = action.Worker
		req.attempts++
	case Load:
		if !p.ready[action.Worker] {
			p.t.Fatalf("step %d: order to %s", p.step, action.Worker)
		}
	case Fail:
		p.checkFinal(action.ID)
	case Reject:
		req := p.requests[action.ID]
		if req != nil && (req.mayHaveRun || len(req.inFlight) > 0) && nonIdempotent {
			p.t.Fatalf("step %d: %s rejected though it may have run", p.step, action.ID)
		}
		p.checkFinal(action.ID)
	}
}

// checkFinal fails the test if a request has its final answer already.
func (p *randomPlay) checkFinal(id string) {
	p.t.Helper()
	if p.requests[id] == nil || p.requests[id].answered {
		p.t.Fatalf("step %d: second final answer for %s", p.step, id)
	}
	p.requests[id].answered = true
}

// attemptEnds ends some of the attempts in flight, and fails the test if a request is unanswered past its time.
func (p *randomPlay) attemptEnds() []Event {
	p.t.Helper()
	var events []Event
	for _, id := range p.order {
		req := p.requests[id]
		if !req.answered && p.now > req.end+p.settings.AnswerSlack {
			p.t.Fatalf("step %d: %s unanswered past its time", p.step, id)
		}
		for number := range req.attempts {
			target, inFlight := req.inFlight[number]
			expires := p.now >= req.end-5*millisecond
			if !inFlight || !expires && p.rng.IntN(12) > 0 {
				continue
			}
			delete(req.inFlight, number)
			outcome := Outcome(p.rng.IntN(int(NotLoaded) + 1))
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
				Latency: 30 * millisecond, StartType: StartType(p.rng.IntN(4)), InFlightForFunction: p.rng.IntN(3),
			})
		}
	}
	return events
}

// newRequests makes a request in one step of three.
func (p *randomPlay) newRequests() []Event {
	if p.rng.IntN(3) != 0 {
		return nil
	}
	req := newTestRequest(fmt.Sprint("r", p.step), fmt.Sprint("f", p.rng.IntN(9)))
	req.TimeLeft = time.Duration(100+p.rng.IntN(900)) * millisecond
	p.requests[req.ID] = &playedRequest{end: p.now + req.TimeLeft, inFlight: map[int]string{}}
	p.order = append(p.order, req.ID)
	return []Event{req}
}

// workerChanges changes the state of a worker in one step of a hundred.
func (p *randomPlay) workerChanges() []Event {
	if p.rng.IntN(100) != 0 {
		return nil
	}
	changed := p.workers[p.rng.IntN(len(p.workers))]
	changed.State = WorkerState(p.rng.IntN(3))
	p.ready[changed.ID] = changed.State == Ready
	return []Event{WorkerList{Workers: []Worker{changed}}}
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"safe": unchangedSettings, "unsafe": nonIdempotent,
		"keyed": dedupInZone, "hedging": hedgingAllowed, "orders": loadsAllowed, "no cancel": cancelForbidden,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				playRandomEvents(t, settings(change), seed, 3000)
			}
		})
	}
}

func TestSameEventsSameActions(t *testing.T) {
	one, two := playRandomEvents(t, settings(hedgingAllowed, loadsAllowed), 5, 2000), playRandomEvents(t, settings(hedgingAllowed, loadsAllowed), 5, 2000)
	if !reflect.DeepEqual(one, two) {
		t.Error("the same events gave other actions")
	}
}

func TestRoutersShareNothing(t *testing.T) {
	play1 := func(r *Router, i int) []Action {
		return r.Step(time.Hour+time.Duration(i)*millisecond, []Event{newTestRequest(fmt.Sprint("r", i), fmt.Sprint("f", i%5))})
	}
	fresh := func() *Router {
		r, err := New(settings(), 3)
		if err != nil {
			t.Fatal(err)
		}
		r.Step(time.Hour, []Event{WorkerList{Kind: ListCached, Workers: readyWorkers(5)}})
		return r
	}
	alone, a, b := fresh(), fresh(), fresh()
	for i := range 200 {
		want := play1(alone, i)
		if got := play1(a, i); !reflect.DeepEqual(got, want) {
			t.Fatalf("step %d: with another Router in the process %v, alone %v", i, got, want)
		}
		play1(b, 2*i)
	}
}
