package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
)

// A siteProfile varies the settings object and the conditions of one simulated instance.
type siteProfile struct {
	balancers, rank  int
	attempts         int
	cancel, probes   bool
	retryAfter       bool
	secondCopies     bool
	subscribed       bool // the worker list comes only to subscribers
	whenAbsent       string
	mayLoad          bool
	loadsAnyway      float64 // with loadRatio and loadWindowMs, the ration of loads
	loadRatio        float64
	loadWindowMs     int
	coldMs, tipMs    int
	coldShare        float64
	tipMultiple      float64
	idleLifeMs       int
	weights          string
	tenants          string
	lateWorth        float64
	workers          int
	functions        int
	callsPerSecond   int
	faultsPerMinute  int
	restartsPerMin   int
	stepMs           int  // mean time between two rounds
	startCold        bool // all workers have just started
	reportEverything bool
}

// settings returns the settings object as the simulator writes it.
func (p siteProfile) settings() string {
	discovery := "pushed"
	if p.subscribed {
		discovery = "on_request"
	}
	class := func(name, effect, scope string, aim, limit, span int, worth float64, stream bool) string {
		return fmt.Sprintf(`{"name":%q,"aimMs":%d,"hardLimitMs":%d,"worth":%g,"lateWorth":%g,"effect":%q,`+
			`"dedupScope":%q,"memorySpanMs":%d,"stream":%t}`, name, aim, limit, worth, p.lateWorth, effect, scope, span,
			stream)
	}
	classes := strings.Join([]string{
		class("lookup", "read_like", "all", 500, 2000, 0, 1, false),
		class("post", "non_idempotent", "all", 600, 2500, 0, 2, false),
		class("put-all", "idempotency_key", "all", 500, 2500, 2500, 3, false),
		class("put-zone", "idempotency_key", "zone", 400, 2000, 1200, 2, false),
		class("put-cell", "idempotency_key", "cell", 700, 3000, 900, 2, false),
		class("follow", "read_like", "all", 300, 4000, 0, 1, true),
	}, ",")
	return fmt.Sprintf(`{"balancers":%d,"rank":%d,"az":0,"tickMs":4,"ceilings":{"attemptsCap":%d,"openCap":900,`+
		`"cancel":%t,"probes":%t,"retryAfter":%t,"secondCopies":%t,"maxRetryAfterMs":500},"classes":[%s],`+
		`"tenants":[%s],"overShareWorth":0.1,"callers":{"marksRetry":true},"discovery":%q,"weights":%q,`+
		`"familyInfo":{"answerWithinMs":10000,"idleLifeMs":%d,"idlePrice":0.15,"loadRatio":%g,"loadWindowMs":%d,`+
		`"loadsAnyway":%g,"mayLoad":%t,"ramMbByKind":[4096,8192],"saysCompany":true,"saysWarm":true,"whenAbsent":%q},`+
		`"fees":{"crossZone":0.01,"lateFail":0.027,"origin":0.03,"probe":0.008,"waste":0.025},`+
		`"report":{"how":"piggyback"},"safety":{"answerSlackMs":16,"askWithinMs":10000,"coldMs":%d,"coldShare":%g,`+
		`"overloadForMs":%d,"stopSendingWithinMs":1000,"tipMultiple":%g}}`,
		p.balancers, p.rank, p.attempts, p.cancel, p.probes, p.retryAfter, p.secondCopies, classes, p.tenants,
		discovery, p.weights, p.idleLifeMs, p.loadRatio, p.loadWindowMs, p.loadsAnyway, p.mayLoad, p.whenAbsent,
		p.coldMs, p.coldShare, p.tipMs, p.tipMultiple)
}

