package nodeagent

import (
	"slices"
	"time"
)

const (
	// maxConnsPerWorker is how many connections to one worker may be open, unresponsive ones included.
	maxConnsPerWorker = 8
	// reservedConnsDivisor gives the part of all connections allowed that is reserved for workers that have none.
	reservedConnsDivisor = 2
	// dialBackoff is how long no extra connection is added to those of a worker after a dial has failed.
	dialBackoff = time.Second
	// minRedialPause is the pause before a dial that failed for a fault of this machine is repeated. It doubles with each
	// such failure in a row, of which maxRedials are made up for.
	minRedialPause = 5 * time.Millisecond
	maxRedials     = 6
	// descriptorsPerDial is how many file descriptors a dial holds for a moment.
	descriptorsPerDial = 2
)

// dialer opens connections within the limits of connections and file descriptors, and queues the dials that have to wait
// for descriptors. It belongs to a Pool and is used on the event loop only. A worker is in the queue once at most.
//
// Without the bound on descriptors the program could run out of them, and could not accept clients.
type dialer struct {
	maxConns       int           // connections to all workers
	maxDescriptors int           // file descriptors for connections and dials
	connect        func(*worker) // starts a dial, which opened or failed follows

	conns      map[*conn]struct{} // open, to all workers
	inProgress int                // dials to all workers
	queue      []*worker          // workers whose dial waits for file descriptors
}

// workerDials is what a dialer, which alone changes it, knows of the dials to one worker.
type workerDials struct {
	inProgress int
	// noExtraConnUntil is when a connection may again be added to the existing ones, after a dial has failed.
	noExtraConnUntil time.Duration
	redials          int // dials repeated since one succeeded, or failed for the worker
}

// nextRedial returns the pause before a dial is repeated that failed for a fault of this machine, and whether it is.
func (d *workerDials) nextRedial() (pause time.Duration, more bool) {
	if d.redials >= maxRedials {
		return 0, false
	}
	pause = minRedialPause << d.redials
	d.redials++
	return pause, true
}

// dial starts a dial to a worker, or queues it until there are file descriptors for it.
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

// startQueued starts the dials that waited for file descriptors, as far as they are still needed.
func (d *dialer) startQueued() {
	for len(d.queue) > 0 && d.hasDescriptors() {
		next := d.queue[0]
		d.queue = d.queue[1:]
		if len(next.pending) > 0 && next.dials.inProgress == 0 {
			d.dial(next)
		}
	}
}

// atLimit reports whether a worker, or all workers together, have as many connections and dials as allowed.
func (d *dialer) atLimit(target *worker) bool {
	return target.atConnLimit() || d.connsAndDials() >= d.maxConns
}

// mayAddConn reports whether a connection may be added to those of a worker, for the calls to come.
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
