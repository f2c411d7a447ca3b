package testbed

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"calicohill/internal/config/deployment"
	"calicohill/internal/runtime/deadline"
	"calicohill/routing"
)

// VirtualDay is schedulers before workers in virtual time: the Routers, and nothing else of a scheduler.
type VirtualDay struct {
	Schedulers, Workers int
	Body                string  // of the workers, by name
	Cold                bool    // they start with the day, empty and cold
	Killed              float64 // share of the schedulers that know nothing again at half time
	Reborn              float64 // share of the workers that start anew then, empty and cold
	Rate, Skew          float64 // as a Load's
	Seconds             int
	Seed                uint64
}

// VirtualCourse is what a VirtualDay gave.
type VirtualCourse struct {
	Schedulers   int       `json:"schedulers"`
	Workers      int       `json:"workers"`
	Served       float64   `json:"served_share"`
	BySecond     []float64 `json:"served_share_by_second"`
	Refused      int       `json:"refused"`
	Handshakes   float64   `json:"handshakes_per_scheduler"`
	ConnectsPeak int       `json:"agent_connects_peak_100ms"` // at the worker that saw the most
	Loads        int       `json:"loads"`
	Pushed       int       `json:"workers_pushed_over"`
}

// shoal is a VirtualDay that is played.
type shoal struct {
	now      time.Duration
	deadline deadline.Queue
	workers  map[string]*vessel
	body     Body
	course   *VirtualCourse
	began    time.Duration
	asked    []int
	served   []int
}

// vessel is a worker in virtual time.
type vessel struct {
	born     time.Duration // 0 of one that is warm
	fell     bool
	loaded   map[string]time.Duration   // when a function stands
	lanes    []time.Duration            // when each is free
	held     map[string][]time.Duration // when requests for a function will be done
	got      []time.Duration
	used     map[int]time.Duration // the connection of a scheduler, when last
	connects []time.Duration
}

// swimmer is a scheduler in virtual time.
type swimmer struct {
	*shoal
	n      int
	router *routing.Router
	life   int
	open   map[string]*errand
}

// errand is a request that is not answered yet.
type errand struct {
	function string
	at       time.Duration
	attempts []bool // that are out
}

// rests is how long a scheduler keeps a connection that nothing goes over, with the settings of the laboratory.
const rests = 12750 * time.Millisecond

