package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"calicohill/routing/demand"
)

// LearnedState is what a Router has learned, for the next process of the same scheduler. Times are as Step is given them,
// so the clock has to go on over the restart.
type LearnedState struct {
	CapturedAt          time.Duration     `cbor:"1,keyasint"`
	RequestWeight       float64           `cbor:"2,keyasint"` // decaying count of requests, as of CapturedAt
	ThroughputPerWeight float64           `cbor:"3,keyasint"` // of a warm worker, in answers a second per unit of weight
	MeanPressure        float64           `cbor:"4,keyasint"` // running mean of the pressure of the workers
	Functions           []LearnedFunction `cbor:"5,keyasint"` // the most requested first
	Workers             []LearnedWorker   `cbor:"6,keyasint"`
}

// LearnedFunction is what was learned of a function.
type LearnedFunction struct {
	Name              string            `cbor:"1,keyasint"`
	Class             int               `cbor:"2,keyasint"` // index in Settings.Classes
	Concurrency       int               `cbor:"3,keyasint"` // requests that an instance runs at a time
	RequestWeight     float64           `cbor:"4,keyasint"` // decaying count of its requests, as of CapturedAt
	ServiceTimeExcess float64           `cbor:"5,keyasint"` // of its service time over its objective, in seconds
	LoadTime          time.Duration     `cbor:"6,keyasint"` // usual time of a load; 0 if unknown
	Instances         []LearnedInstance `cbor:"7,keyasint"` // that were loaded
}

// LearnedInstance is a function's loaded instances at one worker.
type LearnedInstance struct {
	WorkerIndex int           `cbor:"1,keyasint"` // index in LearnedState.Workers
	LastWarm    time.Duration `cbor:"2,keyasint"` // when they were last found loaded
	Count       int           `cbor:"3,keyasint"`
}

// LearnedWorker is what was learned of a worker.
type LearnedWorker struct {
	ID             string        `cbor:"1,keyasint"`
	Started        time.Duration `cbor:"2,keyasint"` // a later start makes the entry void
	PressureExcess float64       `cbor:"3,keyasint"` // pressure above that of the others
	LatencyExcess  float64       `cbor:"4,keyasint"` // latency over that of all workers, less 1
}

const (
	maxLearnedFunctions = 2000
	maxLearnedWorkers   = 10000
	maxLearnedFigure    = 1e9 // no figure that was learned is larger
)

// LearnedState returns what was learned so far. The health of workers is not part of it: one that was unhealthy may have
// recovered after the restart, and one that is unhealthy will show.
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
	for _, fn := range r.placements.functions {
		state.Functions = append(state.Functions, r.learnedFunction(fn, index))
	}
	slices.SortFunc(state.Functions, func(a, b LearnedFunction) int {
		return cmp.Or(cmp.Compare(b.RequestWeight, a.RequestWeight), cmp.Compare(a.Name, b.Name))
	})
	state.Functions = state.Functions[:min(len(state.Functions), maxLearnedFunctions)]
	return state
}

// learnedFunction returns what was learned of a function; index gives the workers' places in LearnedState.Workers.
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

// plausible reports whether these figures can have been learned.
func plausible(figures ...float64) bool {
	return !slices.ContainsFunc(figures, func(x float64) bool { return math.IsNaN(x) || math.Abs(x) > maxLearnedFigure })
}

// plausible reports whether the figures for all workers and functions together can have been learned by now.
func (s *LearnedState) plausible(now time.Duration) bool {
	return s.CapturedAt <= now && s.RequestWeight >= 0 && s.ThroughputPerWeight >= 0 &&
		plausible(s.RequestWeight, s.ThroughputPerWeight, s.MeanPressure)
}

// plausible reports whether the figures for a function can have been learned, with this many classes.
func (f *LearnedFunction) plausible(classes int) bool {
	return f.Class >= 0 && f.Class < classes && f.Concurrency >= 1 && f.RequestWeight >= 0 &&
		plausible(f.RequestWeight, f.ServiceTimeExcess)
}

// restoreState takes up what an earlier process learned, faded by its age. What no longer fits is ignored, and so is all
// of it once something was learned here.
func (r *Router) restoreState(state LearnedState) {
	if len(r.placements.functions) > 0 || !state.plausible(r.now) {
		return
	}
	r.placements.restoreDemand(state.CapturedAt, state.RequestWeight)
	r.slowStart.RestoreThroughput(state.ThroughputPerWeight)
	r.pressure.RestoreMean(state.MeanPressure)
	workers := make([]*worker, len(state.Workers)) // nil where an entry no longer fits
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

// restoreFunction makes the record of a function from what was learned of it.
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
