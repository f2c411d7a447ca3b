package standin

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// WorkerFault is what is wrong with a stand-in worker.
type WorkerFault int

// The faults of workers.
const (
	WorkerHealthy      WorkerFault = iota // none
	WorkerUnresponsive                    // accepts requests and answers none
	WorkerSlow                            // answers half a second late
	WorkerFailing                         // answers errors
	WorkerRefusing                        // closes every connection at once
)

// slowWorkerDelay is by how much a WorkerSlow answers later.
const slowWorkerDelay = 500 * time.Millisecond

// Worker is a stand-in node agent. It loads functions, runs a few requests at a time and has faults.
type Worker struct {
	ID       string
	Addr     string
	profile  WorkerProfile
	store    *Store
	listener net.Listener
	slots    chan struct{} // one for each request at a time

	mu                 sync.Mutex
	fault              WorkerFault
	startedAt          time.Time                // zero for one that is warm
	crashedAt          time.Time                // overloaded while it was warming up; zero if it was not
	peakLoadFraction   float64                  // the most that it was sent while warming up, as a fraction of what it survives
	refusedConnections int                      // over MaxConnections
	loaded             map[string]chan struct{} // closed once the function is loaded
	arrivals           []Arrival
	acceptedAt         []time.Time
	connections        map[net.Conn]bool
	draining           bool // rejects requests, and says so when it is asked for its health
}

// Arrival is a request as it came to a worker.
type Arrival struct {
	At       time.Time
	From     string      // the scheduler, as the body names it
	Fault    WorkerFault // of the worker then
	ID       string
	Class    string
	Function string
	Load     bool          // it made the worker load the function
	Timeout  time.Duration // how long the scheduler would wait, as it said
	Rejected bool          // the worker drained: the request did not run
}

// NewWorker starts a worker on loopback, one that is warming up if startedAt is not zero.
func NewWorker(id string, profile WorkerProfile, store *Store, startedAt time.Time) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in worker: %w", err)
	}
	worker := &Worker{
		ID:          id,
		Addr:        listener.Addr().String(),
		profile:     profile,
		store:       store,
		startedAt:   startedAt,
		listener:    listener,
		loaded:      map[string]chan struct{}{},
		connections: map[net.Conn]bool{},
		slots:       make(chan struct{}, profile.Concurrency),
	}
	go worker.accept()
	return worker, nil
}

// accept accepts connections until the worker is closed.
func (w *Worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		if !w.admit(conn) {
			w.closeConnection(conn)
			continue
		}
		go func() {
			defer w.closeConnection(conn)
			w.handshake()
			_ = w.serve(conn) // the scheduler closes connections as it likes
		}()
	}
}

// admit notes a connection, and reports whether the worker takes it.
func (w *Worker) admit(conn net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	admitted := w.fault != WorkerRefusing && w.crashedAt.IsZero()
	if w.profile.MaxConnections > 0 && len(w.connections) >= w.profile.MaxConnections {
		w.refusedConnections++
		admitted = false
	}
	w.acceptedAt = append(w.acceptedAt, time.Now())
	w.connections[conn] = true
	return admitted
}

// handshake occupies a slot for as long as a handshake takes.
func (w *Worker) handshake() {
	if w.profile.HandshakeTime > 0 {
		w.slots <- struct{}{}
		time.Sleep(w.profile.HandshakeTime)
		<-w.slots
	}
}

// closeConnection closes and forgets a connection.
func (w *Worker) closeConnection(conn net.Conn) {
	w.mu.Lock()
	delete(w.connections, conn)
	w.mu.Unlock()
	conn.Close()
}

// closeConnections closes all connections. The caller holds the lock.
func (w *Worker) closeConnections() {
	for conn := range w.connections {
		conn.Close()
	}
}

// Close ends the worker.
func (w *Worker) Close() {
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closeConnections()
}

// Set gives the worker a fault, or none.
func (w *Worker) Set(fault WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = fault
}

// Drain has the worker reject requests from now on.
func (w *Worker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
}

// isDraining reports whether the worker rejects requests.
func (w *Worker) isDraining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining
}

// Fault returns the fault now.
func (w *Worker) Fault() WorkerFault {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault
}

// AcceptedAt returns when each connection was accepted.
func (w *Worker) AcceptedAt() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time(nil), w.acceptedAt...)
}

// Arrivals returns the requests so far.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

// CrashedAt returns when the worker was overloaded while it was warming up; zero if it was not.
func (w *Worker) CrashedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashedAt
}

// Overload returns how many connections the worker refused, and the most that it was sent while warming up, as a fraction
// of what it survives.
func (w *Worker) Overload() (refusedConnections int, peakLoadFraction float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refusedConnections, w.peakLoadFraction
}

// Restart restarts the worker: without functions loaded, warming up, its connections closed.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startedAt = time.Now()
	w.crashedAt = time.Time{}
	w.loaded = map[string]chan struct{}{}
	w.closeConnections()
}

// StartedMillis returns when the worker started, in Unix milliseconds; 0 for one that is warm.
func (w *Worker) StartedMillis() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.startedAt.UnixMilli(), 0)
}

// age returns how long ago the worker started; long ago for one that is warm. The caller holds the lock.
func (w *Worker) age(now time.Time) time.Duration { return now.Sub(w.startedAt) }

// crashIfOverloaded has the worker crash if it was sent more since its start than it survives while warming up. The
// caller holds the lock.
func (w *Worker) crashIfOverloaded(now time.Time) {
	if !w.crashedAt.IsZero() {
		return
	}
	received := 0
	for i := len(w.arrivals) - 1; i >= 0; i-- {
		at := w.arrivals[i].At
		if now.Sub(at) > CrashWindow || at.Before(w.startedAt) {
			break
		}
		received++
	}
	loadFraction := float64(received) / w.profile.MaxRequests(w.age(now))
	w.peakLoadFraction = max(w.peakLoadFraction, loadFraction)
	if loadFraction > 1 {
		w.crashedAt = now
		w.closeConnections()
	}
}
