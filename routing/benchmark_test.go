package routing_test

import (
	"fmt"
	"testing"
	"time"

	"calicohill/routing"
)

const (
	benchmarkTick       = time.Millisecond      // virtual time per step: 1,000 requests per second
	benchmarkLatency    = 60 * time.Millisecond // virtual latency of every answer
	benchmarkTimer      = 10 * time.Millisecond // period of the Router's own timer
	benchmarkFunctions  = 40
	benchmarkWarmUp     = 5000 // steps before the measurement starts
	benchmarkTimerToken = 1
)

// benchmarkFleet simulates workers that answer each attempt after benchmarkLatency of virtual time.
type benchmarkFleet struct {
	router  *routing.Router
	now     time.Duration
	steps   int
	ids     []string // request ids, used in rotation: a request is answered long before its id is used again
	pending []pendingAnswer
	events  []routing.Event
}

// pendingAnswer is an attempt in flight and the time of its answer.
type pendingAnswer struct {
	at   time.Duration
	send routing.Send
}

func newBenchmarkFleet(b *testing.B, workers int) *benchmarkFleet {
	b.Helper()
	router, err := routing.New(routing.Settings{
		Schedulers:             3,
		Tick:                   2 * time.Millisecond,
		MaxAttempts:            4,
		CancelAllowed:          true,
		LoadOnDemand:           true,
		AnswersReportStartType: true,
		AnswersReportInFlight:  true,
		SlowStartFraction:      0.25,
		SlowStartDuration:      10 * time.Second,
		OverloadMultiple:       2,
		OverloadDuration:       time.Second,
		InstanceKeepAlive:      8 * time.Second,
		Classes: []routing.Class{{
			LatencyObjective: time.Second,
			Deadline:         4 * time.Second,
			PriorityWeight:   1,
			LateValue:        0.3,
		}},
	}, 7)
	if err != nil {
		b.Fatal(err)
	}
	fleet := &benchmarkFleet{router: router, now: time.Hour}
	var list []routing.Worker
	for i := range workers {
		list = append(list, routing.Worker{ID: fmt.Sprintf("w%d", i), State: routing.Ready, Weight: 1, Zone: i % 2})
	}
	for i := range 1 << 14 {
		fleet.ids = append(fleet.ids, fmt.Sprintf("r%d", i))
	}
	router.Step(fleet.now, []routing.Event{routing.WorkerList{Kind: routing.ListFull, Workers: list}})
	return fleet
}

// step advances the time by one tick and reports the answers that are due, one new request and, once per
// benchmarkTimer, the timer.
func (f *benchmarkFleet) step(functions []string) {
	f.now += benchmarkTick
	f.events = f.events[:0]
	for len(f.pending) > 0 && f.pending[0].at <= f.now {
		f.events = append(f.events, routing.AttemptEnded{
			ID:                  f.pending[0].send.ID,
			Worker:              f.pending[0].send.Worker,
			Outcome:             routing.Served,
			RequestAnswered:     true,
			Latency:             benchmarkLatency,
			StartType:           routing.WarmStart,
			InFlightForFunction: 1,
		})
		f.pending = f.pending[1:]
	}
	f.events = append(f.events, routing.Request{
		ID:          f.ids[f.steps%len(f.ids)],
		Function:    functions[f.steps%len(functions)],
		TimeLeft:    3 * time.Second,
		Concurrency: 4,
		LoadTime:    500 * time.Millisecond,
	})
	if f.now%benchmarkTimer == 0 {
		f.events = append(f.events, routing.TimerFired{Token: benchmarkTimerToken})
	}
	f.steps++
	for _, action := range f.router.Step(f.now, f.events) {
		if send, ok := action.(routing.Send); ok {
			f.pending = append(f.pending, pendingAnswer{f.now + benchmarkLatency, send})
		}
	}
}

// BenchmarkStep measures a Step with one new request and one answer.
func BenchmarkStep(b *testing.B) {
	for _, workers := range []int{14, 100} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var functions []string
			for i := range benchmarkFunctions {
				functions = append(functions, fmt.Sprintf("f%d", i))
			}
			fleet := newBenchmarkFleet(b, workers)
			for range benchmarkWarmUp {
				fleet.step(functions)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				fleet.step(functions)
			}
		})
	}
}
