package routing

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// playRandomEvents feeds a Router random legal events and checks rules 1 and 2 and the drain rule on what it does.
func playRandomEvents(t *testing.T, deployed Settings, seed uint64, steps int) [][]Action {
	router, err := New(deployed, seed)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	type state struct {
		end   time.Duration
		out   map[int]string
		n     int
		dirty bool
		done  bool
	}
	held, order := map[string]*state{}, []string{}
	workers := readyWorkers(6)
	ok := map[string]bool{}
	for _, w := range workers {
		ok[w.ID] = true
	}
	now := time.Hour
	events := []Event{WorkerList{Kind: ListCached, Workers: workers}}
	var all [][]Action
	for i := range steps {
		acts := router.Step(now, events)
		all = append(all, acts)
		for _, action := range acts {
			final := ""
			switch action := action.(type) {
			case Send:
				q := held[action.ID]
				if q == nil || q.done || now >= q.end || !ok[action.Worker] ||
					len(q.out) > 0 && !deployed.HedgingAllowed || q.dirty && deployed.Classes[0].Idempotency == NonIdempotent {
					t.Fatalf("step %d: %+v breaks a rule: %+v", i, action, q)
				}
				q.out[q.n] = action.Worker
				q.n++
			case Load:
				if !ok[action.Worker] {
					t.Fatalf("step %d: order to %s", i, action.Worker)
				}
			case Fail:
				final = action.ID
			case Reject:
				final = action.ID
				if q := held[action.ID]; q != nil && (q.dirty || len(q.out) > 0) && deployed.Classes[0].Idempotency == NonIdempotent {
					t.Fatalf("step %d: %s rejected though it may have run", i, action.ID)
				}
			}
			if final != "" {
				if held[final] == nil || held[final].done {
					t.Fatalf("step %d: second final answer for %s", i, final)
				}
				held[final].done = true
			}
		}
		now += time.Duration(rng.IntN(8)+2) * millisecond
		events = []Event{TimerFired{tickToken}}
		for _, id := range order {
			open := held[id]
			if !open.done && now > open.end+deployed.AnswerSlack {
				t.Fatalf("step %d: %s unanswered past its time", i, id)
			}
			for attempt := range open.n {
				target, out := open.out[attempt]
				if !out || now < open.end-5*millisecond && rng.IntN(12) > 0 {
					continue
				}
				delete(open.out, attempt)
				o := Outcome(rng.IntN(int(NotLoaded) + 1))
				if now >= open.end-5*millisecond {
					o = TimedOut
				}
				if o == Served {
					open.done = true
				} else if o != Shed && o != ConnectFailed && o != NotSent && o != NotLoaded {
					open.dirty = true
				}
				events = append(events, AttemptEnded{
					ID: id, Attempt: attempt, Worker: target, Outcome: o, RequestAnswered: open.done,
					Latency: 30 * millisecond, StartType: StartType(rng.IntN(4)), InFlightForFunction: rng.IntN(3),
				})
			}
		}
		if rng.IntN(3) == 0 {
			q := newTestRequest(fmt.Sprint("r", i), fmt.Sprint("f", rng.IntN(9)))
			q.TimeLeft = time.Duration(100+rng.IntN(900)) * millisecond
			held[q.ID] = &state{end: now + q.TimeLeft, out: map[int]string{}}
			order = append(order, q.ID)
			events = append(events, q)
		}
		if rng.IntN(100) == 0 {
			w := workers[rng.IntN(len(workers))]
			w.State = WorkerState(rng.IntN(3))
			ok[w.ID] = w.State == Ready
			events = append(events, WorkerList{Workers: []Worker{w}})
		}
	}
	return all
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
			t.Fatalf("step %d: beside another Router %v, alone %v", i, got, want)
		}
		play1(b, 2*i)
	}
}
