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
	conditionLosesResponses
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
	nextStateAt      int64
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
	finished bool // the request was answered, rejected or canceled
	attempts []*simulatedAttempt
}

// scheduledEvent is an event scheduled for a simulated time. run returns the resulting messages for the instance.
type scheduledEvent struct {
	at  int64
	run func() string
}

// simulation simulates the clients, workers and endpoint list of one instance. Times are integers in microseconds,
// so that the simulation is deterministic for a seed on every machine.
type simulation struct {
	profile        instanceProfile
	rng            *rand.Rand
	now            int64
	workers        []*simulatedWorker
	functions      []*simulatedFunction
	requests       map[string]*simulatedRequest // by ID; not iterated, since map order is random
	recentIDs      []string
	events         []scheduledEvent // ordered by time, then by scheduling order
	nextRequest    int
	nextWorker     int
	listVersion    int
	subscribed     bool
	changedWorkers []*simulatedWorker
	requestCredit  int64 // accumulated credit; each creditPerRequest creates a request
	rateUntil      int64
	ratePercent    int64 // request rate until rateUntil, in percent of the profile's rate
}

// newSimulation returns the simulation for a profile. It is deterministic for a seed.
func newSimulation(profile instanceProfile, seed uint64, now int64) *simulation {
	sim := &simulation{
		profile:     profile,
		rng:         rand.New(rand.NewPCG(seed, 2)),
		now:         now,
		requests:    map[string]*simulatedRequest{},
		ratePercent: 100,
	}
	for range profile.workers {
		worker := sim.addWorker()
		if !profile.startCold {
			worker.startedMicros = 0
		}
	}
	for i := range profile.functions {
		sim.functions = append(sim.functions, &simulatedFunction{
			name:             fmt.Sprintf("f-%d-%s", i, sim.randomSuffix()),
			class:            i % classCount,
			concurrency:      1 + sim.rng.IntN(4),
			memory:           100 * (1 + sim.rng.IntN(6)),
			serviceMicros:    8000 + sim.rng.Int64N(150000),
			loadMicros:       80000 + sim.rng.Int64N(900000),
			declaresLoadTime: sim.rng.IntN(3) == 0,
		})
	}
	return sim
}

// addWorker adds a ready worker that starts now.
func (s *simulation) addWorker() *simulatedWorker {
	s.nextWorker++
	worker := &simulatedWorker{
		id:            fmt.Sprintf("w%s%d", s.randomSuffix(), s.nextWorker),
		state:         wireReady,
		kind:          s.rng.IntN(2),
		zone:          s.rng.IntN(2),
		cell:          s.rng.IntN(4),
		weight:        0.5 * float64(1+s.rng.IntN(4)),
		startedMicros: s.now,
		loaded:        map[string]bool{},
	}
	s.workers = append(s.workers, worker)
	return worker
}

// randomSuffix returns up to three random characters for a worker or function name.
func (s *simulation) randomSuffix() string {
	const base, limit = 36, 36 * 36 * 36
	return strconv.FormatUint(s.rng.Uint64()%limit, base)
}

// chance returns true with a probability of perMille/1000.
func (s *simulation) chance(perMille int) bool { return s.rng.IntN(1000) < perMille }

// schedule adds an event. Events with the same time run in scheduling order.
func (s *simulation) schedule(after int64, run func() string) {
	e := scheduledEvent{at: s.now + max(after, 1), run: run}
	i, _ := slices.BinarySearchFunc(s.events, e.at, func(o scheduledEvent, at int64) int {
		if o.at <= at {
			return -1
		}
		return 1
	})
	s.events = slices.Insert(s.events, i, e)
}

// millisText formats microseconds as milliseconds on the wire.
func millisText(micros int64) string {
	return strconv.FormatFloat(float64(micros)/1000, 'f', -1, 64)
}

// startMessages returns the messages that start the instance.
func (s *simulation) startMessages(seed uint64) string {
	text := fmt.Sprintf("power_on\t%d\t%s\n", seed, s.profile.settings())
	if !s.profile.subscriptionRequired {
		text += s.endpointList(wireListFull, s.workers)
	}
	return text
}

