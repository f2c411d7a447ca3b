package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
)

// Conditions that a simulated worker may be in.
const (
	conditionFine = iota
	conditionSilent
	conditionErrors
	conditionRefusesConnections
	conditionResetsConnections
	conditionSlow
	conditionSheds
	conditionLosesAnswers
	conditionLoadsFail
	conditionCount
)

// simulatedWorker is a worker of the world, as it really is.
type simulatedWorker struct {
	id               string
	state            int // 0 gone, 1 ready, 2 draining
	kind, zone, cell int
	weight           float64
	startedMicros    int64
	condition        int
	conditionUntil   int64
	returnsAt        int64
	inFlight         int
	loaded           map[string]bool // only looked up, never iterated
}

// simulatedFunction is a function that clients call.
type simulatedFunction struct {
	name          string
	class, lanes  int
	memory        int
	serviceMicros int64
	loadMicros    int64
	tellsLoadTime bool
}

// simulatedAttempt is a Send that has not ended.
type simulatedAttempt struct {
	worker *simulatedWorker
	ended  bool
}

// simulatedRequest is a client's request.
type simulatedRequest struct {
	id       string
	function *simulatedFunction
	final    bool
	attempts []*simulatedAttempt
}

// scheduledEvent is something that the world will do; it returns the lines to tell.
type scheduledEvent struct {
	at  int64
	run func() string
}

// simulatedWorld stands for all that surrounds one instance. Its times are in microseconds and whole, so that the same
// seed plays the same world on every machine.
type simulatedWorld struct {
	profile      siteProfile
	rng          *rand.Rand
	now          int64
	workers      []*simulatedWorker
	functions    []*simulatedFunction
	requests     map[string]*simulatedRequest // only looked up, never iterated
	recentIDs    []string
	events       []scheduledEvent // in order of time, first scheduled first
	nextRequest  int
	nextWorker   int
	listVersion  int
	subscribed   bool
	changed      []*simulatedWorker
	callBudget   int64 // a call is due for each million
	surgeUntil   int64
	surgePercent int64
}

func newSimulatedWorld(p siteProfile, seed uint64, now int64) *simulatedWorld {
	world := &simulatedWorld{
		profile: p, rng: rand.New(rand.NewPCG(seed, 2)), now: now,
		requests: map[string]*simulatedRequest{}, surgePercent: 100,
	}
	for range p.workers {
		worker := world.addWorker()
		if !p.startCold {
			worker.startedMicros = 0
		}
	}
	for i := range p.functions {
		world.functions = append(world.functions, &simulatedFunction{
			name: fmt.Sprintf("f-%d-%s", i, strconv.FormatUint(world.rng.Uint64()%46656, 36)), class: i % 6,
			lanes: 1 + world.rng.IntN(4), memory: 100 * (1 + world.rng.IntN(6)), serviceMicros: 8000 + world.rng.Int64N(150000),
			loadMicros: 80000 + world.rng.Int64N(900000), tellsLoadTime: world.rng.IntN(3) == 0,
		})
	}
	return world
}

func (w *simulatedWorld) addWorker() *simulatedWorker {
	w.nextWorker++
	worker := &simulatedWorker{
		id:    fmt.Sprintf("w%s%d", strconv.FormatUint(w.rng.Uint64()%46656, 36), w.nextWorker),
		state: 1, kind: w.rng.IntN(2), zone: w.rng.IntN(2), cell: w.rng.IntN(4), weight: 0.5 * float64(1+w.rng.IntN(4)),
		startedMicros: w.now, loaded: map[string]bool{},
	}
	w.workers = append(w.workers, worker)
	return worker
}

// chance is true that many times in a thousand.
func (w *simulatedWorld) chance(perMille int) bool { return w.rng.IntN(1000) < perMille }

// schedule has an event run after a while.
func (w *simulatedWorld) schedule(after int64, run func() string) {
	e := scheduledEvent{at: w.now + max(after, 1), run: run}
	i, _ := slices.BinarySearchFunc(w.events, e.at, func(o scheduledEvent, at int64) int {
		if o.at <= at {
			return -1
		}
		return 1
	})
	w.events = slices.Insert(w.events, i, e)
}

// millisText writes microseconds as the wire's milliseconds.
func millisText(micros int64) string {
	return strconv.FormatFloat(float64(micros)/1000, 'f', -1, 64)
}

