package standin

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"calicohill/internal/testbed/wait"
)

// workerLoadReport is the load report in the answers of every worker, in the form of an answer field.
const workerLoadReport = "l=util:0.10"

// workerConnection is a scheduler's connection to a worker.
type workerConnection struct {
	worker  *Worker
	writing sync.Mutex
	conn    net.Conn
}

// write writes an answer. Write errors are ignored: the read loop detects them.
func (c *workerConnection) write(answer AgentAnswer) {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, _ = io.WriteString(c.conn, answer.String())
}

// serve reads commands from a connection until it is closed.
func (w *Worker) serve(conn net.Conn) error {
	connection := &workerConnection{worker: w, conn: conn}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reader := bufio.NewReader(conn)
	for {
		command, err := ReadAgentCommand(reader)
		if err != nil {
			return err
		}
		connection.execute(ctx, command)
	}
}

// execute executes a command. A cancellation is ignored, as if it arrived too late: the request runs and is answered.
func (c *workerConnection) execute(ctx context.Context, command AgentCommand) {
	switch command.Verb {
	case AgentStart:
		go c.handle(ctx, command)
	case AgentPing, AgentStatus:
		if c.worker.Fault() != WorkerUnresponsive {
			c.write(AgentAnswer{ID: command.ID, Status: c.worker.health(), Fields: workerLoadReport})
		}
	case AgentCancel:
	}
}

// handle runs a request and answers it according to the worker's fault.
func (c *workerConnection) handle(ctx context.Context, command AgentCommand) {
	decision := c.worker.receive(command)
	if decision.rejected {
		c.write(AgentAnswer{ID: command.ID, Status: AnswerBusy})
		return
	}
	switch decision.fault {
	case WorkerUnresponsive:
		return
	case WorkerFailing:
		c.write(AgentAnswer{ID: command.ID, Status: AnswerError})
		return
	case WorkerSlow:
		wait.Sleep(ctx, slowWorkerDelay)
	case WorkerHealthy, WorkerRefusing: // WorkerRefusing affects only new connections
	}
	if !c.worker.runFunction(ctx, decision) {
		return
	}
	if c.worker.Fault() != WorkerUnresponsive {
		c.write(AgentAnswer{ID: command.ID, Status: AnswerOK, Fields: "depth=0," + workerLoadReport, Body: command.Body})
	}
}

// admission is the admission decision for a request, with the parameters for running it.
type admission struct {
	rejected    bool            // the worker is draining
	fault       WorkerFault     // the worker's fault when the request arrived
	loaded      <-chan struct{} // closed once the function is loaded
	serviceTime time.Duration
}

// receive records a request, starts to load its function unless that has started before, and crashes the worker if it
// is overloaded.
func (w *Worker) receive(command AgentCommand) admission {
	w.mu.Lock()
	defer w.mu.Unlock()
	scheduler, _, _ := strings.Cut(command.Body, " ") // the testbed's requests start with the scheduler's name
	function := command.Function()
	loaded, skipLoad := w.loaded[function]
	skipLoad = skipLoad || w.draining
	w.arrivals = append(w.arrivals, Arrival{
		At:        time.Now(),
		Scheduler: scheduler,
		Fault:     w.fault,
		ID:        command.ID,
		Class:     command.Class(),
		Function:  function,
		ColdStart: !skipLoad,
		Timeout:   command.Timeout(),
		Rejected:  w.draining,
	})
	if !skipLoad {
		loaded = make(chan struct{})
		w.loaded[function] = loaded
		go func() {
			w.store.fetch(w.profile.LoadTime)
			close(loaded)
		}()
	}
	now := time.Now()
	w.crashIfOverloaded(now)
	return admission{
		rejected:    w.draining,
		fault:       w.fault,
		loaded:      loaded,
		serviceTime: time.Duration(float64(w.profile.ServiceTime) / CapacityFraction(w.age(now))),
	}
}

// health returns the answer to a health check.
func (w *Worker) health() AnswerStatus {
	if w.isDraining() {
		return AnswerDown
	}
	return AnswerUp
}

// runFunction waits until the function is loaded and a slot is free, and then runs the request. It returns false if the
// connection was closed meanwhile.
func (w *Worker) runFunction(ctx context.Context, request admission) bool {
	select {
	case <-request.loaded:
	case <-ctx.Done():
		return false
	}
	select {
	case w.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-w.slots }()
	return wait.Sleep(ctx, request.serviceTime)
}