// Play plays the day.
func (d VirtualDay) Play() (VirtualCourse, error) {
	c := VirtualCourse{Schedulers: d.Schedulers, Workers: d.Workers}
	f := &shoal{
		now: time.Hour, began: time.Hour, workers: map[string]*vessel{}, body: Bodies[d.Body], course: &c,
		asked: make([]int, d.Seconds+1), served: make([]int, d.Seconds+1),
	}
	list := routing.WorkerList{Kind: routing.ListFull}
	for i := range d.Workers {
		w := &vessel{loaded: map[string]time.Duration{}, held: map[string][]time.Duration{}, lanes: make([]time.Duration, f.body.Lanes), used: map[int]time.Duration{}}
		if d.Cold {
			w.born = f.now
		}
		id := fmt.Sprintf("w%03d", i)
		f.workers[id] = w
		list.Workers = append(list.Workers, routing.Worker{ID: id, State: routing.Ready, Weight: 1, Started: w.born})
	}
	site, err := deployment.Parse(fmt.Appendf(nil, platform, d.Schedulers, 0))
	if err != nil {
		return c, err
	}
	total := 0.0
	load := Load{Skew: d.Skew}
	for i := range d.Schedulers {
		total += load.part(i)
	}
	var all []*swimmer
	for i := range d.Schedulers {
		s := &swimmer{shoal: f, n: i}
		all = append(all, s)
		start := func() {
			router, failed := routing.New(site.Settings, d.Seed<<20+uint64(i)<<1+uint64(s.life))
			s.life++
			s.router, s.open, err = router, map[string]*errand{}, failed
			s.step(list)
		}
		if start(); err != nil {
			return c, err
		}
		if float64(i) < d.Killed*float64(d.Schedulers) {
			f.after(time.Duration(d.Seconds)*time.Second/2, start)
		}
		s.ask(rand.New(rand.NewPCG(d.Seed, uint64(i))), d.Rate*load.part(i)/total, uint64(3*d.Workers/2))
	}
	f.after(time.Duration(d.Seconds)*time.Second/2, func() {
		for i := range list.Workers[:int(d.Reborn*float64(d.Workers))] {
			w := &list.Workers[i]
			old := f.workers[w.ID]
			w.Started = f.now
			f.workers[w.ID] = &vessel{
				born: f.now, loaded: map[string]time.Duration{}, held: map[string][]time.Duration{},
				lanes: make([]time.Duration, f.body.Lanes), used: map[int]time.Duration{}, connects: old.connects,
			}
		}
		for _, s := range all {
			s.step(list)
		}
	})
	for end := f.began + time.Duration(d.Seconds)*time.Second; ; {
		at, ok := f.deadline.Next()
		if !ok || at > end {
			break
		}
		f.now = at
		f.deadline.PopDue(at).Fire()
	}
	asked, served := 0, 0
	for i := range d.Seconds {
		asked, served = asked+f.asked[i], served+f.served[i]
		c.BySecond = append(c.BySecond, float64(f.served[i])/max(float64(f.asked[i]), 1))
	}
	c.Served = float64(served) / max(float64(asked), 1)
	shakes := 0
	for _, w := range f.workers {
		shakes += len(w.connects)
		c.ConnectsPeak = max(c.ConnectsPeak, Peak(w.connects, 0))
		if w.fell {
			c.Pushed++
		}
	}
	c.Handshakes = float64(shakes) / float64(d.Schedulers)
	return c, nil
}

func (f *shoal) after(d time.Duration, do func()) { f.deadline.Set(&deadline.Timer{Fire: do}, f.now+d) }

func (f *shoal) second(at time.Duration) int {
	return min(int((at-f.began)/time.Second), len(f.asked)-1)
}

// ask has clients ask a scheduler for as long as the day lasts.
func (s *swimmer) ask(rng *rand.Rand, rate float64, functions uint64) {
	zipf, n := rand.NewZipf(rng, 1.3, 4, functions-1), 0
	var next func()
	next = func() {
		n++
		class, function := pickClass(rng.Float64()), fmt.Sprintf("%016x", zipf.Uint64()+1)
		id := fmt.Sprintf("%d-%d", s.n, n)
		s.open[id] = &errand{function: function, at: s.now}
		s.asked[s.second(s.now)]++
		s.step(routing.Request{ID: id, Class: class, Function: function, TimeLeft: 2 * time.Second, Concurrency: 4})
		s.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), next)
}

func (s *swimmer) step(events ...routing.Event) {
	life := s.life
	later := func(d time.Duration, do func()) {
		s.after(d, func() {
			if s.life == life {
				do()
			}
		})
	}
	for _, a := range s.router.Step(s.now, events) {
		switch a := a.(type) {
		case routing.SetTimer:
			wait := a.After
			if len(s.open) == 0 { // there is nothing that it could find
				wait *= 10
			}
			later(wait, func() { s.step(routing.TimerFired{Token: a.Token}) })
		case routing.Reject:
			s.course.Refused++
			delete(s.open, a.ID)
		case routing.Fail:
			delete(s.open, a.ID)
		case routing.Cancel:
			later(0, func() { s.ended(a.ID, a.Attempt, routing.AttemptEnded{Outcome: routing.Canceled}) })
		case routing.Send:
			q := s.open[a.ID]
			n := len(q.attempts)
			q.attempts = append(q.attempts, true)
			w := s.workers[a.Worker]
			took, company, ok := w.take(s, q.function)
			e := routing.AttemptEnded{Worker: a.Worker, Outcome: routing.Served, RequestAnswered: true, Latency: took, InFlightForFunction: company}
			switch {
			case !ok:
				e.Outcome, e.RequestAnswered, took = routing.ConnectFailed, false, 2*trip
			case took > a.Timeout:
				took, e.Outcome, e.RequestAnswered = a.Timeout, routing.TimedOut, false
			}
			later(took, func() {
				if e.Outcome == routing.Served {
					e.Report = w.report(s.now)
				}
				s.ended(a.ID, n, e)
			})
		}
	}
}

