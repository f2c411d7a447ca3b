package process

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"calicohill/internal/frontend/fastcgi"
	"calicohill/internal/testbed/wait"
	"calicohill/internal/testbed/workload"
)

const (
	// closeRaceWindow is the maximum time between sending a request and its failure for which the failure may be a race
	// with the close of the idle connection. The machine's wake-up delay extends it. It is also the tolerance for
	// counting a request as interrupted.
	closeRaceWindow = 50 * time.Millisecond
	// answerTimeout is the time after the request's deadline after which a request without a response counts as lost.
	answerTimeout = 8 * time.Second
	// disruptionWindow is the time after a disruption in which a failed request on a reused connection is not resent.
	disruptionWindow = time.Second
	// healthCheckInterval is the interval between health checks of a scheduler that is not serving yet.
	healthCheckInterval = 20 * time.Millisecond
)

// webServer simulates the web server in front of one instance. It sends requests and opens connections as needed.
type webServer struct {
	fleet    *Fleet
	instance *Instance
	onDone   func(reply fastcgi.Reply, err error, took time.Duration) // called once per request, from any goroutine

	wg          sync.WaitGroup // requests in flight
	mu          sync.Mutex
	idle        []*fastcgi.Client
	incarnation int32 // instance incarnation to which the idle connections belong
}

// newWebServer returns the web server for an instance. It calls onDone at the end of each request.
func newWebServer(fleet *Fleet, instance *Instance, onDone func(fastcgi.Reply, error, time.Duration)) *webServer {
	return &webServer{fleet: fleet, instance: instance, onDone: onDone}
}

// send starts a request and returns immediately.
func (w *webServer) send(ctx context.Context, request fastcgi.Request) {
	if w.instance.outOfRotation.Load() {
		w.onDone(fastcgi.Reply{}, workload.ErrNotAccepted, 0)
		return
	}
	w.wg.Go(func() {
		// The end of the load must not cancel requests in flight.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), request.Budget+answerTimeout)
		defer cancel()
		w.roundTrip(ctx, request)
	})
}

// close waits for the requests in flight and closes all connections.
func (w *webServer) close() {
	w.wg.Wait()
	closeAll(w.idle)
}

func closeAll(clients []*fastcgi.Client) {
	for _, client := range clients {
		_ = client.Close() // best effort
	}
}

// takeIdle returns an idle connection to the running process, or nil. It closes those to earlier processes.
func (w *webServer) takeIdle() *fastcgi.Client {
	w.mu.Lock()
	defer w.mu.Unlock()
	if running := w.instance.incarnation.Load(); running != w.incarnation {
		closeAll(w.idle)
		w.idle = nil
		w.incarnation = running
	}
	last := len(w.idle) - 1
	if last < 0 {
		return nil
	}
	client := w.idle[last]
	w.idle = w.idle[:last]
	return client
}

// putIdle returns a connection to the idle list.
func (w *webServer) putIdle(client *fastcgi.Client) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.idle = append(w.idle, client)
}

// roundTrip sends a request and waits for the response. It resends the request once, on a new connection, if the
// failure may be a race with the close of an idle connection.
func (w *webServer) roundTrip(ctx context.Context, request fastcgi.Request) {
	client := w.takeIdle()
	reused := client != nil
	if !reused {
		var err error
		if client, err = w.dial(ctx); err != nil {
			w.onDone(fastcgi.Reply{}, err, 0)
			return
		}
	}
	sentAt := time.Now()
	reply, err := client.Do(ctx, request)
	if err != nil && reused && w.mayBeCloseRace(sentAt) {
		_ = client.Close() // best effort
		if client, err = w.dial(ctx); err != nil {
			w.onDone(fastcgi.Reply{}, err, 0)
			return
		}
		reply, err = client.Do(ctx, request)
	}
	w.onDone(reply, err, time.Since(sentAt))
	if err != nil {
		_ = client.Close() // the connection has already failed
		return
	}
	w.putIdle(client)
}

// dial opens a connection to the instance. Its errors wrap ErrNotAccepted.
func (w *webServer) dial(ctx context.Context) (*fastcgi.Client, error) {
	if w.instance.noNewConnections.Load() {
		return nil, workload.ErrNotAccepted
	}
	client, err := fastcgi.Dial(ctx, w.instance.Addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", workload.ErrNotAccepted, err)
	}
	return client, nil
}

// mayBeCloseRace reports whether the failure of a request on a reused connection may be a race with the scheduler
// closing the idle connection. Such a failure is not a failure of the request.
func (w *webServer) mayBeCloseRace(sentAt time.Time) bool {
	window := closeRaceWindow + 2*time.Duration(w.fleet.wakeDelay.Load())
	return time.Since(sentAt) < window && !w.instance.disruptedSince(sentAt.Add(-disruptionWindow))
}

// WaitHealthy waits until all instances are healthy.
func (f *Fleet) WaitHealthy(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for _, instance := range f.Instances {
		if err := instance.waitHealthy(ctx); err != nil {
			return fmt.Errorf("scheduler %s did not become healthy: %w\n%s", instance.Name, err, instance.Log)
		}
	}
	return nil
}

// waitHealthy waits until an instance passes a health check, which a web server requires before it sends requests.
func (in *Instance) waitHealthy(ctx context.Context) error {
	for {
		err := in.checkHealth(ctx)
		if err == nil {
			return nil
		}
		if !wait.Sleep(ctx, healthCheckInterval) {
			return errors.Join(ctx.Err(), err)
		}
	}
}

// errUnhealthy is returned for a health check with an unsuccessful response.
var errUnhealthy = errors.New("unhealthy")

// checkHealth performs a single health check.
func (in *Instance) checkHealth(ctx context.Context) error {
	client, err := fastcgi.Dial(ctx, in.Addr)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }() // best effort
	reply, err := client.Do(ctx, fastcgi.Request{Path: "/health", Budget: time.Second})
	if err != nil {
		return err
	}
	if reply.Outcome() != fastcgi.OutcomeServed {
		return fmt.Errorf("%w: %s", errUnhealthy, reply.Outcome())
	}
	return nil
}
