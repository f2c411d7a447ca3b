package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
)

const (
	microsPerMinute  = 60_000_000
	creditPerRequest = 1_000_000 // in microseconds times requests per second
)

// Conditions of a simulated worker.
const (
	conditionHealthy = iota
	conditionUnresponsive
	conditionErrors
	conditionRefusesConnections
	conditionResetsConnections
	conditionSlow
	conditionSheds
	conditionLosesAnswers
	conditionLoadsFail
	conditionCount
)

// simulatedWorker is the true state of a worker, which the instance can infer only from messages.
type simulatedWorker struct {
	id               string
	state            int // wireGone, wireReady or wireDraining
	kind, zone, cell int
	weight           float64
	startedMicros    int64
	condition        int
	conditionUntil   int64
	returnsAt        int64
	inFlight         int
	loaded           map[string]bool // by function; not iterated, since map order is random
}

// simulatedFunction is a function called by clients.
type simulatedFunction struct {
	name               string
	class, concurrency int
	memory             int
	serviceMicros      int64
	loadMicros         int64
	declaresLoadTime   bool
}

// simulatedAttempt is an attempt at a worker. worker is nil if the instance chose a worker that does not exist.
type simulatedAttempt struct {
	worker *simulatedWorker
	ended  bool
}

// simulatedRequest is a request of a client.
type simulatedRequest struct {
	id       string
	function *simulatedFunction
	over     bool // the request was answered, rejected or canceled
	attempts []*simulatedAttempt
}

// scheduledEvent is an event scheduled for a simulated time. run returns the resulting messages for the instance.
type scheduledEvent struct {
	at  int64
	run func() string
}

// simulatedWorld simulates the clients, workers and endpoint list of one instance. Times are integers in microseconds,
// so that the simulation is deterministic for a seed on every machine.
type simulatedWorld struct {
	profile       siteProfile
	rng           *rand.Rand
	now           int64
	workers       []*simulatedWorker
	functions     []*simulatedFunction
	requests      map[string]*simulatedRequest // by ID; not iterated, since map order is random
	recentIDs     []string
	events        []scheduledEvent // ordered by time, then by scheduling order
	nextRequest   int
	nextWorker    int
	listVersion   int
	subscribed    bool
	changed       []*simulatedWorker
	requestCredit int64 // accumulated credit; each creditPerRequest creates a request
	surgeUntil    int64
	surgePercent  int64 // request rate until surgeUntil, in percent of the profile's rate
}

// newSimulatedWorld returns the simulation for a profile. It is deterministic for a seed.
func newSimulatedWorld(profile siteProfile, seed uint64, now int64) *simulatedWorld {
	world := &simulatedWorld{
		profile:      profile,
		rng:          rand.New(rand.NewPCG(seed, 2)),
		now:          now,
		requests:     map[string]*simulatedRequest{},
		surgePercent: 100,
	}
	for range profile.workers {
		worker := world.addWorker()
		if !profile.startCold {
			worker.startedMicros = 0
		}
	}
	for i := range profile.functions {
		world.functions = append(world.functions, &simulatedFunction{
			name:             fmt.Sprintf("f-%d-%s", i, world.randomSuffix()),
			class:            i % classCount,
			concurrency:      1 + world.rng.IntN(4),
			memory:           100 * (1 + world.rng.IntN(6)),
			serviceMicros:    8000 + world.rng.Int64N(150000),
			loadMicros:       80000 + world.rng.Int64N(900000),
			declaresLoadTime: world.rng.IntN(3) == 0,
		})
	}
	return world
}

// addWorker adds a ready worker that starts now.
func (w *simulatedWorld) addWorker() *simulatedWorker {
	w.nextWorker++
	worker := &simulatedWorker{
		id:            fmt.Sprintf("w%s%d", w.randomSuffix(), w.nextWorker),
		state:         wireReady,
		kind:          w.rng.IntN(2),
		zone:          w.rng.IntN(2),
		cell:          w.rng.IntN(4),
		weight:        0.5 * float64(1+w.rng.IntN(4)),
		startedMicros: w.now,
		loaded:        map[string]bool{},
	}
	w.workers = append(w.workers, worker)
	return worker
}

// randomSuffix returns up to three random characters for a worker or function name.
func (w *simulatedWorld) randomSuffix() string {
	const base, limit = 36, 36 * 36 * 36
	return strconv.FormatUint(w.rng.Uint64()%limit, base)
}

