package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"calicohill/internal/stats/decay"
)

// LearnedState is what a Router has learned, for the next process of the same scheduler. Times are as Step is given them, so
// that they have to go on over the restart.
type LearnedState struct {
	CapturedAt          time.Duration     `cbor:"1,keyasint"`
	RequestWeight       float64           `cbor:"2,keyasint"` // of all functions, as they count at that time
	ThroughputPerWeight float64           `cbor:"3,keyasint"` // answers a second of a warm worker of size 1
	MeanPressure        float64           `cbor:"4,keyasint"` // mean of what presses the workers
	Functions           []LearnedFunction `cbor:"5,keyasint"` // the most called first
	Workers             []LearnedWorker   `cbor:"6,keyasint"`
}

// LearnedFunction is what was learned of a function.
type LearnedFunction struct {
	Name              string            `cbor:"1,keyasint"`
	Class             int               `cbor:"2,keyasint"`
	Concurrency       int               `cbor:"3,keyasint"`
	RequestWeight     float64           `cbor:"4,keyasint"`
	ServiceTimeExcess float64           `cbor:"5,keyasint"` // excess of its service time over the aim, in seconds
	LoadTime          time.Duration     `cbor:"6,keyasint"`
	Instances         []LearnedInstance `cbor:"7,keyasint"` // that stood
}

// LearnedInstance is a copy of a function that stood.
type LearnedInstance struct {
	WorkerIndex int           `cbor:"1,keyasint"` // place in LearnedState.Workers
	LastWarm    time.Duration `cbor:"2,keyasint"` // when it was last found
	Count       int           `cbor:"3,keyasint"`
}

// LearnedWorker is what was learned of a worker.
type LearnedWorker struct {
	ID             string        `cbor:"1,keyasint"`
	Started        time.Duration `cbor:"2,keyasint"` // a later start makes it void
	PressureExcess float64       `cbor:"3,keyasint"` // above what others are pressed
	LatencyExcess  float64       `cbor:"4,keyasint"` // excess of its latencies, as a share
}

// memoryMost is how many functions are remembered, memoryWorkers how many workers.
const maxLearnedFunctions, maxLearnedWorkers = 2000, 10000

// LearnedState returns what was learned so far. Health is not: a worker that was ill may be well after the restart, and one
// that is ill shows.
func (r *Router) LearnedState() LearnedState {
	m := LearnedState{CapturedAt: r.now, RequestWeight: r.requestWeight * r.decayFactor(r.lastRequestAt), ThroughputPerWeight: float64(r.throughputPerWeight), MeanPressure: r.meanPressure}
	place := map[*worker]int{}
	for _, w := range r.workerList[:min(len(r.workerList), maxLearnedWorkers)] {
		place[w] = len(m.Workers)
		m.Workers = append(m.Workers, LearnedWorker{w.ID, w.Started, w.pressureExcess.At(r.now, r.settings.InstanceKeepAlive), r.latencyRatio(w) - 1})
	}
	for name, f := range r.functions {
		k := LearnedFunction{
			Name: name, Class: f.class, Concurrency: f.concurrency, RequestWeight: f.requestWeight * r.decayFactor(f.lastRequestAt),
			ServiceTimeExcess: f.serviceTimeExcess.At(r.now, r.settings.InstanceKeepAlive), LoadTime: f.declaredLoadTime,
		}
		for _, p := range f.placements {
			if i, ok := place[p.worker]; ok && r.isWarm(p) {
				k.Instances = append(k.Instances, LearnedInstance{i, p.warmAt, p.instances})
			}
		}
		m.Functions = append(m.Functions, k)
	}
	slices.SortFunc(m.Functions, func(a, b LearnedFunction) int {
		return cmp.Or(cmp.Compare(b.RequestWeight, a.RequestWeight), cmp.Compare(a.Name, b.Name))
	})
	m.Functions = m.Functions[:min(len(m.Functions), maxLearnedFunctions)]
	return m
}

// sound reports whether a figure can have been learned.
func plausible(figures ...float64) bool {
	return !slices.ContainsFunc(figures, func(x float64) bool { return math.IsNaN(x) || math.Abs(x) > 1e9 })
}

// recall takes up what an earlier process learned, faded by its age. What no longer fits is passed over, and so is all
// of it once something was learned here.
func (r *Router) restoreState(m LearnedState) {
	if len(r.functions) > 0 || m.CapturedAt > r.now || !plausible(m.RequestWeight, m.ThroughputPerWeight, m.MeanPressure) || m.ThroughputPerWeight < 0 || m.RequestWeight < 0 {
		return
	}
	r.requestWeight, r.lastRequestAt = m.RequestWeight, m.CapturedAt
	r.throughputPerWeight, r.meanPressure = decay.Mean(m.ThroughputPerWeight), m.MeanPressure
	workers := make([]*worker, len(m.Workers))
	for i, k := range m.Workers {
		w := r.workers[k.ID]
		if w != nil && w.Started == k.Started && plausible(k.PressureExcess, k.LatencyExcess) {
			workers[i] = w
			w.pressureExcess.Set(m.CapturedAt, k.PressureExcess)
			w.latencyExcess.Set(m.CapturedAt, k.LatencyExcess)
		}
	}
	for _, k := range m.Functions[:min(len(m.Functions), maxLearnedFunctions)] {
		if k.Class < 0 || k.Class >= len(r.settings.Classes) || k.Concurrency < 1 || k.RequestWeight < 0 || !plausible(k.RequestWeight, k.ServiceTimeExcess) {
			continue
		}
		f := &function{name: k.Name, class: k.Class, concurrency: k.Concurrency, declaredLoadTime: max(k.LoadTime, 0), requestWeight: k.RequestWeight, lastRequestAt: m.CapturedAt}
		f.serviceTimeExcess.Set(m.CapturedAt, k.ServiceTimeExcess)
		r.functions[k.Name] = f
		for _, c := range k.Instances {
			if c.WorkerIndex >= 0 && c.WorkerIndex < len(workers) && workers[c.WorkerIndex] != nil && c.LastWarm <= m.CapturedAt {
				p := f.placementAt(workers[c.WorkerIndex])
				p.warm, p.incarnation, p.warmAt, p.instances = true, p.worker.incarnation, c.LastWarm, max(c.Count, 1)
			}
		}
	}
}
