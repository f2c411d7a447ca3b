package testbed

import (
	"slices"
	"time"

	"calicohill/internal/discovery/pollplan"
	"calicohill/internal/runtime/deadline"
)

// Asks is a fleet of schedulers before a list service, in virtual time: the cores that decide when to ask, and
// nothing else of a scheduler.
type Asks struct {
	Now      time.Duration
	Desk     Desk
	Nodes    []*Asker
	Dials    []time.Duration // of connections that came up
	Polls    []time.Duration // asks that reached the service
	deadline deadline.Queue
	look     deadline.Timer
}

// Asker is one scheduler.
type Asker struct {
	Knows int             // number of its last event
	Told  time.Duration   // when it had that
	Polls []time.Duration // asks that it sent
	core  *pollplan.Planner
	fleet *Asks
	wake  deadline.Timer
	conns map[int]*Inquiry // nil where nothing is asked
}

// trip is how long a message takes in virtual time.
const trip = time.Millisecond

// NewAsks is a fleet that begins at one o'clock, and has a grace to heed drains. With listed each has the first event.
func NewAsks(schedulers int, grace time.Duration, seed uint64, listed bool) *Asks {
	f := &Asks{Now: time.Hour, Desk: Desk{Mood: Well, Number: 1}}
	f.look.Fire = f.answer
	for i := range schedulers {
		n := &Asker{fleet: f, core: pollplan.New(schedulers, grace, seed<<20+uint64(i)), conns: map[int]*Inquiry{}}
		n.wake.Fire = func() { n.step() }
		f.Nodes = append(f.Nodes, n)
		if listed {
			n.Knows = 1
		}
		f.After(0, func() { n.step(pollplan.Started{HasEndpoints: listed}) })
	}
	return f
}

// After has something done at a later time.
func (f *Asks) After(d time.Duration, do func()) { f.deadline.Set(&deadline.Timer{Fire: do}, f.Now+d) }

// Run plays on.
func (f *Asks) Run(d time.Duration) {
	for end := f.Now + d; ; {
		at, ok := f.deadline.Next()
		if !ok || at > end {
			f.Now = end
			return
		}
		f.Now = max(f.Now, at)
		f.deadline.PopDue(f.Now).Fire()
	}
}

// Set gives the service a mood.
func (f *Asks) Set(m Mood) {
	f.Desk.Mood = m
	if m == Refuse {
		f.Break()
	}
	f.answer()
}

// Break breaks all connections.
func (f *Asks) Break() {
	f.Desk.all()
	for _, n := range f.Nodes {
		for c := range n.conns {
			delete(n.conns, c)
			f.After(trip, func() { n.step(pollplan.Failed{Conn: c}) })
		}
	}
}

// Tell has the service tell one event more.
func (f *Asks) Tell() {
	f.Desk.Number++
	f.answer()
}

func (f *Asks) answer() {
	due, next := f.Desk.Due(f.Now)
	for _, q := range due {
		q.Answer()
	}
	if next > 0 {
		f.deadline.Set(&f.look, next)
	}
}

// hear has a node get an answer, or what stands for it in the service's mood.
func (n *Asker) hear(conn, number int) {
	f := n.fleet
	mood := f.Desk.Mood
	f.After(trip, func() {
		if _, open := n.conns[conn]; !open {
			return
		}
		news := number > n.Knows
		switch {
		case mood == Busy:
			delete(n.conns, conn)
			n.step(pollplan.Failed{Conn: conn, RetryAfter: 2 * time.Second})
		case mood == Torn && news:
			delete(n.conns, conn)
			n.step(pollplan.Failed{Conn: conn})
		default:
			if news {
				n.Knows, n.Told = number, f.Now
			}
			n.step(pollplan.Answered{Conn: conn, HasUpdates: news})
		}
	})
}

