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
	// closeRaceWindow is how long after it was sent a failed request may have met the close of its idle connection. It
	// grows with the machine's wake delay, and is also the tolerance for counting a request as interrupted.
	closeRaceWindow = 50 * time.Millisecond
	// answerTimeout is how long after the request's own time has run out a response is waited for, before the request
	// counts as lost.
	answerTimeout = 8 * time.Second
	// disruptionWindow is how long after a disruption a request that fails on a used connection is not sent again.
	disruptionWindow = time.Second
	// healthCheckInterval is the pause between two health checks of a scheduler that does not serve yet.
	healthCheckInterval = 20 * time.Millisecond
)

// front sends requests to one instance as the web server in front of it does, over as many connections as it needs.
type front struct {
	fleet    *Fleet
	instance *Instance
	ended    func(reply fastcgi.Reply, err error, took time.Duration) // called once a request, on any goroutine

	wg          sync.WaitGroup // of requests in flight
	mu          sync.Mutex
	idle        []*fastcgi.Client
	incarnation int32 // of the process that the idle connections lead to
}

// newFront returns the front of an instance. ended is called at the end of each request.
func newFront(fleet *Fleet, instance *Instance, ended func(fastcgi.Reply, error, time.Duration)) *front {
	return &front{fleet: fleet, instance: instance, ended: ended}
}

// send sends a request, and returns at once.
func (f *front) send(ctx context.Context, request fastcgi.Request) {
	if f.instance.outOfRotation.Load() {
		f.ended(fastcgi.Reply{}, workload.ErrNotAccepted, 0)
		return
	}
	f.wg.Go(func() {
		// Requests that are in flight when the load ends are still answered.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), request.Budget+answerTimeout)
		defer cancel()
		f.exchange(ctx, request)
	})
}

// close waits for the requests in flight and closes the connections.
func (f *front) close() {
	f.wg.Wait()
	closeAll(f.idle)
}

// closeAll closes connections.
func closeAll(clients []*fastcgi.Client) {
	for _, client := range clients {
		_ = client.Close() // nothing is left to do about an error
	}
}

// takeIdle returns an idle connection to the process that runs now, or nil.
func (f *front) takeIdle() *fastcgi.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	if running := f.instance.incarnation.Load(); running != f.incarnation {
		closeAll(f.idle)
		f.idle = nil
		f.incarnation = running
	}
	last := len(f.idle) - 1
	if last < 0 {
		return nil
	}
	client := f.idle[last]
	f.idle = f.idle[:last]
	return client
}

// putIdle keeps a connection for the next request.
func (f *front) putIdle(client *fastcgi.Client) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idle = append(f.idle, client)
}

// exchange sends a request and waits for the response.
func (f *front) exchange(ctx context.Context, request fastcgi.Request) {
	client := f.takeIdle()
	reused := client != nil
	if !reused {
		var err error
		if client, err = f.dial(ctx); err != nil {
			f.ended(fastcgi.Reply{}, err, 0)
			return
		}
	}
	sentAt := time.Now()
	reply, err := client.Do(ctx, request)
	if err != nil && reused && f.closedMeanwhile(sentAt) {
		_ = client.Close() // the scheduler closed it at that moment: the request is sent again, once, on a new connection
		if client, err = f.dial(ctx); err != nil {
			f.ended(fastcgi.Reply{}, err, 0)
			return
		}
		reply, err = client.Do(ctx, request)
	}
	f.ended(reply, err, time.Since(sentAt))
	if err != nil {
		_ = client.Close() // it failed already
		return
	}
	f.putIdle(client)
}

// dial opens a connection to the instance. An error is ErrNotAccepted.
func (f *front) dial(ctx context.Context) (*fastcgi.Client, error) {
	if f.instance.connectionsClosed.Load() {
		return nil, workload.ErrNotAccepted
	}
	client, err := fastcgi.Dial(ctx, f.instance.Addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", workload.ErrNotAccepted, err)
	}
	return client, nil
}

// closedMeanwhile reports whether a request on a reused connection failed so soon that the scheduler may have closed the
// idle connection at that moment, which says nothing of the request.
func (f *front) closedMeanwhile(sentAt time.Time) bool {
	window := closeRaceWindow + 2*time.Duration(f.fleet.wakeDelay.Load())
	return time.Since(sentAt) < window && !f.instance.disruptedSince(sentAt.Add(-disruptionWindow))
}

// Wait waits until all instances serve.
func (f *Fleet) Wait(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for _, instance := range f.Instances {
		if err := instance.waitHealthy(ctx); err != nil {
			return fmt.Errorf("scheduler %s does not come up: %w\n%s", instance.Name, err, instance.Log)
		}
	}
	return nil
}

// waitHealthy waits until an instance answers the health check that a front makes before it takes it into rotation.
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

// errUnhealthy is the error of a health check that was answered, but not with success.
var errUnhealthy = errors.New("unhealthy")

// checkHealth makes one health check.
func (in *Instance) checkHealth(ctx context.Context) error {
	client, err := fastcgi.Dial(ctx, in.Addr)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }() // nothing is left to do about an error
	reply, err := client.Do(ctx, fastcgi.Request{Path: "/health", Budget: time.Second})
	if err != nil {
		return err
	}
	if reply.Outcome() != fastcgi.OutcomeServed {
		return fmt.Errorf("%w: %s", errUnhealthy, reply.Outcome())
	}
	return nil
}
