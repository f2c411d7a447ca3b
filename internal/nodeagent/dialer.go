package nodeagent

import (
	"slices"
	"time"
)

const (
	// maxConnsPerWorker is the maximum number of open connections to a worker, including unresponsive ones.
	maxConnsPerWorker = 8
	// reservedConnsDivisor sets the share of all connections that is reserved for workers without one: 1/2. Extra
	// connections to a worker may not use it.
	reservedConnsDivisor = 2
	// dialBackoff is how long a worker gets no extra connection after a failed dial.
	dialBackoff = time.Second
	// minRedialPause is the pause before the first retry of a dial that failed because of a local fault. It doubles
	// with each further retry, up to maxRedials retries.
	minRedialPause = 5 * time.Millisecond
	maxRedials     = 6
	// descriptorsPerDial is the number of file descriptors that a dial uses temporarily.
	descriptorsPerDial = 2
)

// dialer opens connections within the limits on connections and file descriptors. It queues dials that have to wait for
// descriptors; the queue holds each worker at most once. It belongs to a Pool and is used only on the event loop.
//
// Without the limit on descriptors, the process could run out of them and be unable to accept clients.
type dialer struct {
	maxConns       int           // limit on connections to all workers
	maxDescriptors int           // limit on file descriptors for connections and dials
	connect        func(*worker) // starts a dial; opened or failed is called when it ends

	conns      map[*conn]struct{} // open connections to all workers
	inProgress int                // dials in progress to all workers
	queue      []*worker          // workers whose dials wait for file descriptors
}

// workerDials is the state of the dials to one worker. Only the dialer changes it.
type workerDials struct {
	inProgress int
	// noExtraConnUntil is the time until which the worker gets no extra connection because a dial failed.
	noExtraConnUntil time.Duration
	redials          int // retries since the last dial that succeeded or failed for good
}

// nextRedial returns the pause before the next retry of a dial that failed because of a local fault. It returns false
// if no retries are left.
func (d *workerDials) nextRedial() (pause time.Duration, more bool) {
	if d.redials >= maxRedials {
		return 0, false
	}
	pause = minRedialPause << d.redials
	d.redials++
	return pause, true
}

// dial starts a dial to a worker, or queues it until file descriptors are available.
func (d *dialer) dial(target *worker) {
	if !d.hasDescriptors() {
		if !slices.Contains(d.queue, target) {
			d.queue = append(d.queue, target)
		}
		return
	}
	target.dials.inProgress++
	d.inProgress++
	d.connect(target)
}

// opened records that a dial has succeeded.
func (d *dialer) opened(established *conn) {
	established.target.dials.inProgress--
	established.target.dials.redials = 0
	d.inProgress--
	d.conns[established] = struct{}{}
}

// failed records that a dial to a worker has failed.
func (d *dialer) failed(target *worker, now time.Duration) {
	target.dials.inProgress--
	target.dials.redials = 0
	d.inProgress--
	target.dials.noExtraConnUntil = now + dialBackoff
}

// closed records that a connection has closed.
func (d *dialer) closed(gone *conn) { delete(d.conns, gone) }

// startQueued starts queued dials that are still needed, as far as file descriptors are available.
func (d *dialer) startQueued() {
	for len(d.queue) > 0 && d.hasDescriptors() {
		next := d.queue[0]
		d.queue = d.queue[1:]
		if len(next.pending) > 0 && next.dials.inProgress == 0 {
			d.dial(next)
		}
	}
}

// atLimit reports whether the limit on connections and dials is reached for the worker or for all workers together.
func (d *dialer) atLimit(target *worker) bool {
	return target.atConnLimit() || d.connsAndDials() >= d.maxConns
}

// mayAddConn reports whether an extra connection to the worker may be opened.
func (d *dialer) mayAddConn(target *worker, now time.Duration) bool {
	if target.dials.inProgress > 0 || len(target.conns) >= maxConnsPerWorker || now < target.dials.noExtraConnUntil {
		return false
	}
	return reservedConnsDivisor*d.connsAndDials() < d.maxConns
}

func (d *dialer) connsAndDials() int { return len(d.conns) + d.inProgress }

func (d *dialer) hasDescriptors() bool {
	return len(d.conns)+descriptorsPerDial*(d.inProgress+1) <= d.maxDescriptors
}
