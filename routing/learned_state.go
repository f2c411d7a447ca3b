package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"calicohill/routing/demand"
)

// LearnedState is the state that a Router has learned, for the next process of the same scheduler. Its times are on the
// clock of Step, which must continue across the restart.
type LearnedState struct {
	CapturedAt          time.Duration     `cbor:"1,keyasint"`
	RequestWeight       float64           `cbor:"2,keyasint"` // decaying count of requests, as of CapturedAt
	ThroughputPerWeight float64           `cbor:"3,keyasint"` // of a warm worker, in answers/s per unit of weight
	MeanPressure        float64           `cbor:"4,keyasint"` // running mean of the workers' pressure
	Functions           []LearnedFunction `cbor:"5,keyasint"` // by descending RequestWeight
	Workers             []LearnedWorker   `cbor:"6,keyasint"`
}

// LearnedFunction is the learned state of a function.
type LearnedFunction struct {
	Name              string            `cbor:"1,keyasint"`
	Class             int               `cbor:"2,keyasint"` // index in Settings.Classes
	Concurrency       int               `cbor:"3,keyasint"` // requests that one instance runs in parallel
	RequestWeight     float64           `cbor:"4,keyasint"` // decaying count of its requests, as of CapturedAt
	ServiceTimeExcess float64           `cbor:"5,keyasint"` // service time above its latency objective, in seconds
	LoadTime          time.Duration     `cbor:"6,keyasint"` // typical load time; 0 if unknown
	Instances         []LearnedInstance `cbor:"7,keyasint"` // loaded instances by worker
}

// LearnedInstance is a function's loaded instances at one worker.
type LearnedInstance struct {
	WorkerIndex int           `cbor:"1,keyasint"` // index in LearnedState.Workers
	LastWarm    time.Duration `cbor:"2,keyasint"` // when they were last known to be loaded
	Count       int           `cbor:"3,keyasint"`
}

// LearnedWorker is the learned state of a worker.
type LearnedWorker struct {
	ID             string        `cbor:"1,keyasint"`
	Started        time.Duration `cbor:"2,keyasint"` // a different start invalidates the entry
	PressureExcess float64       `cbor:"3,keyasint"` // pressure above the mean of all workers
	LatencyExcess  float64       `cbor:"4,keyasint"` // latency relative to that of all workers, minus 1
}

const (
	maxLearnedFunctions = 2000
	maxLearnedWorkers   = 10000
	maxLearnedValue     = 1e9 // larger learned values are implausible
)

// LearnedState returns the state learned so far. It excludes the health of workers: an unhealthy worker may have
// recovered by the time of the restart, and one that has not is detected again.
func (r *Router) LearnedState() LearnedState {
	state := LearnedState{
		CapturedAt:          r.now,
		RequestWeight:       r.placements.totalRequests(r.now),
		ThroughputPerWeight: r.slowStart.ThroughputPerWeight(),
		MeanPressure:        r.pressure.Mean(),
	}
	index := map[*worker]int{}
	for _, w := range r.endpoints.list[:min(len(r.endpoints.list), maxLearnedWorkers)] {
		index[w] = len(state.Workers)
		state.Workers = append(state.Workers, LearnedWorker{
			ID:             w.ID,
			Started:        w.Started,
			PressureExcess: r.pressure.Excess(&w.pressure, r.now),
			LatencyExcess:  r.latency.Ratio(&w.latency, r.now) - 1,
		})
	}
	// Functions that no worker has served are left out: a flood of requests for new functions must not displace the others.
	for _, fn := range r.placements.functions {
		if fn.retained.Rank() > rankUnserved {
			state.Functions = append(state.Functions, r.learnedFunction(fn, index))
		}
	}
	slices.SortFunc(state.Functions, func(a, b LearnedFunction) int {
		return cmp.Or(cmp.Compare(b.RequestWeight, a.RequestWeight), cmp.Compare(a.Name, b.Name))
	})
	state.Functions = state.Functions[:min(len(state.Functions), maxLearnedFunctions)]
	return state
}

