package standin

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// WorkerFault is a fault of a stand-in worker.
type WorkerFault int

// Worker faults.
const (
	WorkerHealthy      WorkerFault = iota // no fault
	WorkerUnresponsive                    // accepts requests and answers none
	WorkerSlow                            // adds slowWorkerDelay to each answer
	WorkerFailing                         // answers every request with an error
	WorkerRefusing                        // closes each new connection immediately
)

// slowWorkerDelay is the additional latency of a WorkerSlow.
const slowWorkerDelay = 500 * time.Millisecond

// Worker is a stand-in node agent. It loads functions, runs a limited number of requests at a time, and simulates
// faults.
type Worker struct {
	ID       string
	Addr     string
	profile  WorkerProfile
	store    *Store
	listener net.Listener
	slots    chan struct{} // semaphore for concurrent requests

	mu                 sync.Mutex
	fault              WorkerFault
	startedAt          time.Time                // zero for a warm worker
	crashedAt          time.Time                // time of a crash by overload while warming up; zero without a crash
	peakLoadFraction   float64                  // peak load while warming up, as a fraction of MaxRequests
	refusedConnections int                      // connections refused because of MaxConnections
	loaded             map[string]chan struct{} // by function; closed once the function is loaded
	arrivals           []Arrival
	acceptedAt         []time.Time
	connections        map[net.Conn]bool
	draining           bool // rejects requests and reports DOWN to health checks
}

// Arrival is a request that a worker received.
type Arrival struct {
	At        time.Time
	Scheduler string      // name of the scheduler, from the request body
	Fault     WorkerFault // the worker's fault at the time
	ID        string
	Class     string
	Function  string
	ColdStart bool          // the request made the worker load the function
	Timeout   time.Duration // the scheduler's timeout, from the command
	Rejected  bool          // rejected because the worker was draining
}

// NewWorker starts a worker on loopback. A worker with a zero startedAt is warm; otherwise it warms up from that time
// on.
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
			_ = w.serve(conn) // fails when the scheduler closes the connection
		}()
	}
}

// admit records a connection and reports whether the worker accepts it.
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

// handshake occupies a slot for HandshakeTime.
func (w *Worker) handshake() {
	if w.profile.HandshakeTime > 0 {
		w.slots <- struct{}{}
		time.Sleep(w.profile.HandshakeTime)
		<-w.slots
	}
}

// closeConnection closes and unregisters a connection.
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

// Close stops listening and closes all connections.
func (w *Worker) Close() {
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closeConnections()
}

// Set sets the worker's fault. WorkerHealthy clears it.
func (w *Worker) Set(fault WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = fault
}

// Drain makes the worker reject requests from now on.
func (w *Worker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
}

// isDraining reports whether the worker is draining.
func (w *Worker) isDraining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining
}

// Fault returns the current fault.
func (w *Worker) Fault() WorkerFault {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault
}

// AcceptedAt returns the accept time of each connection.
func (w *Worker) AcceptedAt() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time(nil), w.acceptedAt...)
}

// Arrivals returns the requests received so far.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

// CrashedAt returns the time at which overload crashed the worker while it was warming up, or zero without a crash.
func (w *Worker) CrashedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashedAt
}

// OverloadStats returns the number of refused connections and the peak load while warming up, as a fraction of
// WorkerProfile.MaxRequests.
func (w *Worker) OverloadStats() (refusedConnections int, peakLoadFraction float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refusedConnections, w.peakLoadFraction
}

// Restart simulates a restart: it closes all connections, unloads all functions and restarts the warm-up.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startedAt = time.Now()
	w.crashedAt = time.Time{}
	w.loaded = map[string]chan struct{}{}
	w.closeConnections()
}

// StartedMillis returns the worker's start time in Unix milliseconds, or 0 for a warm worker.
func (w *Worker) StartedMillis() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.startedAt.UnixMilli(), 0)
}

// age returns the time since the worker started. It exceeds WarmUpTime for a warm worker. The caller holds the lock.
func (w *Worker) age(now time.Time) time.Duration { return now.Sub(w.startedAt) }

// crashIfOverloaded crashes the worker if the requests since its start within CrashWindow exceed
// WorkerProfile.MaxRequests. The caller holds the lock.
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
