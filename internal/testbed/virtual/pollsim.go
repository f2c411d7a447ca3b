package virtual

import (
	"slices"
	"time"

	"calicohill/internal/discovery/pollplan"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/testbed/standin"
)

// networkDelay is the latency of a message in virtual time.
const networkDelay = time.Millisecond

// overloadRetryAfter is the Retry-After of an overloaded list service.
const overloadRetryAfter = 2 * time.Second

// PollSimulation simulates schedulers that poll a list service in virtual time. A scheduler consists only of its poll
// planner.
type PollSimulation struct {
	Now        time.Duration
	Queue      standin.PollQueue
	Schedulers []*Poller
	Dials      []time.Duration // times at which connections were established
	Polls      []time.Duration // times at which polls reached the service

	timers      deadline.Queue
	answerTimer deadline.Timer
}

// Poller is one scheduler of a PollSimulation.
type Poller struct {
	LastEvent int             // number of the last event received
	UpdatedAt time.Duration   // time at which it received LastEvent
	Polls     []time.Duration // times at which it sent polls

	planner     *pollplan.Planner
	simulation  *PollSimulation
	timer       deadline.Timer
	connections map[int]*standin.PendingPoll // by the planner's connection number; nil if no poll is in flight
}

// NewPollSimulation returns a fleet that starts at the virtual time of one hour. drainGrace is the time within which
// schedulers must stop sending to draining workers. With listed set, schedulers start with the first event.
func NewPollSimulation(schedulers int, drainGrace time.Duration, seed uint64, listed bool) *PollSimulation {
	sim := &PollSimulation{Now: time.Hour, Queue: standin.PollQueue{Fault: standin.ListHealthy, LastEvent: 1}}
	sim.answerTimer.Fire = sim.answer
	for i := range schedulers {
		scheduler := &Poller{
			simulation:  sim,
			planner:     pollplan.New(schedulers, drainGrace, seed<<20+uint64(i)),
			connections: map[int]*standin.PendingPoll{},
		}
		scheduler.timer.Fire = func() { scheduler.step() }
		sim.Schedulers = append(sim.Schedulers, scheduler)
		if listed {
			scheduler.LastEvent = 1
		}
		sim.After(0, func() { scheduler.step(pollplan.Started{HasEndpoints: listed}) })
	}
	return sim
}

// After calls a function after a delay.
func (s *PollSimulation) After(delay time.Duration, call func()) {
	s.timers.Set(&deadline.Timer{Fire: call}, s.Now+delay)
}

// Run advances virtual time by a duration and fires the timers that are due.
func (s *PollSimulation) Run(duration time.Duration) {
	for end := s.Now + duration; ; {
		at, ok := s.timers.Next()
		if !ok || at > end {
			s.Now = end
			return
		}
		s.Now = max(s.Now, at)
		s.timers.PopDue(s.Now).Fire()
	}
}

// SetFault sets or clears the fault of the list service.
func (s *PollSimulation) SetFault(fault standin.ListFault) {
	s.Queue.Fault = fault
	if fault == standin.ListRefusing {
		s.BreakConnections()
	}
	s.answer()
}

// BreakConnections closes all connections to the list service.
func (s *PollSimulation) BreakConnections() {
	s.Queue.RemoveAll()
	for _, scheduler := range s.Schedulers {
		for conn := range scheduler.connections {
			delete(scheduler.connections, conn)
			s.After(networkDelay, func() { scheduler.step(pollplan.Failed{Conn: conn}) })
		}
	}
}

// Publish publishes the next event.
func (s *PollSimulation) Publish() {
	s.Queue.LastEvent++
	s.answer()
}

// answer answers the polls that are due.
func (s *PollSimulation) answer() {
	due, next := s.Queue.Due(s.Now)
	for _, poll := range due {
		poll.Answer()
	}
	if next > 0 {
		s.timers.Set(&s.answerTimer, next)
	}
}

// receive delivers a response with the events up to lastEvent, or a failure if the service has a fault.
func (p *Poller) receive(conn, lastEvent int) {
	fault := p.simulation.Queue.Fault
	p.simulation.After(networkDelay, func() {
		if _, open := p.connections[conn]; !open {
			return
		}
		hasUpdates := lastEvent > p.LastEvent
		switch {
		case fault == standin.ListOverloaded:
			delete(p.connections, conn)
			p.step(pollplan.Failed{Conn: conn, RetryAfter: overloadRetryAfter})
		case fault == standin.ListTruncating && hasUpdates:
			delete(p.connections, conn)
			p.step(pollplan.Failed{Conn: conn})
		default:
			if hasUpdates {
				p.LastEvent = lastEvent
				p.UpdatedAt = p.simulation.Now
			}
			p.step(pollplan.Answered{Conn: conn, HasUpdates: hasUpdates})
		}
	})
}

// step passes events to the planner, executes its actions and sets the timer for its next step.
func (p *Poller) step(events ...pollplan.Event) {
	sim := p.simulation
	for _, action := range slices.Clone(p.planner.Step(sim.Now, events...)) {
		switch action := action.(type) {
		case pollplan.Dial:
			sim.After(networkDelay, func() { p.connect(action) })
		case pollplan.Poll:
			p.poll(action)
		case pollplan.Close:
			if poll := p.connections[action.Conn]; poll != nil {
				sim.Queue.Remove(poll)
			}
			delete(p.connections, action.Conn)
		}
	}
	if at, ok := p.planner.Next(); ok {
		sim.timers.Set(&p.timer, at)
	} else {
		sim.timers.Remove(&p.timer)
	}
}

// connect establishes a connection, or fails it if the service refuses connections.
func (p *Poller) connect(dial pollplan.Dial) {
	sim := p.simulation
	if sim.Queue.Fault == standin.ListRefusing {
		p.step(pollplan.Failed{Conn: dial.Conn})
		return
	}
	sim.Dials = append(sim.Dials, sim.Now)
	p.connections[dial.Conn] = nil
	p.step(pollplan.Connected(dial))
}

// poll sends a poll.
func (p *Poller) poll(action pollplan.Poll) {
	sim := p.simulation
	p.Polls = append(p.Polls, sim.Now)
	poll := &standin.PendingPoll{
		After:    p.LastEvent,
		Deadline: sim.Now + networkDelay + action.Timeout,
		Answer: func() {
			p.connections[action.Conn] = nil
			p.receive(action.Conn, sim.Queue.LastEvent)
		},
	}
	p.connections[action.Conn] = poll
	sim.After(networkDelay, func() {
		if p.connections[action.Conn] == poll {
			sim.Polls = append(sim.Polls, sim.Now)
			sim.Queue.Add(poll)
			sim.answer()
		}
	})
}
