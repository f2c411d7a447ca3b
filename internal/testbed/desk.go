package testbed

import (
	"maps"
	"slices"
	"time"
)

// Mood is how the stand-in list service behaves.
type Mood string

// The moods.
const (
	Well    Mood = "well"
	Refuse  Mood = "refuse"  // no connection comes up, and those there are break
	Silent  Mood = "silent"  // takes connections and asks, and answers none
	Busy    Mood = "busy"    // answers 503 and asks to be left alone for 2 s
	Torn    Mood = "torn"    // breaks off in the middle of each answer that brings something
	Crowded Mood = "crowded" // answers Desk.Rate asks a second, in the order in which they came
)

// Desk is the stand-in list service without clock and sockets: who asked, who waits, who is to be answered when.
// The laboratory uses it on loopback and in virtual time.
type Desk struct {
	Mood   Mood
	Rate   float64 // answers a second while Crowded
	Number int     // of the last event
	asks   int
	open   map[*Inquiry]bool
	free   time.Duration // when the next answer can go
}

// Inquiry is an ask that is not answered yet.
type Inquiry struct {
	After  int
	Till   time.Duration // how long it may wait for news
	Answer func()
	number int
}

// Take takes in an ask.
func (d *Desk) Take(q *Inquiry) {
	if d.open == nil {
		d.open = map[*Inquiry]bool{}
	}
	d.asks++
	q.number = d.asks
	d.open[q] = true
}

// Drop forgets an ask whose connection is gone.
func (d *Desk) Drop(q *Inquiry) { delete(d.open, q) }

// Due takes out who is to be answered by now, and tells when to look again; 0 if nothing is under way.
func (d *Desk) Due(now time.Duration) (answer []*Inquiry, next time.Duration) {
	if d.Mood == Silent {
		return nil, 0
	}
	var ready []*Inquiry
	for q := range d.open {
		if q.After < d.Number || q.Till <= now || d.Mood == Busy {
			ready = append(ready, q)
		} else if next == 0 || q.Till < next {
			next = q.Till
		}
	}
	slices.SortFunc(ready, func(a, b *Inquiry) int { return a.number - b.number })
	for i, q := range ready {
		if d.Mood == Crowded {
			if d.free > now {
				return ready[:i], d.free
			}
			d.free = now + time.Duration(float64(time.Second)/d.Rate)
		}
		delete(d.open, q)
	}
	return ready, next
}

// Open is how many asks are not answered.
func (d *Desk) Open() int { return len(d.open) }

// all takes out every ask.
func (d *Desk) all() []*Inquiry {
	qs := slices.Collect(maps.Keys(d.open))
	clear(d.open)
	return qs
}