func (n *Asker) step(events ...pollplan.Event) {
	f := n.fleet
	for _, a := range slices.Clone(n.core.Step(f.Now, events...)) {
		switch a := a.(type) {
		case pollplan.Dial:
			f.After(trip, func() {
				if f.Desk.Mood == Refuse {
					n.step(pollplan.Failed{Conn: a.Conn})
					return
				}
				f.Dials = append(f.Dials, f.Now)
				n.conns[a.Conn] = nil
				n.step(pollplan.Connected(a))
			})
		case pollplan.Poll:
			n.Polls = append(n.Polls, f.Now)
			q := &Inquiry{After: n.Knows, Till: f.Now + trip + a.Timeout, Answer: func() {
				n.conns[a.Conn] = nil
				n.hear(a.Conn, f.Desk.Number)
			}}
			n.conns[a.Conn] = q
			f.After(trip, func() {
				if n.conns[a.Conn] == q {
					f.Polls = append(f.Polls, f.Now)
					f.Desk.Take(q)
					f.answer()
				}
			})
		case pollplan.Close:
			if q := n.conns[a.Conn]; q != nil {
				f.Desk.Drop(q)
			}
			delete(n.conns, a.Conn)
		}
	}
	if at, ok := n.core.Next(); ok {
		f.deadline.Set(&n.wake, at)
	} else {
		f.deadline.Remove(&n.wake)
	}
}

// Peak is the most of these times within a tenth of a second from a time on.
func Peak(times []time.Duration, from time.Duration) (most int) {
	times = slices.Sorted(slices.Values(times))
	first := 0
	for i, t := range times {
		for t-times[first] >= 100*time.Millisecond {
			first++
		}
		if times[first] >= from {
			most = max(most, i-first+1)
		}
	}
	return most
}

// VirtualAsks is what a fleet of one size asks of a list service in virtual time.
type VirtualAsks struct {
	Schedulers int            `json:"schedulers"`
	Even       float64        `json:"polls_even_100ms"`
	Peaks      map[string]int `json:"polls_peak_100ms"` // by what happened
	Listed     float64        `json:"crowded_all_listed_ms"`
	Limit      float64        `json:"crowded_limit_ms"`
	Sent       int            `json:"crowded_polls_sent"`
	Needed     int            `json:"crowded_polls_needed"`
}

// PlayAsks plays the troubles of a list service with fleets of these sizes.
func PlayAsks(sizes []int, seed uint64) (list []VirtualAsks) {
	eight := func(m Mood) func(*Asks) {
		return func(f *Asks) { f.Set(m); f.Run(8 * time.Second); f.Set(Well) }
	}
	for _, n := range sizes {
		v := VirtualAsks{Schedulers: n, Even: float64(n) / 20, Peaks: map[string]int{}}
		start := NewAsks(n, time.Second, seed, true)
		start.Run(10 * time.Second)
		v.Peaks["start"] = Peak(start.Polls, 0)
		for name, do := range map[string]func(*Asks){
			"refused 8 s": eight(Refuse), "503 for 8 s": eight(Busy),
			"silent 8 s": eight(Silent), "broken": (*Asks).Break, "event": (*Asks).Tell,
		} {
			f := NewAsks(n, time.Second, seed, true)
			f.Run(10 * time.Second)
			at := f.Now
			do(f)
			f.Run(20 * time.Second)
			v.Peaks[name] = Peak(f.Polls, at)
		}
		v.Sent, v.Needed, v.Listed, v.Limit = crowd(n, seed)
		list = append(list, v)
	}
	return list
}

// crowd plays a start before a service that answers a tenth of what the fleet asks in its 2 s, and has news for all.
func crowd(n int, seed uint64) (sent, needed int, listed, limit float64) {
	f := NewAsks(n, time.Second, seed, true)
	f.Set(Crowded)
	f.Desk.Rate, f.Desk.Number = float64(n)/20, 2
	began := f.Now
	f.Run(40 * time.Second)
	for _, node := range f.Nodes {
		if node.Knows < 2 {
			return 0, 0, -1, 20000
		}
		for _, at := range node.Polls {
			if at < node.Told {
				sent++
			}
		}
		needed += 1 + int((node.Told-began)/(7*time.Second))
		listed = max(listed, float64((node.Told - began).Milliseconds()))
	}
	return sent, needed, listed, 20000
}
