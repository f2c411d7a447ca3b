package routing

import (
	"maps"
	"slices"
	"time"

	"calicohill/internal/stats/decay"
	"calicohill/internal/stats/sorted"
)

func (r *Router) follow(e WorkerList) {
	if e.Kind == ListFailed {
		r.askAgain = r.now + time.Second
		return
	}
	r.version++
	seen := map[string]bool{}
	for _, in := range e.Workers {
		if seen[in.ID] = true; !r.set.WeightsReported || in.Weight <= 0 {
			in.Weight = 1
		}
		w := r.workers[in.ID]
		if w == nil {
			w = &worker{Worker: in, limit: r.limitStart(), lastAnswer: r.now}
			r.workers[in.ID] = w
			r.list = sorted.Insert(r.list, w, func(w *worker) string { return w.ID })
			continue
		}
		if in.Started != w.Started && in.Started > 0 {
			// A new start: it is empty and cold, whatever was known of it before.
			w.life++
			w.limit, w.suspect, w.tries, w.others = r.limitStart(), false, 0, 0
			w.quotaTill, w.sentCold = 0, nil
			w.full, w.noLoads, w.sheds, w.errs = 0, 0, 0, decay.Value{}
		}
		if in.State == Gone {
			in, w.goneAt = w.Worker, r.now
			in.State = Gone
		}
		w.Worker = in
	}
	for _, w := range r.list {
		if e.Kind != ListChanges && !seen[w.ID] && w.State != Gone {
			w.State, w.goneAt = Gone, r.now
		}
	}
}

// tidy forgets functions that nobody calls any more and workers that are gone: new ones come all day.
func (r *Router) tidy() {
	gone := func(w *worker) bool {
		return w.State == Gone && len(w.outs) == 0 && r.now-w.goneAt >= r.set.InstanceKeepAlive
	}
	r.list = slices.DeleteFunc(r.list, func(w *worker) bool {
		if gone(w) {
			delete(r.workers, w.ID)
		}
		return gone(w)
	})
	maps.DeleteFunc(r.funcs, func(_ string, f *function) bool {
		f.pairs = slices.DeleteFunc(f.pairs, func(p *pair) bool { return p.out == 0 && gone(p.w) })
		return r.now-f.lastCall >= 5*r.set.InstanceKeepAlive &&
			!slices.ContainsFunc(f.pairs, func(p *pair) bool { return p.ordered || p.out > 0 }) &&
			!slices.ContainsFunc(r.held, func(q *request) bool { return q.fn == f })
	})
}
