package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is an entry of the list of node agents.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
}

type roster struct {
	Rev     int      `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

type event struct {
	No     int     `json:"no"`
	Roster *roster `json:"roster"`
}

// feed is an answer of the bulletin, and the form of the known events in a configuration.
type feed struct {
	No    int     `json:"no"`
	Items []event `json:"items"`
}

// eventList holds the events of the bulletin.
type eventList struct {
	mu      sync.Mutex
	events  []event
	changed chan struct{} // closed with the next event
}

func newEventList() *eventList { return &eventList{changed: make(chan struct{})} }

func (l *eventList) publish(all bool, targets ...target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	no := len(l.events) + 1
	l.events = append(l.events, event{no, &roster{Rev: no, All: all, Targets: targets}})
	close(l.changed)
	l.changed = make(chan struct{})
}

// after returns the events after a number.
func (l *eventList) after(no int) feed {
	l.mu.Lock()
	defer l.mu.Unlock()
	return feed{No: len(l.events), Items: append([]event{}, l.events[min(no, len(l.events)):]...)}
}

func (l *eventList) change() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// bulletin serves an eventList over HTTP/1.1.
type bulletin struct {
	list *eventList
	rec  *record
	addr string
}

func newBulletin(rec *record, list *eventList) *bulletin {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("bulletin: %v", err)
	}
	b := &bulletin{list: list, rec: rec, addr: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

func (b *bulletin) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		after, _ := strconv.Atoi(request.URL.Query().Get("after"))
		patience, _ := strconv.Atoi(request.URL.Query().Get("patience"))
		deadline := time.After(time.Duration(min(patience, 5000)) * time.Millisecond)
		for waiting := true; waiting; {
			changed := b.list.change()
			if len(b.list.after(after).Items) > 0 {
				break
			}
			select {
			case <-changed:
			case <-deadline:
				waiting = false
			}
		}
		answer := b.list.after(after)
		body, _ := json.Marshal(answer)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
		b.rec.line("bulletin: after=%d patience=%d answered with %d events", after, patience, len(answer.Items))
	}
}