// learnedFunction returns the learned state of a function. index maps workers to their position in Workers.
func (r *Router) learnedFunction(fn *function, index map[*worker]int) LearnedFunction {
	learned := LearnedFunction{
		Name:              fn.name,
		Class:             fn.class,
		Concurrency:       fn.concurrency,
		RequestWeight:     r.placements.requestsFor(r.now, fn),
		ServiceTimeExcess: r.latency.Excess(&fn.latency, r.now),
		LoadTime:          fn.latency.DeclaredLoadTime(),
	}
	for _, p := range fn.placements {
		if i, ok := index[p.worker]; ok && r.placements.isWarm(r.now, p) {
			learned.Instances = append(learned.Instances, LearnedInstance{i, p.warmAt, p.instances})
		}
	}
	return learned
}

// plausible reports whether the values can be learned ones: they are numbers and not too large.
func plausible(values ...float64) bool {
	return !slices.ContainsFunc(values, func(x float64) bool { return math.IsNaN(x) || math.Abs(x) > maxLearnedValue })
}

// plausible reports whether the values that are not specific to a function or worker are valid.
func (s *LearnedState) plausible(now time.Duration) bool {
	return s.CapturedAt <= now && s.RequestWeight >= 0 && s.ThroughputPerWeight >= 0 &&
		plausible(s.RequestWeight, s.ThroughputPerWeight, s.MeanPressure)
}

// plausible reports whether the values of a function are valid in a deployment with this number of classes.
func (f *LearnedFunction) plausible(classes int) bool {
	return f.Class >= 0 && f.Class < classes && f.Concurrency >= 1 && f.RequestWeight >= 0 &&
		plausible(f.RequestWeight, f.ServiceTimeExcess)
}

// restoreState restores the learned state of an earlier process, decayed by its age. Entries that no longer match the
// endpoint list or the settings are ignored. The whole state is ignored if this Router has already seen a request.
func (r *Router) restoreState(state LearnedState) {
	if len(r.placements.functions) > 0 || !state.plausible(r.now) {
		return
	}
	r.placements.restoreDemand(state.CapturedAt, state.RequestWeight)
	r.slowStart.RestoreThroughput(state.ThroughputPerWeight)
	r.pressure.RestoreMean(state.MeanPressure)
	workers := make([]*worker, len(state.Workers)) // nil for an ignored entry
	for i, learned := range state.Workers {
		w := r.endpoints.byID[learned.ID]
		if w != nil && w.Started == learned.Started && plausible(learned.PressureExcess, learned.LatencyExcess) {
			workers[i] = w
			w.pressure.RestoreExcess(state.CapturedAt, learned.PressureExcess)
			w.latency.RestoreExcess(state.CapturedAt, learned.LatencyExcess)
		}
	}
	for _, learned := range state.Functions[:min(len(state.Functions), maxLearnedFunctions)] {
		if learned.plausible(len(r.settings.Classes)) {
			class := &r.settings.Classes[learned.Class]
			r.placements.restore(restoreFunction(learned, class, state.CapturedAt, workers))
		}
	}
}

// restoreFunction creates the record of a function from its learned state.
func restoreFunction(
	learned LearnedFunction, class *Class, capturedAt time.Duration, workers []*worker,
) *function {
	restored := &function{
		name:        learned.Name,
		class:       learned.Class,
		concurrency: learned.Concurrency,
		demand:      demand.NewCount(capturedAt, learned.RequestWeight),
	}
	restored.latency.Declare(class.LatencyObjective, learned.LoadTime)
	restored.latency.RestoreExcess(capturedAt, learned.ServiceTimeExcess)
	for _, instance := range learned.Instances {
		i := instance.WorkerIndex
		if i < 0 || i >= len(workers) || workers[i] == nil || instance.LastWarm > capturedAt {
			continue
		}
		restored.restorePlacement(workers[i], instance.LastWarm, instance.Count)
	}
	return restored
}
