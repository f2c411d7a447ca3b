package testbed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ListService is the stand-in list service on loopback. Each scheduler has a door of its own to it, an address that
// nobody else is told, so that it is known who asks.
type ListService struct {
	mu      sync.Mutex
	desk    Desk
	began   time.Time
	timer   *time.Timer
	doors   map[string]*door
	events  []func(door string) string
	told    []time.Time // when each event was
	polls   []Poll
	accepts []time.Time
	closed  bool
	host    string // with port 0

	troubled time.Time // when its mood last changed, or its connections broke
}

// Poll is an ask that came whole.
type Poll struct {
	From     string
	At       time.Time
	Answered time.Time // zero if it never was
	After    int
	Number   int // of the last event that the answer held
	Bytes    int
}

type door struct {
	name, addr string
	l          net.Listener
	conns      map[net.Conn]bool
}

// services counts the list services of this process. Each has a host of its own, from which nothing connects and where
// nobody else listens, so that a door that was closed finds its port free when it opens again.
var services atomic.Uint32

// NewListService starts a list service without events.
func NewListService() *ListService {
	s := &ListService{
		desk: Desk{Mood: Well}, began: time.Now().Add(-time.Hour), doors: map[string]*door{},
		troubled: time.Now(), host: fmt.Sprintf("127.%d.%d.2:0", 1+os.Getpid()%250, 1+services.Add(1)%250),
	}
	s.timer = time.AfterFunc(time.Hour, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answer()
	})
	return s
}

// Door is the address at which one of the schedulers asks.
func (s *ListService) Door(name string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.doors[name]; d != nil {
		return d.addr, nil
	}
	d := &door{name: name, addr: s.host, conns: map[net.Conn]bool{}}
	if err := s.open(d); err != nil {
		return "", err
	}
	s.doors[name] = d
	return d.addr, nil
}

func (s *ListService) open(d *door) error {
	l, err := net.Listen("tcp", d.addr)
	if err != nil {
		return fmt.Errorf("list service: %w", err)
	}
	d.l, d.addr = l, l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			d.conns[c] = true
			s.accepts = append(s.accepts, time.Now())
			s.mu.Unlock()
			go s.serve(d, c)
		}
	}()
	return nil
}

// Set gives the service a mood; rate is the answers a second while Crowded.
func (s *ListService) Set(m Mood, rate float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.troubled = time.Now()
	if s.desk.Mood = m; rate > 0 {
		s.desk.Rate = rate
	}
	for _, d := range s.doors {
		if m == Refuse && d.l != nil {
			d.l.Close()
			d.l = nil
			d.breakOff()
		} else if m != Refuse && d.l == nil {
			if err := s.open(d); err != nil {
				return err
			}
		}
	}
	s.answer()
	return nil
}

// Break breaks all connections.
func (s *ListService) Break() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.troubled = time.Now()
	for _, d := range s.doors {
		d.breakOff()
	}
}

func (d *door) breakOff() {
	for c := range d.conns {
		c.Close()
		delete(d.conns, c)
	}
}

// Tell has the service tell one event more. event gives it, by its number, as it is told at a door.
func (s *ListService) Tell(event func(no int, door string) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	no := len(s.events) + 1
	s.events = append(s.events, func(door string) string { return event(no, door) })
	s.told = append(s.told, time.Now())
	s.desk.Number = len(s.events)
	s.answer()
}

// Feed is the first events, as an answer at a door holds them; all with a number below 0.
func (s *ListService) Feed(door string, first int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first < 0 {
		first = len(s.events)
	}
	return s.feed(door, 0, first)
}

func (s *ListService) feed(door string, after, last int) string {
	var items []string
	for _, e := range s.events[min(after, last):last] {
		items = append(items, e(door))
	}
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, last, strings.Join(items, ","))
}

// counts is from when on what is told now counts as told to all: at once while the service is well, 2 s after its
// troubles end where it is not; the zero time if they have not.
func (s *ListService) counts(at time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.desk.Mood != Well {
		return time.Time{}
	}
	if at.Sub(s.troubled) < 2*time.Second {
		return s.troubled.Add(2 * time.Second)
	}
	return at
}

// Polls is the asks so far.
func (s *ListService) Polls() []Poll {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Poll(nil), s.polls...)
}

// Accepts is when connections came up.
func (s *ListService) Accepts() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.accepts...)
}

// Told is when each event was told.
func (s *ListService) Told() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.told...)
}

func (s *ListService) answer() {
	now := time.Since(s.began)
	due, next := s.desk.Due(now)
	for _, q := range due {
		q.Answer()
	}
	if next > 0 && !s.closed {
		s.timer.Reset(next - now)
	}
}

func (s *ListService) serve(d *door, c net.Conn) {
	var q *Inquiry
	defer func() {
		c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(d.conns, c)
		if q != nil {
			s.desk.Drop(q)
		}
	}()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		after, _ := strconv.Atoi(req.URL.Query().Get("after"))
		wait, _ := strconv.Atoi(req.URL.Query().Get("patience"))
		s.mu.Lock()
		n := len(s.polls)
		s.polls = append(s.polls, Poll{From: d.name, At: time.Now(), After: after})
		q = &Inquiry{After: after, Till: time.Since(s.began) + time.Duration(wait)*time.Millisecond, Answer: func() {
			s.polls[n].Answered = time.Now()
			text := s.feed(d.name, after, len(s.events))
			s.polls[n].Bytes = len(text)
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
			switch {
			case s.desk.Mood == Busy:
				head, text = "HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", ""
			case s.desk.Mood == Torn && after < s.desk.Number:
				go func() { io.WriteString(c, head+text[:len(text)/2]); c.Close() }()
				return
			default:
				s.polls[n].Number = s.desk.Number
			}
			go io.WriteString(c, head+text) // an error ends the reading too
		}}
		s.desk.Take(q)
		s.answer()
		s.mu.Unlock()
	}
}

// Close ends the service.
func (s *ListService) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.timer.Stop()
	for _, d := range s.doors {
		if d.l != nil {
			d.l.Close()
		}
		d.breakOff()
	}
}
