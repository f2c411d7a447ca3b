package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"calicohill/internal/stats/decay"
)

// Memory is what a Router has learned, for the next process of the same scheduler. Times are as Step is given them, so
// that they have to go on over the restart.
type Memory struct {
	At        time.Duration    `cbor:"1,keyasint"`
	Calls     float64          `cbor:"2,keyasint"` // of all functions, as they count at that time
	PerWeight float64          `cbor:"3,keyasint"` // answers a second of a warm worker of size 1
	Press     float64          `cbor:"4,keyasint"` // mean of what presses the workers
	Functions []FunctionMemory `cbor:"5,keyasint"` // the most called first
	Workers   []WorkerMemory   `cbor:"6,keyasint"`
}

// FunctionMemory is what was learned of a function.
type FunctionMemory struct {
	Name   string        `cbor:"1,keyasint"`
	Class  int           `cbor:"2,keyasint"`
	Lanes  int           `cbor:"3,keyasint"`
	Calls  float64       `cbor:"4,keyasint"`
	Mean   float64       `cbor:"5,keyasint"` // excess of its service time over the aim, in seconds
	Told   time.Duration `cbor:"6,keyasint"`
	Copies []CopyMemory  `cbor:"7,keyasint"` // that stood
}

// CopyMemory is a copy of a function that stood.
type CopyMemory struct {
	Worker int           `cbor:"1,keyasint"` // place in Memory.Workers
	At     time.Duration `cbor:"2,keyasint"` // when it was last found
	Copies int           `cbor:"3,keyasint"`
}

// WorkerMemory is what was learned of a worker.
type WorkerMemory struct {
	ID      string        `cbor:"1,keyasint"`
	Started time.Duration `cbor:"2,keyasint"` // a later start makes it void
	Press   float64       `cbor:"3,keyasint"` // above what others are pressed
	Pace    float64       `cbor:"4,keyasint"` // excess of its latencies, as a share
}

// memoryMost is how many functions are remembered, memoryWorkers how many workers.
const memoryMost, memoryWorkers = 2000, 10000

// Memory returns what was learned so far. Health is not: a worker that was ill may be well after the restart, and one
// that is ill shows.
func (r *Router) Memory() Memory {
	m := Memory{At: r.now, Calls: r.allCalls * r.fade(r.lastCall), PerWeight: float64(r.perWeight), Press: r.press}
	place := map[*worker]int{}
	for _, w := range r.list[:min(len(r.list), memoryWorkers)] {
		place[w] = len(m.Workers)
		m.Workers = append(m.Workers, WorkerMemory{w.ID, w.Started, w.press.At(r.now, r.set.KeepAlive), r.paceOf(w) - 1})
	}
	for name, f := range r.funcs {
		k := FunctionMemory{
			Name: name, Class: f.class, Lanes: f.lanes, Calls: f.calls * r.fade(f.lastCall),
			Mean: f.mean.At(r.now, r.set.KeepAlive), Told: f.told,
		}
		for _, p := range f.pairs {
			if i, ok := place[p.w]; ok && r.isWarm(p) {
				k.Copies = append(k.Copies, CopyMemory{i, p.at, p.copies})
			}
		}
		m.Functions = append(m.Functions, k)
	}
	slices.SortFunc(m.Functions, func(a, b FunctionMemory) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Name, b.Name))
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
func (r *Router) recall(m Memory) {
	if len(r.funcs) > 0 || m.At > r.now || !sound(m.Calls, m.PerWeight, m.Press) || m.PerWeight < 0 || m.Calls < 0 {
		return
	}
	r.allCalls, r.lastCall = m.Calls, m.At
	r.perWeight, r.press = decay.Mean(m.PerWeight), m.Press
	workers := make([]*worker, len(m.Workers))
	for i, k := range m.Workers {
		w := r.workers[k.ID]
		if w != nil && w.Started == k.Started && sound(k.Press, k.Pace) {
			workers[i] = w
			w.press.Set(m.At, k.Press)
			w.pace.Set(m.At, k.Pace)
		}
	}
	for _, k := range m.Functions[:min(len(m.Functions), memoryMost)] {
		if k.Class < 0 || k.Class >= len(r.set.Classes) || k.Lanes < 1 || k.Calls < 0 || !sound(k.Calls, k.Mean) {
			continue
		}
		f := &function{name: k.Name, class: k.Class, lanes: k.Lanes, told: max(k.Told, 0), calls: k.Calls, lastCall: m.At}
		f.mean.Set(m.At, k.Mean)
		r.funcs[k.Name] = f
		for _, c := range k.Copies {
			if c.Worker >= 0 && c.Worker < len(workers) && workers[c.Worker] != nil && c.At <= m.At {
				p := f.pair(workers[c.Worker])
				p.warm, p.life, p.at, p.copies = true, p.w.life, c.At, max(c.Copies, 1)
			}
		}
	}
}