// siteProfiles are the instances that the recording plays, in their order.
func siteProfiles() []siteProfile {
	base := siteProfile{
		balancers: 1, attempts: 4, cancel: true, probes: true, retryAfter: true, secondCopies: true,
		whenAbsent: "load", coldMs: 6000, tipMs: 2000, coldShare: 0.25, tipMultiple: 3, idleLifeMs: 9000,
		weights: "silent", lateWorth: 0.2, workers: 8, functions: 12, callsPerSecond: 60, faultsPerMinute: 20,
		restartsPerMin: 6, stepMs: 12, reportEverything: true,
	}
	vary := func(change func(p *siteProfile)) siteProfile {
		p := base
		change(&p)
		return p
	}
	return []siteProfile{
		base,
		vary(func(p *siteProfile) { p.secondCopies, p.callsPerSecond = false, 90 }),
		vary(func(p *siteProfile) {
			p.whenAbsent, p.mayLoad, p.loadsAnyway, p.loadRatio, p.loadWindowMs = "miss", true, 3, 0.05, 2000
		}),
		vary(func(p *siteProfile) { p.subscribed, p.cancel, p.secondCopies, p.workers = true, false, false, 5 }),
		vary(func(p *siteProfile) { p.balancers, p.rank, p.workers, p.weights = 300, 17, 20, "rough" }),
		vary(func(p *siteProfile) {
			p.tenants = `{"share":0.5,"quotaPerS":12},{"share":0.3,"quotaPerS":4},{"share":0.2,"quotaPerS":0.5}`
			p.callsPerSecond, p.balancers, p.workers = 120, 2, 4
		}),
		vary(func(p *siteProfile) { p.startCold, p.coldMs, p.restartsPerMin, p.balancers = true, 9000, 20, 4 }),
		vary(func(p *siteProfile) {
			p.whenAbsent, p.mayLoad, p.subscribed, p.weights, p.idleLifeMs = "miss", true, true, "exact", 1500
			p.loadWindowMs = 0
		}),
		vary(func(p *siteProfile) { p.faultsPerMinute, p.callsPerSecond, p.workers, p.lateWorth = 60, 100, 6, 1 }),
		vary(func(p *siteProfile) { p.idleLifeMs, p.functions, p.stepMs, p.balancers = 700, 40, 40, 12 }),
		vary(func(p *siteProfile) {
			p.tipMultiple, p.tipMs, p.startCold, p.attempts, p.retryAfter = 0, 0, true, 1, false
		}),
		vary(func(p *siteProfile) { p.workers, p.callsPerSecond, p.functions, p.faultsPerMinute = 2, 150, 3, 30 }),
		vary(func(p *siteProfile) {
			p.workers, p.functions, p.callsPerSecond, p.balancers, p.faultsPerMinute = 14, 4, 160, 40, 40
		}),
		vary(func(p *siteProfile) { p.attempts, p.secondCopies, p.stepMs, p.reportEverything = 2, false, 25, false }),
		vary(func(p *siteProfile) {
			p.balancers, p.rank, p.subscribed, p.startCold, p.tipMs, p.weights = 60, 3, true, true, 600, "rough"
		}),
		vary(func(p *siteProfile) { // pressed workers that many schedulers share
			p.balancers, p.rank, p.workers, p.callsPerSecond, p.functions, p.weights = 300, 299, 5, 200, 30, "rough"
		}),
	}
}

