package standin

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// settleTime is the time after the last fault of the list service after which an event counts as delivered to all
// schedulers.
const settleTime = 2 * time.Second

// ListService is the stand-in list service on loopback. It has a separate listener for each scheduler, which identifies
// the scheduler that sends a poll.
type ListService struct {
	host string // listen address with port 0

	mu          sync.Mutex
	queue       PollQueue
	startedAt   time.Time // origin of the queue's times, an hour before the actual start
	answerTimer *time.Timer
	listeners   map[string]*schedulerListener // by scheduler
	events      []func(scheduler string) string
	publishedAt []time.Time // by event
	polls       []Poll
	acceptedAt  []time.Time
	lastFaultAt time.Time // last change of the fault, or last call of BreakConnections
	closed      bool
}

// schedulerListener is the listener for the polls of one scheduler.
type schedulerListener struct {
	scheduler   string
	addr        string
	listener    net.Listener // nil while the service refuses connections
	connections map[net.Conn]bool
}

// listServiceCount is the number of list services created by this process. Each uses its own loopback host, which no
// other listener uses and no client connects from. A closed listener therefore finds its port free when it listens
// again.
var listServiceCount atomic.Uint32

// NewListService starts a list service without events.
func NewListService() *ListService {
	service := &ListService{
		host:        fmt.Sprintf("127.%d.%d.2:0", 1+os.Getpid()%250, 1+listServiceCount.Add(1)%250),
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

// Address returns the address that a scheduler polls. It opens the listener on the first call.
func (s *ListService) Address(scheduler string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pollListener := s.listeners[scheduler]; pollListener != nil {
		return pollListener.addr, nil
	}
	pollListener := &schedulerListener{scheduler: scheduler, addr: s.host, connections: map[net.Conn]bool{}}
	if err := s.listen(pollListener); err != nil {
		return "", err
	}
	s.listeners[scheduler] = pollListener
	return pollListener.addr, nil
}

// listen opens a scheduler's listener. It reuses the address of an earlier listener.
func (s *ListService) listen(pollListener *schedulerListener) error {
	listener, err := net.Listen("tcp", pollListener.addr)
	if err != nil {
		return fmt.Errorf("list service: %w", err)
	}
	pollListener.listener = listener
	pollListener.addr = listener.Addr().String()
	go s.accept(pollListener, listener)
	return nil
}

// accept accepts connections until the listener is closed.
func (s *ListService) accept(pollListener *schedulerListener, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		pollListener.connections[conn] = true
		s.acceptedAt = append(s.acceptedAt, time.Now())
		s.mu.Unlock()
		go s.serve(pollListener, conn)
	}
}

// SetFault sets the service's fault. ListHealthy clears it. A nonzero answersPerSecond sets the rate for
// ListRateLimited.
func (s *ListService) SetFault(fault ListFault, answersPerSecond float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFaultAt = time.Now()
	s.queue.Fault = fault
	if answersPerSecond > 0 {
		s.queue.AnswersPerSecond = answersPerSecond
	}
	for _, pollListener := range s.listeners {
		switch {
		case fault == ListRefusing:
			pollListener.refuse()
		case pollListener.listener == nil:
			if err := s.listen(pollListener); err != nil {
				return err
			}
		}
	}
	s.answer()
	return nil
}

// BreakConnections closes all connections.
func (s *ListService) BreakConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFaultAt = time.Now()
	for _, pollListener := range s.listeners {
		pollListener.closeConnections()
	}
}

// refuse closes the listener and its connections, if open.
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

// Publish publishes an event. The event function returns the JSON that a scheduler receives, given the event's number.
func (s *ListService) Publish(event func(number int, scheduler string) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := len(s.events) + 1
	s.events = append(s.events, func(scheduler string) string { return event(number, scheduler) })
	s.publishedAt = append(s.publishedAt, time.Now())
	s.queue.LastEvent = len(s.events)
	s.answer()
}

// Feed returns the body of a response to a scheduler with the first events, or with all events if first is negative.
func (s *ListService) Feed(scheduler string, first int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first < 0 {
		first = len(s.events)
	}
	return s.feedBody(scheduler, 0, first)
}

// feedBody returns the body of a response with the events after the given number, up to last. The caller holds the
// lock.
func (s *ListService) feedBody(scheduler string, after, last int) string {
	var items []string
	for _, event := range s.events[min(after, last):last] {
		items = append(items, event(scheduler))
	}
	return EndpointFeed(last, items)
}

// DeliveredAt returns the time at which an event counts as delivered to all schedulers. This is the publication time if
// the service was healthy, and otherwise settleTime after the end of the fault. It is zero if the fault has not
// ended.
func (s *ListService) DeliveredAt(publishedAt time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Fault != ListHealthy {
		return time.Time{}
	}
	if publishedAt.Sub(s.lastFaultAt) < settleTime {
		return s.lastFaultAt.Add(settleTime)
	}
	return publishedAt
}

// AnswersPerSecond returns the last rate limit on responses, or 0 if none was ever set.
func (s *ListService) AnswersPerSecond() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.AnswersPerSecond
}

// Polls returns the polls received so far.
func (s *ListService) Polls() []Poll {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Poll(nil), s.polls...)
}

// AcceptedAt returns the accept time of each connection.
func (s *ListService) AcceptedAt() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.acceptedAt...)
}

// PublishedAt returns the publication time of each event.
func (s *ListService) PublishedAt() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.publishedAt...)
}

// Close stops listening and closes all connections.
func (s *ListService) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.answerTimer.Stop()
	for _, pollListener := range s.listeners {
		if pollListener.listener != nil {
			pollListener.listener.Close()
		}
		pollListener.closeConnections()
	}
}
