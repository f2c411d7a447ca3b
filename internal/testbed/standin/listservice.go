package standin

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// settledAfter is how long after the list service's last fault an event counts as delivered to all.
const settledAfter = 2 * time.Second

// ListService is the stand-in list service on loopback. Each scheduler has a listener of its own to it, an address that
// no other scheduler is configured with, so that it is known which of them polls.
type ListService struct {
	host string // where it listens, with port 0

	mu          sync.Mutex
	queue       PollQueue
	startedAt   time.Time // before its start: times of the queue count from here
	answerTimer *time.Timer
	listeners   map[string]*schedulerListener // by scheduler
	events      []func(scheduler string) string
	publishedAt []time.Time // by event
	polls       []Poll
	acceptedAt  []time.Time
	lastFaultAt time.Time // when its fault last changed, or its connections were broken
	closed      bool
}

// schedulerListener is the address at which one scheduler polls.
type schedulerListener struct {
	scheduler   string
	addr        string
	listener    net.Listener // nil while the service refuses
	connections map[net.Conn]bool
}

// listServices counts the list services of this process. Each has a host of its own, from which nothing connects and where
// nobody else listens, so that a listener that was closed finds its port free when it opens again.
var listServices atomic.Uint32

// NewListService starts a list service without events.
func NewListService() *ListService {
	service := &ListService{
		host:        fmt.Sprintf("127.%d.%d.2:0", 1+os.Getpid()%250, 1+listServices.Add(1)%250),
		queue:       PollQueue{Fault: ListHealthy},
		startedAt:   time.Now().Add(-time.Hour),
		listeners:   map[string]*schedulerListener{},
		lastFaultAt: time.Now(),
	}
	service.answerTimer = time.AfterFunc(time.Hour, func() {
		service.mu.Lock()
		defer service.mu.Unlock()
		service.answer()
	})
	return service
}

// Address returns the address at which a scheduler polls.
func (s *ListService) Address(scheduler string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if own := s.listeners[scheduler]; own != nil {
		return own.addr, nil
	}
	own := &schedulerListener{scheduler: scheduler, addr: s.host, connections: map[net.Conn]bool{}}
	if err := s.listen(own); err != nil {
		return "", err
	}
	s.listeners[scheduler] = own
	return own.addr, nil
}

// listen opens a scheduler's listener, at the address that it had before if it had one.
func (s *ListService) listen(own *schedulerListener) error {
	listener, err := net.Listen("tcp", own.addr)
	if err != nil {
		return fmt.Errorf("list service: %w", err)
	}
	own.listener = listener
	own.addr = listener.Addr().String()
	go s.accept(own, listener)
	return nil
}

// accept accepts connections until the listener is closed.
func (s *ListService) accept(own *schedulerListener, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		own.connections[conn] = true
		s.acceptedAt = append(s.acceptedAt, time.Now())
		s.mu.Unlock()
		go s.serve(own, conn)
	}
}

// SetFault gives the service a fault, or none; AnswersPerSecond, if not 0, bounds it while ListRateLimited.
func (s *ListService) SetFault(fault ListFault, answersPerSecond float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFaultAt = time.Now()
	s.queue.Fault = fault
	if answersPerSecond > 0 {
		s.queue.AnswersPerSecond = answersPerSecond
	}
	for _, own := range s.listeners {
		switch {
		case fault == ListRefusing:
			own.refuse()
		case own.listener == nil:
			if err := s.listen(own); err != nil {
				return err
			}
		}
	}
	s.answer()
	return nil
}

// BreakConnections breaks all connections.
func (s *ListService) BreakConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFaultAt = time.Now()
	for _, own := range s.listeners {
		own.closeConnections()
	}
}

// refuse closes the listener and its connections, if they are open.
func (l *schedulerListener) refuse() {
	if l.listener != nil {
		l.listener.Close()
		l.listener = nil
		l.closeConnections()
	}
}

// closeConnections closes all connections.
func (l *schedulerListener) closeConnections() {
	for conn := range l.connections {
		conn.Close()
		delete(l.connections, conn)
	}
}

// Publish has the service publish one more event. event returns its JSON, by its number, as the scheduler receives it.
func (s *ListService) Publish(event func(number int, scheduler string) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := len(s.events) + 1
	s.events = append(s.events, func(scheduler string) string { return event(number, scheduler) })
	s.publishedAt = append(s.publishedAt, time.Now())
	s.queue.LastEvent = len(s.events)
	s.answer()
}

// Feed returns the first events as the body of a response to a scheduler; all events if first is negative.
func (s *ListService) Feed(scheduler string, first int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first < 0 {
		first = len(s.events)
	}
	return s.feedText(scheduler, 0, first)
}

// feedText returns the events after the number after, up to last, as the body of a response. The caller holds the lock.
func (s *ListService) feedText(scheduler string, after, last int) string {
	var items []string
	for _, event := range s.events[min(after, last):last] {
		items = append(items, event(scheduler))
	}
	return EndpointFeed(last, items)
}

// EffectiveAt returns when an event that was published at a time counts as delivered to all: at once if the service was
// healthy, settledAfter after the end of its fault if not; the zero time if the fault has not ended.
func (s *ListService) EffectiveAt(publishedAt time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Fault != ListHealthy {
		return time.Time{}
	}
	if publishedAt.Sub(s.lastFaultAt) < settledAfter {
		return s.lastFaultAt.Add(settledAfter)
	}
	return publishedAt
}

// AnswersPerSecond returns the last rate limit on responses; 0 if there never was one.
func (s *ListService) AnswersPerSecond() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.AnswersPerSecond
}

// Polls returns the polls so far.
func (s *ListService) Polls() []Poll {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Poll(nil), s.polls...)
}

// AcceptedAt returns when each connection was accepted.
func (s *ListService) AcceptedAt() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.acceptedAt...)
}

// PublishedAt returns when each event was published.
func (s *ListService) PublishedAt() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.publishedAt...)
}

// Close ends the service.
func (s *ListService) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.answerTimer.Stop()
	for _, own := range s.listeners {
		if own.listener != nil {
			own.listener.Close()
		}
		own.closeConnections()
	}
}