// first is what the instance is told when it starts.
func (w *simulatedWorld) first(seed uint64) string {
	text := fmt.Sprintf("power_on\t%d\t%s\n", seed, w.profile.settings())
	if !w.profile.subscribed {
		text += w.list(1, w.workers)
	}
	return text
}

// list writes a view of that kind.
func (w *simulatedWorld) list(kind int, workers []*simulatedWorker) string {
	w.listVersion++
	text := fmt.Sprintf("view\t%d\t%d\t%d\n", kind, w.listVersion, len(workers))
	for _, worker := range workers {
		weight, started := "-", "-"
		if w.profile.weights != "silent" {
			weight = strconv.FormatFloat(worker.weight, 'f', -1, 64)
		}
		if worker.startedMicros > 0 {
			started = millisText(worker.startedMicros)
		}
		text += fmt.Sprintf("m\t%s\t%d\t%s\t%d\t%d\t%d\t%s\n", weight, worker.state, worker.id, worker.kind, worker.zone,
			worker.cell, started)
	}
	return text
}

// round moves the world to that time and returns what the instance is told then.
func (w *simulatedWorld) round(now int64) string {
	var text strings.Builder
	passed := now - w.now
	w.now = now
	w.changeWorkers(passed)
	if len(w.changed) > 0 && (!w.profile.subscribed || w.subscribed) {
		text.WriteString(w.list(0, w.changed))
		w.changed = nil
	}
	for len(w.events) > 0 && w.events[0].at <= now {
		e := w.events[0]
		w.events = w.events[1:]
		text.WriteString(e.run())
	}
	if w.surgeUntil < now {
		w.surgeUntil = now + 500000 + w.rng.Int64N(2500000)
		w.surgePercent = []int64{10, 60, 100, 100, 250, 500}[w.rng.IntN(6)]
	}
	w.callBudget += passed * int64(w.profile.callsPerSecond) * w.surgePercent / 100
	for ; w.callBudget >= 1e6; w.callBudget -= 1e6 {
		text.WriteString(w.call(nil, 0))
	}
	if w.chance(60) {
		text.WriteString(w.unexpectedEvent())
	}
	return text.String()
}

// changeWorkers begins and ends faults, drains workers and brings them back.
func (w *simulatedWorld) changeWorkers(passed int64) {
	for _, worker := range w.workers {
		if worker.condition != conditionFine && w.now >= worker.conditionUntil {
			worker.condition = conditionFine
		}
		if worker.state != 1 && worker.returnsAt > 0 && w.now >= worker.returnsAt {
			if worker.state == 2 && w.chance(500) { // it drains no longer
				worker.returnsAt = w.now + 1000000
				worker.state = 0
			} else {
				worker.state, worker.returnsAt, worker.startedMicros = 1, 0, w.now
				worker.loaded = map[string]bool{}
			}
			w.changed = append(w.changed, worker)
		}
	}
	minute := int64(60000000)
	if w.rng.Int64N(minute) < passed*int64(w.profile.faultsPerMinute) {
		worker := w.workers[w.rng.IntN(len(w.workers))]
		worker.condition = 1 + w.rng.IntN(conditionCount-1)
		worker.conditionUntil = w.now + 400000 + w.rng.Int64N(4000000)
	}
	if w.rng.Int64N(minute) < passed*int64(w.profile.restartsPerMin) {
		worker := w.workers[w.rng.IntN(len(w.workers))]
		switch w.rng.IntN(4) {
		case 0: // it drains, and is gone or back later
			worker.state, worker.returnsAt = 2, w.now+300000+w.rng.Int64N(3000000)
		case 1: // it is gone, and comes back
			worker.state, worker.returnsAt = 0, w.now+300000+w.rng.Int64N(6000000)
		case 2: // a restart that the list shows only by its start
			worker.startedMicros, worker.loaded = w.now, map[string]bool{}
		default:
			worker.state, worker.returnsAt = 0, 0 // it never comes back, and a new one takes its place
			w.changed = append(w.changed, worker)
			w.workers = slices.DeleteFunc(w.workers, func(o *simulatedWorker) bool { return o == worker })
			worker = w.addWorker()
		}
		w.changed = append(w.changed, worker)
	}
}

func (w *simulatedWorld) worker(id string) *simulatedWorker {
	i := slices.IndexFunc(w.workers, func(o *simulatedWorker) bool { return o.id == id })
	if i < 0 {
		return nil
	}
	return w.workers[i]
}