func (s *swimmer) ended(id string, n int, e routing.AttemptEnded) {
	q := s.open[id]
	if q == nil || !q.attempts[n] {
		return
	}
	q.attempts[n] = false
	if e.RequestAnswered {
		s.served[s.second(q.at)]++
		delete(s.open, id)
	}
	e.ID, e.Attempt = id, n
	s.step(e)
}

// report is a worker's load report: the share of its lanes that run something.
func (w *vessel) report(now time.Duration) *routing.LoadReport {
	busy := 0.0
	for _, free := range w.lanes {
		if free > now {
			busy++
		}
	}
	return &routing.LoadReport{Utilization: busy / float64(len(w.lanes)), InFlight: -1, QueueLength: -1, MemoryHeldFraction: -1, LoadsInProgress: -1}
}

// take has a worker run a function for a scheduler, and tells how long the answer takes and how many requests for it
// were there before; false if the worker has fallen.
func (w *vessel) take(s *swimmer, function string) (took time.Duration, company int, ok bool) {
	now := s.now
	if last, ok := w.used[s.n]; !ok || now-last > rests {
		w.connects = append(w.connects, now)
	}
	w.used[s.n] = now
	age := coldFor
	if w.born > 0 {
		age = now - w.born
	}
	w.got = append(w.got, now)
	for now-w.got[0] > tipFor {
		w.got = w.got[1:]
	}
	w.fell = w.fell || float64(len(w.got)) > s.body.bears(age)
	stands, ok := w.loaded[function]
	if !ok {
		s.course.Loads++
		stands = now + s.body.Load
		w.loaded[function] = stands
	}
	lane := 0
	for i, free := range w.lanes {
		if free < w.lanes[lane] {
			lane = i
		}
	}
	w.lanes[lane] = max(now, stands, w.lanes[lane]) + time.Duration(float64(s.body.Work)/ripe(age))
	done := w.lanes[lane]
	w.held[function] = slices.DeleteFunc(w.held[function], func(at time.Duration) bool { return at <= now })
	company = len(w.held[function])
	w.held[function] = append(w.held[function], done)
	return done - now + 2*trip, company, !w.fell
}

// PlayWorkers plays starts of fleets in virtual time: workers that are warm, and that are cold, with schedulers that
// know nothing, and with seven in ten of them killed at half time. Workers grow in number with the load.
func PlayWorkers(schedulers, workers int, seed uint64) (map[string]VirtualCourse, error) {
	days := map[string]VirtualDay{
		"warm": {}, "cold": {Cold: true}, "killed": {Killed: 0.7}, "cold, uneven": {Cold: true, Skew: 3},
		"reborn": {Reborn: 0.6},
	}
	all := map[string]VirtualCourse{}
	var failed error
	var mu sync.Mutex
	var wg sync.WaitGroup
	for name, d := range days {
		d.Schedulers, d.Workers, d.Body, d.Seconds, d.Seed = schedulers, workers, "small", 16, seed
		d.Rate = 8 * float64(workers) // a third of what they can do
		wg.Go(func() {
			c, err := d.Play()
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = errors.Join(failed, fmt.Errorf("%s: %w", name, err))
			}
			all[name] = c
		})
	}
	wg.Wait()
	return all, failed
}
