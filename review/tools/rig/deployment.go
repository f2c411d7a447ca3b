package main

import (
	"fmt"
	"path/filepath"
)

// limits are those of a configuration.
type limits struct {
	memoryMB, sockets int
}

// deployment is one scheduler with its node agents and its bulletin.
type deployment struct {
	world    *world
	agents   []*agent
	list     *eventList
	bulletin *bulletin
	config   string
	listen   string
	limits   limits
	sched    *scheduler
}

// start starts node agents, the bulletin and a scheduler, and waits until that is ready.
func (r *run) start(agents, cores int, limit limits, settings map[string]any, prepare func(*agent)) *deployment {
	d := &deployment{world: newWorld(r.rec), list: newEventList(), limits: limit}
	var targets []target
	for i := range agents {
		a := newAgent(d.world, fmt.Sprintf("s-%08x", i+1), cores)
		if prepare != nil {
			prepare(a)
		}
		d.agents = append(d.agents, a)
		targets = append(targets, a.target("SERVING"))
	}
	d.list.publish(true, targets...)
	d.bulletin = newBulletin(r.rec, d.list)
	d.config = filepath.Join(r.dir, "config.json")
	d.listen = freeAddr()
	d.configure(settings)
	d.sched = startScheduler(r.rec, r.dir, "n1", d.listen, d.config)
	d.sched.awaitReady(r.rec)
	return d
}

// configure writes the configuration file as a whole, as the platform does.
func (d *deployment) configure(settings map[string]any) {
	writeConfig(d.config, "n1", d.listen, d.bulletin.addr, d.list.after(0), d.limits, settings)
}
