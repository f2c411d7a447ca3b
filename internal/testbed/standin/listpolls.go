package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Poll records a poll from a scheduler.
type Poll struct {
	Scheduler  string
	At         time.Time
	AnsweredAt time.Time // zero if the poll was not answered
	After      int       // number of the last event that the scheduler had
	LastEvent  int       // number of the last event in the response
	Bytes      int       // size of the response body
}

// answer answers the polls that are due and schedules the next call. The caller holds the lock.
func (s *ListService) answer() {
	now := time.Since(s.startedAt)
	due, next := s.queue.Due(now)
	for _, poll := range due {
		poll.Answer()
	}
	if next > 0 && !s.closed {
		s.answerTimer.Reset(next - now)
	}
}

// serve reads polls from a connection until it is closed.
func (s *ListService) serve(pollListener *schedulerListener, conn net.Conn) {
	var pending *PendingPoll
	defer func() {
		conn.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(pollListener.connections, conn)
		if pending != nil {
			s.queue.Remove(pending)
		}
	}()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		pending = s.addPoll(pollListener.scheduler, conn, ParsePollRequest(request))
	}
}

// addPoll records a poll, adds it to the queue, and answers the polls that are due.
func (s *ListService) addPoll(scheduler string, conn net.Conn, poll PollRequest) *PendingPoll {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := len(s.polls)
	s.polls = append(s.polls, Poll{Scheduler: scheduler, At: time.Now(), After: poll.After})
	pending := &PendingPoll{
		After:    poll.After,
		Deadline: time.Since(s.startedAt) + poll.Timeout,
		Answer:   func() { s.respond(index, conn) },
	}
	s.queue.Add(pending)
	s.answer()
	return pending
}

// respond answers a poll according to the service's fault. The caller holds the lock.
func (s *ListService) respond(index int, conn net.Conn) {
	poll := &s.polls[index]
	poll.AnsweredAt = time.Now()
	body := s.feedBody(poll.Scheduler, poll.After, len(s.events))
	poll.Bytes = len(body)
	header := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	// Write errors are ignored: the read loop of the connection detects them.
	switch {
	case s.queue.Fault == ListOverloaded:
		header = "HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"
		go func() { _, _ = io.WriteString(conn, header) }()
	case s.queue.Fault == ListTruncating && poll.After < s.queue.LastEvent:
		go func() {
			_, _ = io.WriteString(conn, header+body[:len(body)/2])
			conn.Close()
		}()
	default:
		poll.LastEvent = s.queue.LastEvent
		go func() { _, _ = io.WriteString(conn, header+body) }()
	}
}
