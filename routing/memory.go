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
const memoryMost, memoryWorkers = 2000, 10000

// LearnedState returns what was learned so far. Health is not: a worker that was ill may be well after the restart, and one
// that is ill shows.
func (r *Router) LearnedState() LearnedState {
	m := LearnedState{CapturedAt: r.now, RequestWeight: r.allCalls * r.fade(r.lastCall), ThroughputPerWeight: float64(r.perWeight), MeanPressure: r.press}
	place := map[*worker]int{}
	for _, w := range r.list[:min(len(r.list), memoryWorkers)] {
		place[w] = len(m.Workers)
		m.Workers = append(m.Workers, LearnedWorker{w.ID, w.Started, w.press.At(r.now, r.set.InstanceKeepAlive), r.paceOf(w) - 1})
	}
	for name, f := range r.funcs {
		k := LearnedFunction{
			Name: name, Class: f.class, Concurrency: f.lanes, RequestWeight: f.calls * r.fade(f.lastCall),
			ServiceTimeExcess: f.mean.At(r.now, r.set.InstanceKeepAlive), LoadTime: f.told,
		}
		for _, p := range f.pairs {
			if i, ok := place[p.w]; ok && r.isWarm(p) {
				k.Instances = append(k.Instances, LearnedInstance{i, p.at, p.copies})
			}
		}
		m.Functions = append(m.Functions, k)
	}
	slices.SortFunc(m.Functions, func(a, b LearnedFunction) int {
		return cmp.Or(cmp.Compare(b.RequestWeight, a.RequestWeight), cmp.Compare(a.Name, b.Name))
	})
	m.Functions = m.Functions[:min(len(m.Functions), memoryMost)]
	return m
}

// sound reports whether a figure can have been learned.
func sound(figures ...float64) bool {
	return !slices.ContainsFunc(figures, func(x float64) bool { return math.IsNaN(x) || math.Abs(x) > 1e9 })
}

// recall takes up what an earlier process learned, faded by its age. What no longer fits is passed over, and so is all
// of it once something was learned here.
func (r *Router) recall(m LearnedState) {
	if len(r.funcs) > 0 || m.CapturedAt > r.now || !sound(m.RequestWeight, m.ThroughputPerWeight, m.MeanPressure) || m.ThroughputPerWeight < 0 || m.RequestWeight < 0 {
		return
	}
	r.allCalls, r.lastCall = m.RequestWeight, m.CapturedAt
	r.perWeight, r.press = decay.Mean(m.ThroughputPerWeight), m.MeanPressure
	workers := make([]*worker, len(m.Workers))
	for i, k := range m.Workers {
		w := r.workers[k.ID]
		if w != nil && w.Started == k.Started && sound(k.PressureExcess, k.LatencyExcess) {
			workers[i] = w
			w.press.Set(m.CapturedAt, k.PressureExcess)
			w.pace.Set(m.CapturedAt, k.LatencyExcess)
		}
	}
	for _, k := range m.Functions[:min(len(m.Functions), memoryMost)] {
		if k.Class < 0 || k.Class >= len(r.set.Classes) || k.Concurrency < 1 || k.RequestWeight < 0 || !sound(k.RequestWeight, k.ServiceTimeExcess) {
			continue
		}
		f := &function{name: k.Name, class: k.Class, lanes: k.Concurrency, told: max(k.LoadTime, 0), calls: k.RequestWeight, lastCall: m.CapturedAt}
		f.mean.Set(m.CapturedAt, k.ServiceTimeExcess)
		r.funcs[k.Name] = f
		for _, c := range k.Instances {
			if c.WorkerIndex >= 0 && c.WorkerIndex < len(workers) && workers[c.WorkerIndex] != nil && c.LastWarm <= m.CapturedAt {
				p := f.pair(workers[c.WorkerIndex])
				p.warm, p.life, p.at, p.copies = true, p.w.life, c.LastWarm, max(c.Count, 1)
			}
		}
	}
}