// endpointList returns a message with a full endpoint list or with changes, depending on kind.
func (s *simulation) endpointList(kind int, workers []*simulatedWorker) string {
	s.listVersion++
	text := fmt.Sprintf("view\t%d\t%d\t%d\n", kind, s.listVersion, len(workers))
	for _, worker := range workers {
		weight, started := wireAbsent, wireAbsent
		if s.profile.weights != "silent" {
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
func (s *simulation) round(now int64) string {
	var text strings.Builder
	elapsed := now - s.now
	s.now = now
	s.changeWorkers(elapsed)
	if len(s.changedWorkers) > 0 && (!s.profile.subscriptionRequired || s.subscribed) {
		text.WriteString(s.endpointList(wireListChanges, s.changedWorkers))
		s.changedWorkers = nil
	}
	for len(s.events) > 0 && s.events[0].at <= now {
		e := s.events[0]
		s.events = s.events[1:]
		text.WriteString(e.run())
	}
	if s.rateUntil < now {
		s.rateUntil = now + 500000 + s.rng.Int64N(2500000)
		s.ratePercent = []int64{10, 60, 100, 100, 250, 500}[s.rng.IntN(6)]
	}
	s.requestCredit += elapsed * int64(s.profile.requestsPerSecond) * s.ratePercent / 100
	for ; s.requestCredit >= creditPerRequest; s.requestCredit -= creditPerRequest {
		text.WriteString(s.newRequest(nil, wireNoFlags))
	}
	if s.chance(60) {
		text.WriteString(s.unexpectedEvent())
	}
	return text.String()
}

// changeWorkers starts and ends faults, and drains, removes and restarts workers. passed is the time since the last
// round.
func (s *simulation) changeWorkers(elapsed int64) {
	for _, worker := range s.workers {
		if worker.condition != conditionHealthy && s.now >= worker.conditionUntil {
			worker.condition = conditionHealthy
		}
		if worker.state != wireReady && worker.nextStateAt > 0 && s.now >= worker.nextStateAt {
			if worker.state == wireDraining && s.chance(500) { // fully drained
				worker.nextStateAt = s.now + 1000000
				worker.state = wireGone
			} else {
				worker.state, worker.nextStateAt, worker.startedMicros = wireReady, 0, s.now
				worker.loaded = map[string]bool{}
			}
			s.changedWorkers = append(s.changedWorkers, worker)
		}
	}
	if s.rng.Int64N(microsPerMinute) < elapsed*int64(s.profile.faultsPerMinute) {
		worker := s.workers[s.rng.IntN(len(s.workers))]
		worker.condition = 1 + s.rng.IntN(conditionCount-1)
		worker.conditionUntil = s.now + 400000 + s.rng.Int64N(4000000)
	}
	if s.rng.Int64N(microsPerMinute) < elapsed*int64(s.profile.restartsPerMinute) {
		worker := s.workers[s.rng.IntN(len(s.workers))]
		switch s.rng.IntN(4) {
		case 0: // drain; remove or restart later
			worker.state, worker.nextStateAt = wireDraining, s.now+300000+s.rng.Int64N(3000000)
		case 1: // remove; restart later
			worker.state, worker.nextStateAt = wireGone, s.now+300000+s.rng.Int64N(6000000)
		case 2: // restart; the endpoint list shows only a new start time
			worker.startedMicros, worker.loaded = s.now, map[string]bool{}
		default:
			worker.state, worker.nextStateAt = wireGone, 0 // replace by a new worker
			s.changedWorkers = append(s.changedWorkers, worker)
			s.workers = slices.DeleteFunc(s.workers, func(o *simulatedWorker) bool { return o == worker })
			worker = s.addWorker()
		}
		s.changedWorkers = append(s.changedWorkers, worker)
	}
}

// worker returns the worker with the given ID, or nil.
func (s *simulation) worker(id string) *simulatedWorker {
	i := slices.IndexFunc(s.workers, func(o *simulatedWorker) bool { return o.id == id })
	if i < 0 {
		return nil
	}
	return s.workers[i]
}