// chance returns true with a probability of perMille/1000.
func (w *simulatedWorld) chance(perMille int) bool { return w.rng.IntN(1000) < perMille }

// schedule adds an event. Events with the same time run in scheduling order.
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

// millisText formats microseconds as milliseconds on the wire.
func millisText(micros int64) string {
	return strconv.FormatFloat(float64(micros)/1000, 'f', -1, 64)
}

// startMessages returns the messages that start the instance.
func (w *simulatedWorld) startMessages(seed uint64) string {
	text := fmt.Sprintf("power_on\t%d\t%s\n", seed, w.profile.settings())
	if !w.profile.subscriptionRequired {
		text += w.endpointList(wireListFull, w.workers)
	}
	return text
}

// endpointList returns a message with a full endpoint list or with changes, depending on kind.
func (w *simulatedWorld) endpointList(kind int, workers []*simulatedWorker) string {
	w.listVersion++
	text := fmt.Sprintf("view\t%d\t%d\t%d\n", kind, w.listVersion, len(workers))
	for _, worker := range workers {
		weight, started := wireUnknown, wireUnknown
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

// round advances the simulation to now and returns the messages of the round for the instance.
func (w *simulatedWorld) round(now int64) string {
	var text strings.Builder
	passed := now - w.now
	w.now = now
	w.changeWorkers(passed)
	if len(w.changed) > 0 && (!w.profile.subscriptionRequired || w.subscribed) {
		text.WriteString(w.endpointList(wireListChanges, w.changed))
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
	w.requestCredit += passed * int64(w.profile.requestsPerSecond) * w.surgePercent / 100
	for ; w.requestCredit >= creditPerRequest; w.requestCredit -= creditPerRequest {
		text.WriteString(w.newRequest(nil, wireNoFlags))
	}
	if w.chance(60) {
		text.WriteString(w.unexpectedEvent())
	}
	return text.String()
}

// changeWorkers starts and ends faults, and drains, removes and restarts workers. passed is the time since the last
// round.
func (w *simulatedWorld) changeWorkers(passed int64) {
	for _, worker := range w.workers {
		if worker.condition != conditionHealthy && w.now >= worker.conditionUntil {
			worker.condition = conditionHealthy
		}
		if worker.state != wireReady && worker.returnsAt > 0 && w.now >= worker.returnsAt {
			if worker.state == wireDraining && w.chance(500) { // fully drained
				worker.returnsAt = w.now + 1000000
				worker.state = wireGone
			} else {
				worker.state, worker.returnsAt, worker.startedMicros = wireReady, 0, w.now
				worker.loaded = map[string]bool{}
			}
			w.changed = append(w.changed, worker)
		}
	}
	if w.rng.Int64N(microsPerMinute) < passed*int64(w.profile.faultsPerMinute) {
		worker := w.workers[w.rng.IntN(len(w.workers))]
		worker.condition = 1 + w.rng.IntN(conditionCount-1)
		worker.conditionUntil = w.now + 400000 + w.rng.Int64N(4000000)
	}
	if w.rng.Int64N(microsPerMinute) < passed*int64(w.profile.restartsPerMinute) {
		worker := w.workers[w.rng.IntN(len(w.workers))]
		switch w.rng.IntN(4) {
		case 0: // drain; remove or restart later
			worker.state, worker.returnsAt = wireDraining, w.now+300000+w.rng.Int64N(3000000)
		case 1: // remove; restart later
			worker.state, worker.returnsAt = wireGone, w.now+300000+w.rng.Int64N(6000000)
		case 2: // restart; the endpoint list shows only a new start time
			worker.startedMicros, worker.loaded = w.now, map[string]bool{}
		default:
			worker.state, worker.returnsAt = wireGone, 0 // replace by a new worker
			w.changed = append(w.changed, worker)
			w.workers = slices.DeleteFunc(w.workers, func(o *simulatedWorker) bool { return o == worker })
			worker = w.addWorker()
		}
		w.changed = append(w.changed, worker)
	}
}

// worker returns the worker with the given ID, or nil.
func (w *simulatedWorld) worker(id string) *simulatedWorker {
	i := slices.IndexFunc(w.workers, func(o *simulatedWorker) bool { return o.id == id })
	if i < 0 {
		return nil
	}
	return w.workers[i]
}