// Conditions that a simulated worker may be in.
const (
	conditionFine = iota
	conditionSilent
	conditionErrors
	conditionRefusesConnections
	conditionBreaksConnections
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

// call begins a request, or repeats one for its client.
func (w *simulatedWorld) call(function *simulatedFunction, flags int) string {
	if function == nil { // the first functions are called most
		function = w.functions[min(w.rng.IntN(len(w.functions)), w.rng.IntN(len(w.functions)))]
	}
	w.nextRequest++
	request := &simulatedRequest{id: fmt.Sprintf("t/%d", w.nextRequest), function: function}
	w.requests[request.id] = request
	if w.recentIDs = append(w.recentIDs, request.id); len(w.recentIDs) > 40 {
		w.recentIDs = w.recentIDs[1:]
	}
	tenant, work, load, memory, lanes := "-", "-", "-", "-", "-"
	if w.profile.tenants != "" {
		tenant = strconv.Itoa(w.rng.IntN(3))
	}
	if w.chance(300) {
		work = millisText(function.serviceMicros)
	}
	if function.tellsLoadTime {
		load = millisText(function.loadMicros)
	}
	if w.chance(900) {
		memory, lanes = strconv.Itoa(function.memory), strconv.Itoa(function.lanes)
	}
	left := 300000 + w.rng.Int64N(2500000)
	if w.chance(30) {
		left = 1000 + w.rng.Int64N(40000)
	}
	patience := left
	if w.chance(25) {
		patience = w.rng.Int64N(left)
	}
	w.schedule(patience, func() string {
		if request.final {
			return ""
		}
		request.final = true
		return "expired\t" + request.id + "\n"
	})
	return fmt.Sprintf("call\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\n", request.id, function.class, tenant, function.name, millisText(left), work,
		memory, lanes, load, flags)
}

// unexpectedEvent is an event that the instance has no use for, or does not expect.
func (w *simulatedWorld) unexpectedEvent() string {
	worker, id := w.workers[w.rng.IntN(len(w.workers))].id, "t/unknown"
	if len(w.recentIDs) > 0 && w.chance(500) {
		id = w.recentIDs[w.rng.IntN(len(w.recentIDs))]
	}
	outcome := wireOutcomes[w.rng.IntN(len(wireOutcomes))]
	switch w.rng.IntN(13) {
	case 0:
		return fmt.Sprintf("outcome\tt/unknown\t0\t-\t5\t%s\t0\t%s\t-\n", worker, outcome)
	case 1:
		return fmt.Sprintf("outcome\t%s\t0\t-\t5\t%s\t%d\t%s\t-\n", id, worker, 7+w.rng.IntN(3), outcome)
	case 2:
		return fmt.Sprintf("outcome\t%s\t0\t-\t5\t%s\t-1\t%s\t-\n", id, worker, outcome)
	case 3:
		return fmt.Sprintf("first\tt/unknown\t0\t%s\t5\n", worker)
	case 4:
		return "expired\tt/unknown\n"
	case 5:
		return fmt.Sprintf("reminder\t%d\n", 2+w.rng.Uint64()>>1)
	case 6:
		return fmt.Sprintf("sampled\t%s\t%s\t-\t%s\n", outcome, worker, w.report(nil))
	case 7:
		return fmt.Sprintf("sampled\t%s\tworker-unknown\t1.5\t-\n", outcome)
	case 8:
		return fmt.Sprintf("brought_up\t%s\t640\t1\tf-unknown\t%s\n", worker, outcome)
	case 9:
		f := w.functions[w.rng.IntN(len(w.functions))]
		return fmt.Sprintf("brought_up\t%s\t-\t%d\t%s\t%s\n", worker, w.rng.IntN(3), f.name, outcome)
	case 10:
		return []string{"datagram\t2\t6869\n", "datagram\t0\t-\n", "datagram\t-1\t00ff\n"}[w.rng.IntN(3)]
	case 11:
		class := []int{-1, 6, 99, 0}[w.rng.IntN(4)] // of these only the last exists, and its id may be known
		return fmt.Sprintf("call\t%s\t%d\t-\tf-odd\t200\t-\t-\t-\t-\t-\n", id, class)
	default:
		switch w.rng.IntN(4) {
		case 0:
			return w.list(3, nil)
		case 1:
			return w.list(2, w.workers[1:])
		case 2:
			return w.list(1, w.workers)
		default:
			gone := simulatedWorker{id: "worker-never-seen", weight: 1}
			return w.list(0, []*simulatedWorker{&gone})
		}
	}
}

// wireOutcomes are the outcomes by their names on the wire.
var wireOutcomes = []string{
	"delivered", "app_error", "shed", "expired", "dial_failed", "dropped", "revoked", "unused", "empty",
}

// apply carries out the action of one reply line.
func (w *simulatedWorld) apply(line string) error {
	part := strings.Split(line, "\t")
	switch part[0] {
	case "try":
		return w.try(part[1], part[2], part[3])
	case "recall":
		w.recall(part[1], part[2])
	case "say_no", "surrender":
		q := w.requests[part[1]]
		if q == nil {
			return nil // of a call that unexpectedEvent made up
		}
		q.final = true
		if part[0] == "say_no" && w.chance(300) {
			w.schedule(50000+w.rng.Int64N(400000), func() string { return w.call(q.function, 2) })
		}
	case "arm":
		after, err := strconv.ParseFloat(part[1], 64)
		if err != nil {
			return err
		}
		token, late := part[2], int64(0)
		if w.chance(10) {
			late = w.rng.Int64N(300000)
		}
		w.schedule(int64(after*1000)+late, func() string { return "reminder\t" + token + "\n" })
	case "ping":
		worker := part[1]
		w.schedule(1500, func() string { return "sampled\tdelivered\t" + worker + "\t1.5\t-\n" })
	case "pin_up":
		w.load(part[1], part[2])
	case "observe":
		on := part[1] == "1"
		w.schedule(2000+w.rng.Int64N(30000), func() string {
			if w.chance(300) {
				return w.list(3, nil)
			}
			w.subscribed, w.changed = on, nil
			return w.list(1, w.workers)
		})
	case "resolve":
		w.schedule(2000, func() string { return w.list(2, w.workers) })
	case "unmount", "give_in":
	default:
		return fmt.Errorf("reply %q is not known to the world", line)
	}
	return nil
}

func (w *simulatedWorld) worker(id string) *simulatedWorker {
	i := slices.IndexFunc(w.workers, func(o *simulatedWorker) bool { return o.id == id })
	if i < 0 {
		return nil
	}
	return w.workers[i]
}

// report is a load report of a worker, or of none in particular.
func (w *simulatedWorld) report(worker *simulatedWorker) string {
	if !w.profile.reportEverything && w.chance(500) {
		return "-"
	}
	inFlight := 1
	if worker != nil {
		inFlight = worker.inFlight
	}
	switch w.rng.IntN(5) {
	case 0:
		return "-"
	case 1:
		return fmt.Sprintf("inflight:%d", inFlight+w.rng.IntN(4))
	case 2:
		return fmt.Sprintf("util:0.%02d,x0:0.%d,x1:%d,other:3", min(99, 10*inFlight+w.rng.IntN(20)), w.rng.IntN(10),
			w.rng.IntN(3))
	case 3:
		return fmt.Sprintf("inflight:%d,queue:%d,util:0.%02d", inFlight, w.rng.IntN(3), w.rng.IntN(100))
	}
	return fmt.Sprintf("util:%d,queue:-", 1+w.rng.IntN(2))
}

// try plays an attempt at a worker.
func (w *simulatedWorld) try(id, timeoutText, workerID string) error {
	timeoutMillis, err := strconv.ParseFloat(timeoutText, 64)
	if err != nil {
		return err
	}
	request := w.requests[id]
	if request == nil { // of a call that unexpectedEvent made up
		request = &simulatedRequest{id: id, function: w.functions[0]}
		w.requests[id] = request
	}
	worker := w.worker(workerID)
	attempt, number, timeout := &simulatedAttempt{worker: worker}, len(request.attempts), int64(timeoutMillis*1000)
	request.attempts = append(request.attempts, attempt)
	if worker == nil || worker.state == 0 {
		w.scheduleEnd(request, attempt, number, 1000+w.rng.Int64N(5000), []string{"dial_failed", "unused"}[w.rng.IntN(2)], "-", timeout)
		return nil
	}
	function := request.function
	warmth, took := 1, function.serviceMicros/2+w.rng.Int64N(function.serviceMicros)
	took += took * int64(worker.inFlight) / 8
	outcome := "delivered"
	if !worker.loaded[function.name] {
		warmth = 2 + w.rng.IntN(2)
		if w.profile.whenAbsent == "miss" {
			outcome, took = "empty", 3000
		} else {
			took += function.loadMicros
		}
	}
	cold := worker.startedMicros > 0 && w.now-worker.startedMicros < int64(w.profile.coldMs)*1000
	if cold {
		took *= 2
	}
	switch worker.condition {
	case conditionSilent:
		outcome, took = "expired", timeout
	case conditionErrors:
		if w.chance(700) {
			outcome, took = "app_error", took/4
		}
	case conditionRefusesConnections:
		outcome, took = "dial_failed", 2000
	case conditionBreaksConnections:
		outcome, took = "dropped", took/2
	case conditionSlow:
		took *= 7
	case conditionSheds:
		if w.chance(700) {
			outcome, took = "shed", 2000
		}
	case conditionLosesAnswers:
		if w.chance(350) {
			outcome, took = "expired", timeout
		}
	case conditionLoadsFail:
		if warmth > 1 {
			warmth, outcome, took = 4, []string{"app_error", "empty"}[w.rng.IntN(2)], took/2
		}
	}
	switch {
	case worker.state == 2 && w.chance(300):
		outcome, took = "shed", 1500
	case worker.inFlight > 12 && w.chance(500):
		outcome, took = "shed", 2500
	case w.chance(12):
		outcome, took = wireOutcomes[w.rng.IntN(len(wireOutcomes))], 1000+w.rng.Int64N(50000)
	}
	if took >= timeout {
		outcome, took = "expired", timeout
	}
	if outcome == "delivered" && function.class == 5 && w.chance(900) {
		begins := took / 3
		w.schedule(begins, func() string {
			if attempt.ended {
				return ""
			}
			return fmt.Sprintf("first\t%s\t%d\t%s\t%s\n", request.id, number, worker.id, millisText(begins))
		})
	}
	info := "-"
	if w.chance(850) {
		if w.chance(200) {
			warmth = 0
		}
		info = strconv.Itoa(warmth + 8*worker.inFlight)
	}
	worker.inFlight++
	w.scheduleEnd(request, attempt, number, took, outcome, info, timeout)
	return nil
}

// scheduleEnd has an attempt end, unless it was called off before.
func (w *simulatedWorld) scheduleEnd(q *simulatedRequest, a *simulatedAttempt, n int, took int64, outcome, info string,
	timeout int64,
) {
	w.schedule(min(took, timeout), func() string {
		if a.ended {
			return ""
		}
		return w.end(q, a, n, millisText(took), outcome, info)
	})
}

// end tells how an attempt ended; it may be told twice.
func (w *simulatedWorld) end(request *simulatedRequest, attempt *simulatedAttempt, number int, latency, outcome, info string) string {
	attempt.ended = true
	id, report := "worker-lost", "-"
	if attempt.worker != nil {
		id = attempt.worker.id
		attempt.worker.inFlight = max(0, attempt.worker.inFlight-1)
		if outcome == "delivered" || outcome == "shed" || outcome == "app_error" {
			report = w.report(attempt.worker)
		}
		if outcome == "delivered" {
			attempt.worker.loaded[request.function.name] = true
			if w.chance(15) { // something else needed its room
				delete(attempt.worker.loaded, request.function.name)
			}
		}
	}
	if outcome == "delivered" || outcome == "app_error" && w.chance(200) {
		request.final = true
	}
	closed := 0
	if request.final {
		closed = 1
	}
	if w.chance(50) {
		latency = "-"
	}
	line := fmt.Sprintf("outcome\t%s\t%d\t%s\t%s\t%s\t%d\t%s\t%s\n", request.id, closed, info, latency, id, number, outcome, report)
	if w.chance(4) {
		line += line
	}
	return line
}

// recall calls an attempt off; now and then its answer comes first.
func (w *simulatedWorld) recall(id, attempt string) {
	q := w.requests[id]
	n, err := strconv.Atoi(attempt)
	if q == nil || err != nil || n >= len(q.attempts) || w.chance(50) {
		return
	}
	a := q.attempts[n]
	w.schedule(1000+w.rng.Int64N(4000), func() string {
		if a.ended {
			return ""
		}
		return w.end(q, a, n, "-", "revoked", "-")
	})
}

// load plays an order to load.
func (w *simulatedWorld) load(workerID, function string) {
	worker := w.worker(workerID)
	i := slices.IndexFunc(w.functions, func(f *simulatedFunction) bool { return f.name == function })
	outcome, copies, took := "delivered", 1+w.rng.IntN(2), int64(200000)
	if i >= 0 {
		took = w.functions[i].loadMicros
	}
	switch {
	case worker == nil || worker.state == 0:
		outcome, copies, took = "dial_failed", 0, 3000
	case worker.condition == conditionSilent:
		outcome, copies, took = "expired", 0, 10000000
	case w.chance(60):
		outcome, copies, took = "shed", 0, 4000
	case w.chance(40):
		copies = 0
	}
	w.schedule(took, func() string {
		if outcome == "delivered" && copies > 0 {
			worker.loaded[function] = true
		}
		copiesText := cmp.Or(strings.TrimPrefix(strconv.Itoa(copies), "0"), "-")
		return fmt.Sprintf("brought_up\t%s\t%s\t%s\t%s\t%s\n", workerID, millisText(took), copiesText, function, outcome)
	})
}
